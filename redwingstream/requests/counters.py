"""What a ledger counts."""

import attrs


@attrs.define
class LedgerCounters:
    """How often each thing happened, for the state dump and metrics.

    Parameters
    ----------
    fresh, replayed, refused : int
        Requests begun, found again, and refused for want of room.
    expired, condensed : int
        Entries forgotten after the replay horizon, and entries condensed into
        a filter because the ledger was full.
    answers_too_large : int
        Answers too large to keep, which replays do not get.
    unmatched : int
        Outcomes of requests that are not in the ledger.
    contradictions : int
        Requests known as *not run* for which an answer turned up.
    """

    fresh: int = 0
    replayed: int = 0
    refused: int = 0
    expired: int = 0
    condensed: int = 0
    answers_too_large: int = 0
    unmatched: int = 0
    contradictions: int = 0
