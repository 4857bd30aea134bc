"""Entries of a ledger in the order in which they arrived."""

from collections import OrderedDict
from collections.abc import Iterator

from redwingstream.requests.condensing import CondensingOrder
from redwingstream.requests.counters import LedgerCounters
from redwingstream.requests.records import (
    LedgerEntry,
    RequestKey,
    RequestState,
)
from redwingstream.requests.slots import ANSWER_LIMIT, Identity, Slot
from redwingstream.requests.states import (
    beats,
    is_contradiction,
    is_outcome_known,
)


class SlotStore:
    """Entries by identity and by bucket, with their size.

    Parameters
    ----------
    counters : LedgerCounters
        Where contradictions and answers that are not kept are counted.

    Attributes
    ----------
    answer_bytes : int
        Sum of the answers kept.
    """

    def __init__(self, counters: LedgerCounters) -> None:
        self.answer_bytes = 0
        self._counters = counters
        self._by_identity: OrderedDict[Identity, Slot] = OrderedDict()
        self._by_bucket: dict[int, dict[Identity, Slot]] = {}
        self._condensing = CondensingOrder()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._by_identity)

    def get(self, key: RequestKey, checksum: bytes) -> Slot | None:
        """Return the entry of a request, or None."""
        return self._by_identity.get((key, checksum))

    def of_bucket(self, bucket: int) -> Iterator[Slot]:
        """Return the entries of a bucket."""
        return iter(self._by_bucket.get(bucket, {}).values())

    def oldest(self) -> Slot | None:
        """Return the entry that has been here the longest."""
        return next(iter(self._by_identity.values()), None)

    def condensable(self) -> Slot | None:
        """Return the entry whose details are missed the least."""
        return self._condensing.first()

    def defer(self, slot: Slot) -> None:
        """Let others of its kind be condensed before an entry."""
        self._condensing.place(slot)

    def add(self, slot: Slot) -> None:
        """Take a new entry."""
        identity = slot.identity
        self._by_identity[identity] = slot
        self._by_bucket.setdefault(slot.bucket, {})[identity] = slot
        self.answer_bytes += len(slot.answer)
        self._condensing.add(slot)

    def remove(self, slot: Slot) -> None:
        """Forget an entry."""
        identity = slot.identity
        self._by_identity.pop(identity)
        self._condensing.remove(slot)
        self.answer_bytes -= len(slot.answer)
        of_bucket = self._by_bucket[slot.bucket]
        of_bucket.pop(identity)
        if not of_bucket:
            self._by_bucket.pop(slot.bucket)

    def postpone(self, slot: Slot, now: float) -> None:
        """Count an entry's stay from now."""
        slot.kept_since = now
        self._by_identity.move_to_end(slot.identity)

    def improve(self, slot: Slot, state: RequestState, answer: bytes) -> None:
        """End the run in progress here, and take better knowledge of it."""
        slot.is_running = False
        if is_contradiction(slot.state, state):
            self._counters.contradictions += 1
        is_missing = state is slot.state and not slot.answer
        if is_missing or beats(state, slot.state):
            self._set_state(slot, state, answer)

    def abandon(self, slot: Slot, answer: bytes) -> None:
        """Note that the request was given up before it took effect."""
        slot.is_running = False
        self._set_state(slot, RequestState.ABANDONED, answer)

    def merge(self, bucket: int, entry: LedgerEntry, now: float) -> None:
        """Take an entry of another ledger."""
        slot = self.get(entry.key, entry.checksum)
        if slot is None:
            self._add_merged(bucket, entry, now - entry.age)
            return
        # Of a run in progress here another process can only know the outcome;
        # its STARTED or UNKNOWN is an echo of what this one recorded there.
        if is_outcome_known(entry.state) or not slot.is_running:
            self.improve(slot, entry.state, entry.answer)

    def _add_merged(
        self, bucket: int, entry: LedgerEntry, kept_since: float
    ) -> None:
        slot = Slot(
            bucket,
            entry.key,
            entry.checksum,
            entry.state,
            self._kept(entry.answer),
            kept_since,
            is_running=False,
        )
        self.add(slot)

    def _kept(self, answer: bytes) -> bytes:
        if len(answer) <= ANSWER_LIMIT:
            return answer
        self._counters.answers_too_large += 1
        return b''

    def _set_state(
        self, slot: Slot, state: RequestState, answer: bytes
    ) -> None:
        kept = self._kept(answer)
        self.answer_bytes += len(kept) - len(slot.answer)
        slot.state = state
        slot.answer = kept
        self._condensing.place(slot)
