"""Internal form of the entries of a ledger."""

import attrs

from redwingstream.requests.records import (
    LedgerEntry,
    RequestKey,
    RequestState,
)

# Maximum size in bytes of an answer that is kept.  A CoAP message of this size
# is not fragmented on any path (RFC 7252, section 4.6); larger answers are sent
# as blocks, each of which is an answer to a separate request.
ANSWER_LIMIT = 1152

Identity = tuple[RequestKey, bytes]


@attrs.define
class Slot:
    """Entry of a ledger, with data that only concerns this process.

    Parameters
    ----------
    bucket : int
        Bucket of its flow.
    key : RequestKey
        Key of the request.
    checksum : bytes
        Digest of its contents.
    state : RequestState
        Progress of the request.
    answer : bytes
        Packet that the caller was sent, with at most :data:`ANSWER_LIMIT`
        bytes.
    retained_from : float
        Start of the retention period, in seconds by the event loop's clock:
        when the first packet arrived, and later when the request ended.
    is_running : bool
        True while this process is running the request.
    """

    bucket: int
    key: RequestKey
    checksum: bytes
    state: RequestState
    answer: bytes
    retained_from: float
    is_running: bool

    @property
    def identity(self) -> Identity:
        """Key and checksum, by which the entry is found."""
        return (self.key, self.checksum)

    def to_entry(self, now: float) -> LedgerEntry:
        """Return the entry in the form in which it is transferred."""
        age = max(0, now - self.retained_from)
        return LedgerEntry(
            self.key, self.checksum, self.state, self.answer, age
        )
