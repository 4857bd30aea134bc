"""Counters of a ledger."""

import attrs


@attrs.define
class LedgerCounters:
    """Numbers of events in a ledger, for the state dump and metrics.

    Parameters
    ----------
    fresh, replayed, refused : int
        Requests that were new, were replayed, or were refused because the
        ledger was full.
    expired, condensed : int
        Entries removed after the replay horizon, and entries condensed into a
        filter because the ledger was full.
    answers_too_large : int
        Answers that were too large to keep, so that replays do not get them.
    unmatched : int
        Outcomes of requests that are not in the ledger.
    contradictions : int
        Requests with conflicting outcomes: *not run* and an answer.
    """

    fresh: int = 0
    replayed: int = 0
    refused: int = 0
    expired: int = 0
    condensed: int = 0
    answers_too_large: int = 0
    unmatched: int = 0
    contradictions: int = 0
