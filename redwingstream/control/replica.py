"""Carries out what the consensus decides: stores, sends, applies."""

import logging
from collections.abc import Callable

import attrs

from redwingstream.consensus.core import Consensus
from redwingstream.consensus.events import (
    Effects,
    Event,
    HardState,
    Outgoing,
    Proposed,
    ReadAsked,
    SnapshotTaken,
    Synced,
)
from redwingstream.consensus.messages import Entry
from redwingstream.errors import (
    CallFailedError,
    RedwingstreamError,
    ResultCode,
    StorageError,
)
from redwingstream.storage.store import LoadedState, ReplicaStore
from redwingstream.tables.machine.state_machine import (
    StateMachine,
    CommandResult,
)
from redwingstream.wire import messages

_logger = logging.getLogger(__name__)

SNAPSHOT_EVERY = 1000
KEPT_ENTRIES = 500

Done = Callable[[CommandResult | RedwingstreamError], None]


@attrs.frozen
class ReplicaEnvironment:
    """What a replica needs from outside.

    Parameters
    ----------
    send : callable
        Sends a message to another replica; it may be lost.
    clock : callable
        Returns the time in seconds.
    schedule : callable
        Runs a function soon, once for all that comes until then; each run
        costs one sync.
    failed : callable
        Takes the error of the storage that stops this replica.
    """

    send: Callable[[Outgoing], None]
    clock: Callable[[], float]
    schedule: Callable[[Callable[[], None]], object]
    on_storage_failure: Callable[[StorageError], None]


@attrs.frozen
class SnapshotRule:
    """When entries give way to a snapshot, and how many stay in memory."""

    every: int = SNAPSHOT_EVERY
    kept: int = KEPT_ENTRIES


DEFAULT_SNAPSHOT_RULE = SnapshotRule()


@attrs.frozen
class _Waiter:
    term: int
    done: Done


