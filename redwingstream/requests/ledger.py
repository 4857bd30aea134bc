"""The ledger: what a process remembers of non-idempotent requests.

A request is identified by its key and its checksum together: a message id or a
token used again for something else is another request, and the older one is
still remembered.  Why the ledger refuses new work where others would forget is
measured in ``docs/design/ledger.md``.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable, Iterator

import attrs

from redwingstream.requests.records import (
    LedgerEntry,
    RequestKey,
    RequestState,
)
from redwingstream.requests.refusals import RefusalFilter

# A CoAP message of this size fits any path unfragmented (RFC 7252, section
# 4.6); larger answers travel as blocks, each an answer of its own.
ANSWER_LIMIT = 1152
# What an entry costs besides its answer, measured in docs/design/ledger.md.
ENTRY_COST = 1280
# Callers that are refused for want of room are asked to wait this many seconds
# at the most, however long the oldest entry still has to stay.
MAX_COME_BACK = 30

# What a merge makes of two states: the higher one.  A maximum gives the same
# result in whichever order ledgers exchange entries.
#
# STARTED beats ABANDONED: two homes can have seen duplicates of one request,
# and what one gave up the other may have run.
# NOT_RUN beats STARTED and UNKNOWN: it is reported by whoever made the
# recorded run, and a recorded run has no second one beside it.
# ANSWERED beats all: there is proof that it ran.  Against NOT_RUN that is a
# contradiction, which is counted; to go on saying *not run* would be false.
_RANKS = {
    RequestState.ABANDONED: 0,
    RequestState.STARTED: 1,
    RequestState.UNKNOWN: 2,
    RequestState.NOT_RUN: 3,
    RequestState.ANSWERED: 4,
}
_SURELY_NOT_RUN = frozenset((RequestState.ABANDONED, RequestState.NOT_RUN))
_OUTCOME_KNOWN = frozenset((RequestState.NOT_RUN, RequestState.ANSWERED))

_Identity = tuple[RequestKey, bytes]


@attrs.frozen
class Fresh:
    """Never seen; it is now ``STARTED`` and the asker must run or end it."""


@attrs.frozen
class Running:
    """This process is running it; the answer will follow."""


@attrs.frozen
class Answered:
    """It ran; the caller gets the same answer again.

    Parameters
    ----------
    packet : bytes
        The answer.
    """

    packet: bytes


@attrs.frozen
class WasNotRun:
    """The caller was told *not run*, and it stays so.

    A replay is not given a second chance: it may be a late duplicate, and its
    caller may have sent the same reservation under a new message id since.

    Parameters
    ----------
    packet : bytes
        What the caller was told.
    """

    packet: bytes


@attrs.frozen
class OutcomeUnknown:
    """It may have run; it will not be run again.

    Parameters
    ----------
    packet : bytes
        What the caller was told; empty when it was told nothing yet.
    """

    packet: bytes


@attrs.frozen
class Full:
    """Surely not run: there is no room to remember it, or there was none.

    Parameters
    ----------
    come_back : int
        Seconds until it may be worth a new attempt under a new message id.
    """

    come_back: int


Begun = Fresh | Running | Answered | WasNotRun | OutcomeUnknown | Full


@attrs.define
class LedgerCounters:
    """How often each thing happened, for the state dump and metrics.

    Parameters
    ----------
    fresh, replayed, refused : int
        Requests begun, found again, and refused for want of room.
    expired, condensed : int
        Entries forgotten after the replay horizon, and surely-not-run entries
        condensed into a filter.
    answers_too_large : int
        Answers above :data:`ANSWER_LIMIT`, which replays do not get.
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


@attrs.define
class _Slot:
    """An entry of this ledger, with what concerns this process only."""

    bucket: int
    key: RequestKey
    checksum: bytes
    state: RequestState
    answer: bytes
    last_seen: float
    is_running: bool

    @property
    def identity(self) -> _Identity:
        """What the entry is found by."""
        return (self.key, self.checksum)

    def to_entry(self, now: float) -> LedgerEntry:
        """Return it as it travels."""
        return LedgerEntry(
            self.key,
            self.checksum,
            self.state,
            self.answer,
            max(0, now - self.last_seen),
        )


