"""The ledger: what a process remembers of non-idempotent requests.

A request is identified by its key and its checksum together: a message id or a
token used again for something else is another request, and the older one is
still remembered.  Why the ledger refuses new work where others would forget is
measured in ``docs/design/ledger.md``.
"""

import math
from collections.abc import Iterable

from redwingstream.requests.begun import (
    Answered,
    BeginResult,
    Fresh,
    Full,
    OutcomeUnknown,
    Running,
    WasNotRun,
)
from redwingstream.requests.condensed import CondensedMemory
from redwingstream.requests.counters import LedgerCounters
from redwingstream.requests.records import (
    LedgerEntry,
    RequestKey,
    RequestState,
)
from redwingstream.requests.slots import ANSWER_LIMIT, Slot
from redwingstream.requests.store import SlotStore

# Bytes that an entry costs besides its answer: docs/design/ledger.md.
ENTRY_COST = 800
# Entries passed over, for one request, because their buckets' filters are full.
MOST_DEFERRED = 16
# Callers that are refused for want of room are asked to wait this many seconds
# at the most, however long the oldest entry still has to stay.
MAX_COME_BACK = 30


class Ledger:
    """Bounded memory of non-idempotent requests.

    It forgets nothing that could be replayed into a second run: neither a run
    in progress here, nor anything first seen within the replay horizon.  When
    there is no room left, it condenses ended requests, whose replays then get
    *unknown* in place of the answer; when that is at its bound too, it refuses
    new work.

    Parameters
    ----------
    capacity : int
        How many entries it begins or accepts; contents of a bucket that it
        takes over are merged beyond that, and new work waits until they go.
    replay_horizon : float
        Seconds after the first packet of a request in which others of it can
        come (``EXCHANGE_LIFETIME`` of RFC 7252 is 247).  It is not counted
        from the last packet, of which the heir hears nothing: when it took
        over, it would forget a request that its former home still knew.

    Attributes
    ----------
    condensed : CondensedMemory
        Requests without an entry.  What it exports of a bucket must travel
        with the bucket's entries, or they could run again at the next home.
    counters : LedgerCounters
        What happened so far.
    """

    def __init__(self, capacity: int, replay_horizon: float) -> None:
        self.capacity = capacity
        self.replay_horizon = replay_horizon
        self.counters = LedgerCounters()
        self.condensed = CondensedMemory(replay_horizon)
        self._slots = SlotStore(self.counters)

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._slots)

    @property
    def bytes_held(self) -> int:
        """Estimated memory in bytes: entries, answers and filters."""
        entries = len(self) * ENTRY_COST
        return entries + self._slots.answer_bytes + self.condensed.size

    @property
    def bytes_bound(self) -> int:
        """What a full ledger costs at the most in bytes, without filters."""
        return self.capacity * (ENTRY_COST + ANSWER_LIMIT)

    def has_room(self, count: int) -> bool:
        """Whether there is room for so many new entries as things stand."""
        return len(self) + count <= self.capacity

    def make_room(self, count: int, now: float) -> bool:
        """Expire and condense entries until there is room for new ones.

        Parameters
        ----------
        count : int
            How many; an heir asks for the new ones in a record.
        now : float
            Seconds.

        Returns
        -------
        bool
            False means: refuse the record or the request.
        """
        self.evict_expired(now)
        deferred = 0
        while not self.has_room(count):
            slot = self._slots.condensable()
            if slot is None or deferred >= MOST_DEFERRED:
                return False
            if self.condensed.take(slot, now):
                self._slots.remove(slot)
                self.counters.condensed += 1
            else:
                # Its bucket's filter is full, those of others may not be.
                self._slots.defer(slot)
                deferred += 1
        return True

    def begin(
        self, bucket: int, key: RequestKey, checksum: bytes, now: float
    ) -> BeginResult:
        """Say what a request that has arrived at its home is to get.

        Parameters
        ----------
        bucket : int
            Bucket of its flow.
        key : RequestKey
            Which request.
        checksum : bytes
            See :func:`~redwingstream.requests.checksum.request_checksum`.
        now : float
            Seconds.

        Returns
        -------
        Begun
            Only after :class:`Fresh` may it be run, once it is recorded.
        """
        slot = self._slots.get(key, checksum)
        if slot is not None:
            self.counters.replayed += 1
            return _replay_of(slot)
        if self.condensed.ended.holds(bucket, key, checksum, now):
            self.counters.replayed += 1
            return OutcomeUnknown(b'')
        if self.condensed.refused.holds(bucket, key, checksum, now):
            return self._refuse(bucket, key, checksum, now)
        if not self.make_room(1, now):
            return self._refuse(bucket, key, checksum, now)
        self.counters.fresh += 1
        started = RequestState.STARTED
        self._slots.add(Slot(bucket, key, checksum, started, b'', now, True))
        return Fresh()

    def finish(
        self,
        key: RequestKey,
        checksum: bytes,
        state: RequestState,
        answer: bytes,
        now: float,
    ) -> None:
        """Take the outcome of a run; a better one may follow, no worse one.

        Parameters
        ----------
        key, checksum : RequestKey and bytes
            Which request.
        state : RequestState
            A final state.
        answer : bytes
            What the caller is told.  Above :data:`ANSWER_LIMIT` it is not
            kept, and replays get *unknown*: true, if less than they hoped.
        now : float
            Seconds.
        """
        slot = self._slots.get(key, checksum)
        if slot is None:
            self.counters.unmatched += 1
            return
        self._slots.improve(slot, state, answer)
        # More than is promised, for callers that repeat a request that took
        # long: the heir's entry is not postponed by this.
        self._slots.postpone(slot, now)

    def abandon(
        self, key: RequestKey, checksum: bytes, answer: bytes, now: float
    ) -> None:
        """Give up a fresh request that no heir has acknowledged.

        Once the heir has acknowledged it, a request that is not handed over
        ends with :meth:`finish` and ``NOT_RUN`` instead, which the heir
        believes.

        Parameters
        ----------
        key, checksum : RequestKey and bytes
            Which request.
        answer : bytes
            What the caller is told.
        now : float
            Seconds.
        """
        slot = self._slots.get(key, checksum)
        if slot is None or not slot.is_running:
            self.counters.unmatched += 1
            return
        self._slots.abandon(slot, answer)
        self._slots.postpone(slot, now)

    def find_entry(
        self, key: RequestKey, checksum: bytes, now: float | None = None
    ) -> LedgerEntry | None:
        """Return an entry as it travels, or None.

        Parameters
        ----------
        key, checksum : RequestKey and bytes
            Which request.
        now : float, optional
            Seconds; without it the age is 0, which only keeps it longer.
        """
        slot = self._slots.get(key, checksum)
        if slot is None:
            return None
        return slot.to_entry(slot.kept_since if now is None else now)

    def export(self, bucket: int, now: float) -> tuple[LedgerEntry, ...]:
        """Return the entries of a bucket, for its next home or its heir."""
        slots = self._slots.of_bucket(bucket)
        return tuple(slot.to_entry(now) for slot in slots)

    def merge(
        self, bucket: int, entries: Iterable[LedgerEntry], now: float
    ) -> None:
        """Take entries from another ledger, beyond the capacity if need be.

        Parameters
        ----------
        bucket : int
            Bucket of the entries.
        entries : iterable of LedgerEntry
            In any order and any number of times.
        now : float
            Seconds.
        """
        for entry in entries:
            self._slots.merge(bucket, entry, now)

    def drop(self, bucket: int) -> None:
        """Forget a bucket that is neither home nor heir here any more."""
        for slot in tuple(self._slots.of_bucket(bucket)):
            self._slots.remove(slot)
        self.condensed.drop(bucket)

    def evict_expired(self, now: float) -> None:
        """Forget what is older than the replay horizon and not running."""
        oldest = self._slots.oldest()
        while oldest and now - oldest.kept_since > self.replay_horizon:
            if oldest.is_running:
                self._slots.postpone(oldest, now)
            else:
                self.counters.expired += 1
                self._slots.remove(oldest)
            oldest = self._slots.oldest()

    def _refuse(
        self, bucket: int, key: RequestKey, checksum: bytes, now: float
    ) -> Full:
        # Without this a duplicate of a refused packet, late on its way, could
        # find room and run although its caller was told *not run* and has
        # sent the work again under a new message id: it would be done twice.
        self.condensed.refused.add(bucket, key, checksum, now)
        self.counters.refused += 1
        return Full(self._come_back(now))

    def _come_back(self, now: float) -> int:
        oldest = self._slots.oldest()
        if oldest is None or self.has_room(1):
            return 1
        wait = math.ceil(oldest.kept_since + self.replay_horizon - now)
        return max(1, min(wait, MAX_COME_BACK))


def _replay_of(slot: Slot) -> BeginResult:
    """Return what another packet of a known request gets."""
    if slot.is_running:
        return Running()
    match slot.state:
        case RequestState.ANSWERED if slot.answer:
            return Answered(slot.answer)
        case RequestState.NOT_RUN | RequestState.ABANDONED:
            return WasNotRun(slot.answer)
        case RequestState.UNKNOWN:
            return OutcomeUnknown(slot.answer)
        case _:
            # STARTED elsewhere, or an answer too large to keep.
            return OutcomeUnknown(b'')
