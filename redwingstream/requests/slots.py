"""An entry of a ledger as the ledger itself keeps it."""

import attrs

from redwingstream.requests.records import (
    LedgerEntry,
    RequestKey,
    RequestState,
)

# A CoAP message of this size fits any path unfragmented (RFC 7252, section
# 4.6); larger answers travel as blocks, each an answer of its own.
ANSWER_LIMIT = 1152

Identity = tuple[RequestKey, bytes]


@attrs.define
class Slot:
    """An entry, with what concerns this process only.

    Parameters
    ----------
    bucket : int
        Bucket of its flow.
    key : RequestKey
        Which request.
    checksum : bytes
        Digest of what it asks for.
    state : RequestState
        How far it came.
    answer : bytes
        What the caller was told, up to :data:`ANSWER_LIMIT`.
    kept_since : float
        Time in seconds from which its stay is counted: that of its first
        packet, and later that of its end.
    is_running : bool
        True while this process has the run in its hands.
    """

    bucket: int
    key: RequestKey
    checksum: bytes
    state: RequestState
    answer: bytes
    kept_since: float
    is_running: bool

    @property
    def identity(self) -> Identity:
        """What the entry is found by."""
        return (self.key, self.checksum)

    def to_entry(self, now: float) -> LedgerEntry:
        """Return it as it travels."""
        age = max(0, now - self.kept_since)
        return LedgerEntry(
            self.key, self.checksum, self.state, self.answer, age
        )