class Replica:
    """One replica: consensus, durable state and state machine.

    Parameters
    ----------
    consensus : Consensus
        Decides; restored from ``loaded`` here.
    store : Store
        Durable state.
    loaded : Loaded
        What was stored.
    surroundings : Surroundings
        Network, clock and loop.
    snapshot_rule : SnapshotRule
        When entries give way to a snapshot.

    Notes
    -----
    After an error of the storage the replica does and says nothing more.  An
    answer based on bytes whose sync failed could be taken back by the next
    restart.
    """

    def __init__(
        self,
        consensus: Consensus,
        store: ReplicaStore,
        loaded: LoadedState,
        surroundings: ReplicaEnvironment,
        snapshot_rule: SnapshotRule = DEFAULT_SNAPSHOT_RULE,
    ) -> None:
        self.consensus = consensus
        self.machine = StateMachine()
        self._store = store
        self._around = surroundings
        self._snapshot_rule = snapshot_rule
        self._pending = Effects()
        self._scheduled = False
        self._stopped = False
        self._waiter_by_index: dict[int, _Waiter] = {}
        self._reader_by_ticket: dict[int, Done] = {}
        self._next_ticket = 0
        consensus.restore(loaded.hard_state, loaded.snapshot, loaded.entries)
        if loaded.snapshot is not None:
            self.machine.load(loaded.snapshot.state)

    def step(self, event: Event) -> None:
        """Let the consensus take an event."""
        if self._stopped:
            return
        self._absorb(self.consensus.step(event, self._around.clock()))

    def propose(self, command: object, done: Done) -> None:
        """Have a command accepted and applied.

        Parameters
        ----------
        command : object
            A message that the state machine knows.
        done : callable
            Takes the outcome, or a ``CallFailedError`` with ``NO_QUORUM``
            when it is unknown whether the command will be accepted.

        Raises
        ------
        CallFailedError
            When the command was not taken.
        """
        self._check_running()
        proposed = Proposed(*messages.encode(command))
        now = self._around.clock()
        index, effects = self.consensus.propose(proposed, now)
        self._waiter_by_index[index] = _Waiter(self.consensus.term, done)
        self._absorb(effects)

    def read(self, done: Done) -> None:
        """Call back once the machine holds all that is accepted by now."""
        self._check_running()
        ticket = self._next_ticket
        self._next_ticket += 1
        now = self._around.clock()
        effects = self.consensus.read(ReadAsked(ticket), now)
        self._reader_by_ticket[ticket] = done
        self._absorb(effects)

    def _check_running(self) -> None:
        if self._stopped:
            raise CallFailedError(
                'this replica has stopped: its storage failed',
                ResultCode.DISK_FAILED,
            )

    def _absorb(self, effects: Effects) -> None:
        if effects.is_empty:
            return
        pending = self._pending
        pending.snapshot = effects.snapshot or pending.snapshot
        pending.install = effects.install or pending.install
        pending.hard_state = effects.hard_state or pending.hard_state
        pending.entries.extend(effects.entries)
        pending.outgoing.extend(effects.outgoing)
        pending.committed.extend(effects.committed)
        pending.reads.extend(effects.reads)
        if not self._scheduled:
            self._scheduled = True
            self._around.schedule(self._flush)

    def _flush(self) -> None:
        self._scheduled = False
        effects = self._pending
        self._pending = Effects()
        if self._stopped:
            return
        try:
            self._persist(effects)
        except StorageError as error:
            self._stop(error)
        else:
            self._carry_on(effects)

    def _carry_on(self, effects: Effects) -> None:
        for outgoing in effects.outgoing:
            self._around.send(outgoing)
        self._apply(effects)
        if effects.entries:
            self.step(Synced(self.consensus.log.last_index))
        if not self.consensus.is_leader:
            self._give_up_waiters()

    def _persist(self, effects: Effects) -> None:
        hard_state: HardState = self.consensus.hard_state
        snapshot = effects.snapshot
        if snapshot is not None:
            rest = self.consensus.log.from_index(snapshot.index + 1)
            self._store.save_snapshot(snapshot, hard_state, rest)
        elif effects.entries or effects.hard_state is not None:
            self._store.save(effects.hard_state, effects.entries)

    def _stop(self, error: StorageError) -> None:
        self._stopped = True
        _logger.error('control: storage failed, this replica stops. %s', error)
        self._give_up_waiters()
        self._around.on_storage_failure(error)

    def _apply(self, effects: Effects) -> None:
        installed = 0
        if effects.install and effects.snapshot is not None:
            self.machine.load(effects.snapshot.state)
            installed = effects.snapshot.index
        for entry in effects.committed:
            if entry.index > installed:
                self._apply_entry(entry)
        for ready in effects.reads:
            reader = self._reader_by_ticket.pop(ready.ticket, None)
            if reader is not None:
                reader(None)
        self._maybe_take_snapshot(effects.committed)

    def _apply_entry(self, entry: Entry) -> None:
        outcome = self.machine.apply(entry)
        waiter = self._waiter_by_index.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            waiter.done(outcome)
        else:
            waiter.done(_unknown_outcome())

    def _maybe_take_snapshot(self, committed: list[Entry]) -> None:
        if not committed:
            return
        rule = self._snapshot_rule
        index = committed[-1].index
        if index - self.consensus.log.snapshot_index >= rule.every:
            self.step(SnapshotTaken(index, self.machine.pack(), rule.kept))

    def _give_up_waiters(self) -> None:
        waiting = [waiter.done for waiter in self._waiter_by_index.values()]
        waiting.extend(self._reader_by_ticket.values())
        self._waiter_by_index.clear()
        self._reader_by_ticket.clear()
        for done in waiting:
            done(_unknown_outcome())


def _unknown_outcome() -> CallFailedError:
    return CallFailedError(
        'this replica stopped leading before a majority had synced the '
        'change; it may still be accepted. Send it again with the same '
        'request id: it is then applied once and gets its first answer',
        ResultCode.NO_QUORUM,
    )
