"""Bounded record of non-idempotent requests, which prevents second runs.

A request is identified by its key together with its checksum: if a caller
reuses a message id or a token for different contents, it is another request,
and the earlier one is still remembered.  ``docs/design/ledger.md`` has the
measurements behind refusing new requests instead of dropping old ones.
"""

import math
from collections.abc import Iterable

from redwingstream.requests.begin_results import (
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

# Bytes of memory per entry, besides its answer: docs/design/ledger.md.
ENTRY_BYTES = 800
# Maximum number of entries that are skipped for one request because the filters
# of their buckets are full.
MAX_DEFERRED = 16
# Maximum number of seconds that callers are asked to wait when the ledger is
# full, no matter how long the oldest entry still has to stay.
MAX_RETRY_AFTER = 30


class Ledger:
    """Bounded record of non-idempotent requests.

    It keeps every request whose replay could cause a second run: runs in
    progress in this process, and all requests first seen within the replay
    horizon.  When it is full, it condenses ended requests into Bloom filters;
    their replays then get *unknown* instead of the answer.  When these filters
    are full too, it refuses new requests.

    Parameters
    ----------
    capacity : int
        Maximum number of entries for new requests.  Entries of a bucket that is
        taken over are merged beyond it, and new requests are refused until
        enough entries have gone.
    replay_horizon : float
        Seconds after the first packet of a request in which further packets of
        it can arrive (``EXCHANGE_LIFETIME`` of RFC 7252 is 247).  It is not
        counted from the last packet, of which the heir is not informed: after
        taking over, the heir would drop a request that the former home still
        knew.

    Attributes
    ----------
    condensed : CondensedMemory
        Requests without an entry.  They have to be transferred with the entries
        of their bucket, or they could run again at the next home.
    counters : LedgerCounters
        Numbers of events so far.
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
        entries = len(self) * ENTRY_BYTES
        return entries + self._slots.answer_bytes + self.condensed.size

    @property
    def max_bytes(self) -> int:
        """Maximum memory of a full ledger in bytes, without filters."""
        return self.capacity * (ENTRY_BYTES + ANSWER_LIMIT)

    def has_room(self, count: int) -> bool:
        """Whether that many entries fit without removing others."""
        return len(self) + count <= self.capacity

    def make_room(self, count: int, now: float) -> bool:
        """Evict and condense entries until new ones fit.

        Parameters
        ----------
        count : int
            Number of new entries; for an heir, those in a record that it
            receives.
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        bool
            False if the record or the request has to be refused.
        """
        self.evict_expired(now)
        deferred = 0
        while not self.has_room(count):
            slot = self._slots.next_to_condense()
            if slot is None or deferred >= MAX_DEFERRED:
                return False
            if self.condensed.condense(slot, now):
                self._slots.remove(slot)
                self.counters.condensed += 1
            else:
                # The filter of its bucket is full; others may not be.
                self._slots.defer(slot)
                deferred += 1
        return True

    def begin(
        self, bucket: int, key: RequestKey, checksum: bytes, now: float
    ) -> BeginResult:
        """Register a request that has arrived at its home.

        Parameters
        ----------
        bucket : int
            Bucket of its flow.
        key : RequestKey
            Key of the request.
        checksum : bytes
            See :func:`~redwingstream.requests.checksum.request_checksum`.
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        BeginResult
            What is known of the request.  It may only be run if it is
            :class:`Fresh`, and only once it is recorded.
        """
        slot = self._slots.get(key, checksum)
        if slot is not None:
            self.counters.replayed += 1
            return _replay_result(slot)
        if self.condensed.ended.may_contain(bucket, key, checksum, now):
            self.counters.replayed += 1
            return OutcomeUnknown(b'')
        if self.condensed.refused.may_contain(bucket, key, checksum, now):
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
        """Record the outcome of a run.

        A later outcome replaces it only if its state takes precedence.

        Parameters
        ----------
        key, checksum : RequestKey and bytes
            Identity of the request.
        state : RequestState
            Final state.
        answer : bytes
            Packet that the caller is sent.  If it is larger than
            :data:`ANSWER_LIMIT`, it is not kept, and replays get *unknown*.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        slot = self._slots.get(key, checksum)
        if slot is None:
            self.counters.unmatched += 1
            return
        self._slots.record_outcome(slot, state, answer)
        # This keeps the entry longer than the replay horizon requires, for
        # callers that repeat a request that took long.  The retention of the
        # heir's entry is not extended.
        self._slots.restart_retention(slot, now)

    def abandon(
        self, key: RequestKey, checksum: bytes, answer: bytes, now: float
    ) -> None:
        """Give up a new request that no heir has acknowledged.

        If the heir has acknowledged it, a request that is not passed to a
        server ends by :meth:`finish` with ``NOT_RUN`` instead, which takes
        precedence over the heir's ``STARTED``.

        Parameters
        ----------
        key, checksum : RequestKey and bytes
            Identity of the request.
        answer : bytes
            Packet that the caller is sent.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        slot = self._slots.get(key, checksum)
        if slot is None or not slot.is_running:
            self.counters.unmatched += 1
            return
        self._slots.abandon(slot, answer)
        self._slots.restart_retention(slot, now)

    def find_entry(
        self, key: RequestKey, checksum: bytes, now: float | None = None
    ) -> LedgerEntry | None:
        """Return an entry in the form in which it is transferred, or None.

        Parameters
        ----------
        key, checksum : RequestKey and bytes
            Identity of the request.
        now : float, optional
            Current time in seconds, by the event loop's clock.  Without it the
            age is 0, which only makes the receiver keep the entry longer.
        """
        slot = self._slots.get(key, checksum)
        if slot is None:
            return None
        return slot.to_entry(slot.retained_from if now is None else now)

    def export(self, bucket: int, now: float) -> tuple[LedgerEntry, ...]:
        """Return the entries of a bucket, for its next home or its heir."""
        slots = self._slots.slots_in_bucket(bucket)
        return tuple(slot.to_entry(now) for slot in slots)

    def merge(
        self, bucket: int, entries: Iterable[LedgerEntry], now: float
    ) -> None:
        """Merge entries of another ledger, beyond the capacity if necessary.

        Parameters
        ----------
        bucket : int
            Bucket of the entries.
        entries : iterable of LedgerEntry
            Entries in any order and any number of times.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        for entry in entries:
            self._slots.merge(bucket, entry, now)

    def drop(self, bucket: int) -> None:
        """Remove a bucket of which this agent is neither home nor heir."""
        for slot in tuple(self._slots.slots_in_bucket(bucket)):
            self._slots.remove(slot)
        self.condensed.drop(bucket)

    def evict_expired(self, now: float) -> None:
        """Remove entries older than the replay horizon, except running ones."""
        oldest = self._slots.oldest()
        while oldest and now - oldest.retained_from > self.replay_horizon:
            if oldest.is_running:
                self._slots.restart_retention(oldest, now)
            else:
                self.counters.expired += 1
                self._slots.remove(oldest)
            oldest = self._slots.oldest()

    def _refuse(
        self, bucket: int, key: RequestKey, checksum: bytes, now: float
    ) -> Full:
        # Otherwise a delayed duplicate of a refused packet could be accepted
        # later and run, although its caller was told *not run* and has sent the
        # request again with a new message id: it would be executed twice.
        self.condensed.refused.add(bucket, key, checksum, now)
        self.counters.refused += 1
        return Full(self._retry_after(now))

    def _retry_after(self, now: float) -> int:
        oldest = self._slots.oldest()
        if oldest is None or self.has_room(1):
            return 1
        wait = math.ceil(oldest.retained_from + self.replay_horizon - now)
        return max(1, min(wait, MAX_RETRY_AFTER))


def _replay_result(slot: Slot) -> BeginResult:
    """Return the result for a replay of a known request."""
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
            # STARTED in another process, or an answer too large to keep.
            return OutcomeUnknown(b'')
