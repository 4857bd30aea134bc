"""Entries of a ledger, in the order in which this process added them."""

from collections import OrderedDict
from collections.abc import Iterator

from redwingstream.requests.condensing_order import CondensingOrder
from redwingstream.requests.counters import LedgerCounters
from redwingstream.requests.records import (
    LedgerEntry,
    RequestKey,
    RequestState,
)
from redwingstream.requests.slots import ANSWER_LIMIT, Identity, Slot
from redwingstream.requests.states import (
    is_contradiction,
    is_outcome_known,
    supersedes,
)


class SlotStore:
    """Entries by identity and by bucket, with the size of their answers.

    Parameters
    ----------
    counters : LedgerCounters
        Counters for contradictions and for answers that are not kept.

    Attributes
    ----------
    answer_bytes : int
        Size of all kept answers in bytes.
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

    def slots_in_bucket(self, bucket: int) -> Iterator[Slot]:
        """Return the entries of a bucket."""
        return iter(self._by_bucket.get(bucket, {}).values())

    def oldest(self) -> Slot | None:
        """Return the entry that was added or restarted first."""
        return next(iter(self._by_identity.values()), None)

    def next_to_condense(self) -> Slot | None:
        """Return the entry to condense next; None if none may be condensed."""
        return self._condensing.next_to_condense()

    def defer(self, slot: Slot) -> None:
        """Condense other entries of the same class before this one."""
        self._condensing.reclassify(slot)

    def add(self, slot: Slot) -> None:
        """Add a new entry."""
        identity = slot.identity
        self._by_identity[identity] = slot
        self._by_bucket.setdefault(slot.bucket, {})[identity] = slot
        self.answer_bytes += len(slot.answer)
        self._condensing.add(slot)

    def remove(self, slot: Slot) -> None:
        """Remove an entry."""
        identity = slot.identity
        self._by_identity.pop(identity)
        self._condensing.remove(slot)
        self.answer_bytes -= len(slot.answer)
        slots = self._by_bucket[slot.bucket]
        slots.pop(identity)
        if not slots:
            self._by_bucket.pop(slot.bucket)

    def restart_retention(self, slot: Slot, now: float) -> None:
        """Restart the retention period of an entry."""
        slot.retained_from = now
        self._by_identity.move_to_end(slot.identity)

    def record_outcome(
        self, slot: Slot, state: RequestState, answer: bytes
    ) -> None:
        """End a run in this process; set a state that takes precedence."""
        slot.is_running = False
        if is_contradiction(slot.state, state):
            self._counters.contradictions += 1
        is_answer_missing = state is slot.state and not slot.answer
        if is_answer_missing or supersedes(state, slot.state):
            self._set_state(slot, state, answer)

    def abandon(self, slot: Slot, answer: bytes) -> None:
        """Record that a request was given up before it took effect."""
        slot.is_running = False
        self._set_state(slot, RequestState.ABANDONED, answer)

    def merge(self, bucket: int, entry: LedgerEntry, now: float) -> None:
        """Merge an entry of another ledger."""
        slot = self.get(entry.key, entry.checksum)
        if slot is None:
            self._add_merged(bucket, entry, now - entry.age)
            return
        # For a run in progress in this process, another process can only
        # contribute the outcome; its STARTED or UNKNOWN originates from the
        # record of this process.
        if is_outcome_known(entry.state) or not slot.is_running:
            self.record_outcome(slot, entry.state, entry.answer)

    def _add_merged(
        self, bucket: int, entry: LedgerEntry, retained_from: float
    ) -> None:
        slot = Slot(
            bucket,
            entry.key,
            entry.checksum,
            entry.state,
            self._limit_answer(entry.answer),
            retained_from,
            is_running=False,
        )
        self.add(slot)

    def _limit_answer(self, answer: bytes) -> bytes:
        if len(answer) <= ANSWER_LIMIT:
            return answer
        self._counters.answers_too_large += 1
        return b''

    def _set_state(
        self, slot: Slot, state: RequestState, answer: bytes
    ) -> None:
        kept = self._limit_answer(answer)
        self.answer_bytes += len(kept) - len(slot.answer)
        slot.state = state
        slot.answer = kept
        self._condensing.reclassify(slot)