class Ledger:
    """Bounded memory of non-idempotent requests.

    It forgets nothing that could be replayed into a second run: neither a run
    in progress here, nor anything seen within the replay horizon.  When there
    is no room left, it refuses new work.

    Parameters
    ----------
    capacity : int
        How many entries it begins or accepts; contents of a bucket that it
        takes over are merged beyond that, and new work waits until they go.
    replay_horizon : float
        Seconds after the last packet of a request in which another can come
        (``EXCHANGE_LIFETIME`` of RFC 7252 is 247).
    """

    def __init__(self, capacity: int, replay_horizon: float) -> None:
        self.capacity = capacity
        self.replay_horizon = replay_horizon
        self.counters = LedgerCounters()
        # Ordered by the time last seen, merged entries by that of the merge.
        self._by_identity: OrderedDict[_Identity, _Slot] = OrderedDict()
        self._identities_by_bucket: dict[int, dict[_Identity, None]] = {}
        # Surely-not-run entries in the order in which they may be condensed.
        self._condensable: dict[_Identity, None] = {}
        self._refusals_by_bucket: dict[int, RefusalFilter] = {}
        self._answer_bytes = 0

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._by_identity)

    @property
    def bytes_held(self) -> int:
        """Estimated memory in bytes: entries, answers and filters."""
        filters = sum(
            refusals.size for refusals in self._refusals_by_bucket.values()
        )
        return len(self) * ENTRY_COST + self._answer_bytes + filters

    @property
    def bytes_bound(self) -> int:
        """What a full ledger costs at the most in bytes, without filters."""
        return self.capacity * (ENTRY_COST + ANSWER_LIMIT)

    def has_room(self, count: int) -> bool:
        """Whether an heir may accept so many entries that are new to it."""
        return len(self) + count <= self.capacity

    def begin(
        self, bucket: int, key: RequestKey, checksum: bytes, now: float
    ) -> Begun:
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
        slot = self._by_identity.get((key, checksum))
        if slot is not None:
            self.counters.replayed += 1
            self._touch(slot, now)
            return _replay_of(slot)
        if self._was_refused(bucket, key, checksum, now):
            return self._refuse(bucket, key, checksum, now)
        self._make_room(now)
        if len(self) >= self.capacity:
            return self._refuse(bucket, key, checksum, now)
        self.counters.fresh += 1
        started = RequestState.STARTED
        self._add(_Slot(bucket, key, checksum, started, b'', now, True))
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
        slot = self._by_identity.get((key, checksum))
        if slot is None:
            self.counters.unmatched += 1
            return
        slot.is_running = False
        self._raise_state(slot, state, answer)
        self._touch(slot, now)

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
        slot = self._by_identity.get((key, checksum))
        if slot is None or not slot.is_running:
            self.counters.unmatched += 1
            return
        slot.is_running = False
        self._set_state(slot, RequestState.ABANDONED, answer)
        self._touch(slot, now)

    def entry(
        self, key: RequestKey, checksum: bytes, now: float = math.inf
    ) -> LedgerEntry | None:
        """Return an entry as it travels, or None.

        Parameters
        ----------
        key, checksum : RequestKey and bytes
            Which request.
        now : float, optional
            Seconds; without it the age is 0, which only keeps it longer.
        """
        slot = self._by_identity.get((key, checksum))
        if slot is None:
            return None
        return slot.to_entry(slot.last_seen if math.isinf(now) else now)

    def export(self, bucket: int, now: float) -> tuple[LedgerEntry, ...]:
        """Return the entries of a bucket, for its next home or its heir."""
        return tuple(slot.to_entry(now) for slot in self._slots_of(bucket))

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
            slot = self._by_identity.get((entry.key, entry.checksum))
            if slot is None:
                self._add_merged(bucket, entry, now)
            else:
                self._merge_into(slot, entry, now)

    def drop(self, bucket: int) -> None:
        """Forget a bucket that is neither home nor heir here any more."""
        for slot in tuple(self._slots_of(bucket)):
            self._remove(slot)
        self._refusals_by_bucket.pop(bucket, None)

    def expire(self, now: float) -> None:
        """Forget what is older than the replay horizon and not running."""
        oldest = self._oldest()
        while oldest and now - oldest.last_seen > self.replay_horizon:
            if oldest.is_running:
                self._touch(oldest, now)
            else:
                self.counters.expired += 1
                self._remove(oldest)
            oldest = self._oldest()

    def _slots_of(self, bucket: int) -> Iterator[_Slot]:
        identities = self._identities_by_bucket.get(bucket, {})
        return (self._by_identity[identity] for identity in identities)

    def _oldest(self) -> _Slot | None:
        return next(iter(self._by_identity.values()), None)

    def _touch(self, slot: _Slot, now: float) -> None:
        # A caller that repeats itself has not got its answer and is likely to
        # repeat itself once more: its entry stays for another horizon.
        slot.last_seen = max(slot.last_seen, now)
        self._by_identity.move_to_end(slot.identity)

    def _add(self, slot: _Slot) -> None:
        identity = slot.identity
        self._by_identity[identity] = slot
        self._identities_by_bucket.setdefault(slot.bucket, {})[identity] = None
        self._answer_bytes += len(slot.answer)
        if slot.state in _SURELY_NOT_RUN:
            self._condensable[identity] = None

    def _remove(self, slot: _Slot) -> None:
        identity = slot.identity
        del self._by_identity[identity]
        self._condensable.pop(identity, None)
        self._answer_bytes -= len(slot.answer)
        identities = self._identities_by_bucket[slot.bucket]
        del identities[identity]
        if not identities:
            del self._identities_by_bucket[slot.bucket]

    def _set_state(
        self, slot: _Slot, state: RequestState, answer: bytes
    ) -> None:
        self._condensable.pop(slot.identity, None)
        if len(answer) > ANSWER_LIMIT:
            self.counters.answers_too_large += 1
            answer = b''
        self._answer_bytes += len(answer) - len(slot.answer)
        slot.state = state
        slot.answer = answer
        if state in _SURELY_NOT_RUN:
            self._condensable[slot.identity] = None

    def _raise_state(
        self, slot: _Slot, state: RequestState, answer: bytes
    ) -> None:
        is_proof = state is RequestState.ANSWERED
        if is_proof and slot.state in _SURELY_NOT_RUN:
            self.counters.contradictions += 1
        if _RANKS[state] > _RANKS[slot.state]:
            self._set_state(slot, state, answer)

    def _add_merged(self, bucket: int, entry: LedgerEntry, now: float) -> None:
        answer = entry.answer[: ANSWER_LIMIT + 1]
        if len(answer) > ANSWER_LIMIT:
            self.counters.answers_too_large += 1
            answer = b''
        self._add(
            _Slot(
                bucket,
                entry.key,
                entry.checksum,
                entry.state,
                answer,
                now - entry.age,
                is_running=False,
            )
        )

    def _merge_into(self, slot: _Slot, entry: LedgerEntry, now: float) -> None:
        # Of a run in progress here another process can only know the outcome;
        # its STARTED or UNKNOWN is an echo of what this one recorded there.
        if slot.is_running and entry.state not in _OUTCOME_KNOWN:
            return
        if entry.state in _OUTCOME_KNOWN:
            slot.is_running = False
        self._raise_state(slot, entry.state, entry.answer)
        slot.last_seen = max(slot.last_seen, now - entry.age)

    def _was_refused(
        self, bucket: int, key: RequestKey, checksum: bytes, now: float
    ) -> bool:
        refusals = self._refusals_by_bucket.get(bucket)
        return refusals is not None and refusals.holds(key, checksum, now)

    def _remember_refusal(
        self, bucket: int, key: RequestKey, checksum: bytes, now: float
    ) -> None:
        refusals = self._refusals_by_bucket.get(bucket)
        if refusals is None:
            refusals = RefusalFilter(self.replay_horizon, now)
            self._refusals_by_bucket[bucket] = refusals
        refusals.add(key, checksum, now)

    def _refuse(
        self, bucket: int, key: RequestKey, checksum: bytes, now: float
    ) -> Full:
        # Without this a duplicate of a refused packet, late on its way, could
        # find room and run although its caller was told *not run* and has
        # sent the work again under a new message id: it would be done twice.
        self._remember_refusal(bucket, key, checksum, now)
        self.counters.refused += 1
        return Full(self._come_back(now))

    def _come_back(self, now: float) -> int:
        oldest = self._oldest()
        if oldest is None or len(self) < self.capacity:
            return 1
        wait = math.ceil(oldest.last_seen + self.replay_horizon - now)
        return max(1, min(wait, MAX_COME_BACK))

    def _make_room(self, now: float) -> None:
        self.expire(now)
        while self._condensable and len(self) >= self.capacity:
            slot = self._by_identity[next(iter(self._condensable))]
            self._remember_refusal(slot.bucket, *slot.identity, now)
            self._remove(slot)
            self.counters.condensed += 1


def _replay_of(slot: _Slot) -> Begun:
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
