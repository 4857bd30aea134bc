"""Driver of the consensus: stores entries, sends messages, applies commands."""

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
    ReadRequested,
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
    CommandResult,
    StateMachine,
)
from redwingstream.wire import messages

_logger = logging.getLogger(__name__)

SNAPSHOT_INTERVAL = 1000
KEPT_ENTRIES = 500

OutcomeCallback = Callable[[CommandResult | RedwingstreamError], None]


@attrs.frozen
class ReplicaEnvironment:
    """Network, clock and event loop of a replica.

    Parameters
    ----------
    send : callable
        Sends a message to another replica; the message may be lost.
    clock : callable
        Returns the current time in seconds, by the event loop's clock.
    schedule : callable
        Runs a function soon.  All effects until then are written together,
        with one sync.
    on_storage_failure : callable
        Receives the storage error that stops this replica.
    """

    send: Callable[[Outgoing], None]
    clock: Callable[[], float]
    schedule: Callable[[Callable[[], None]], object]
    on_storage_failure: Callable[[StorageError], None]


@attrs.frozen
class SnapshotRule:
    """When a snapshot replaces entries, and how many entries stay in memory.

    Parameters
    ----------
    interval : int
        Number of entries applied between two snapshots.
    kept_entries : int
        Number of entries below the snapshot that stay in memory.
    """

    interval: int = SNAPSHOT_INTERVAL
    kept_entries: int = KEPT_ENTRIES


DEFAULT_SNAPSHOT_RULE = SnapshotRule()


@attrs.frozen
class _Waiter:
    term: int
    done: OutcomeCallback


class Replica:
    """One replica: consensus, durable state and state machine.

    Parameters
    ----------
    consensus : Consensus
        State of the consensus; it is restored from ``loaded`` here.
    store : ReplicaStore
        Durable state.
    loaded : LoadedState
        The stored state.
    environment : ReplicaEnvironment
        Network, clock and event loop.
    snapshot_rule : SnapshotRule
        When a snapshot replaces entries.

    Notes
    -----
    After a storage error the replica does nothing and sends nothing any more.
    An answer based on bytes whose sync failed could be undone by the next
    restart.
    """

    def __init__(
        self,
        consensus: Consensus,
        store: ReplicaStore,
        loaded: LoadedState,
        environment: ReplicaEnvironment,
        snapshot_rule: SnapshotRule = DEFAULT_SNAPSHOT_RULE,
    ) -> None:
        self.consensus = consensus
        self.machine = StateMachine()
        self._store = store
        self._environment = environment
        self._snapshot_rule = snapshot_rule
        self._pending = Effects()
        self._scheduled = False
        self._stopped = False
        self._waiter_by_index: dict[int, _Waiter] = {}
        self._reader_by_ticket: dict[int, OutcomeCallback] = {}
        self._next_ticket = 0
        consensus.restore(loaded.hard_state, loaded.snapshot, loaded.entries)
        if loaded.snapshot is not None:
            self.machine.load(loaded.snapshot.state)

    def step(self, event: Event) -> None:
        """Pass an event to the consensus."""
        if self._stopped:
            return
        self._queue_effects(
            self.consensus.step(event, self._environment.clock())
        )

    def propose(self, command: object, done: OutcomeCallback) -> None:
        """Propose a command to be committed and applied.

        Parameters
        ----------
        command : object
            Command of the state machine.
        done : callable
            Receives the outcome, or a ``CallFailedError`` with ``NO_QUORUM``
            when it is unknown whether the command will be committed.

        Raises
        ------
        CallFailedError
            When the command was rejected.
        """
        self._check_running()
        proposed = Proposed(*messages.encode(command))
        now = self._environment.clock()
        index, effects = self.consensus.propose(proposed, now)
        self._waiter_by_index[index] = _Waiter(self.consensus.term, done)
        self._queue_effects(effects)

    def read(self, done: OutcomeCallback) -> None:
        """Call back once the machine has applied all commits until now."""
        self._check_running()
        ticket = self._next_ticket
        self._next_ticket += 1
        now = self._environment.clock()
        effects = self.consensus.read(ReadRequested(ticket), now)
        self._reader_by_ticket[ticket] = done
        self._queue_effects(effects)

    def _check_running(self) -> None:
        if self._stopped:
            raise CallFailedError(
                'this replica has stopped: its storage failed',
                ResultCode.DISK_FAILED,
            )

    def _queue_effects(self, effects: Effects) -> None:
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
            self._environment.schedule(self._flush)

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
            self._finish_flush(effects)

    def _finish_flush(self, effects: Effects) -> None:
        for outgoing in effects.outgoing:
            self._environment.send(outgoing)
        self._apply(effects)
        if effects.entries:
            self.step(Synced(self.consensus.log.last_index))
        if not self.consensus.is_leader:
            self._fail_waiters()

    def _persist(self, effects: Effects) -> None:
        hard_state: HardState = self.consensus.hard_state
        snapshot = effects.snapshot
        if snapshot is not None:
            rest = self.consensus.log.entries_from(snapshot.index + 1)
            self._store.save_snapshot(snapshot, hard_state, rest)
        elif effects.entries or effects.hard_state is not None:
            self._store.save(effects.hard_state, effects.entries)

    def _stop(self, error: StorageError) -> None:
        self._stopped = True
        _logger.error('control: storage failed, this replica stops. %s', error)
        self._fail_waiters()
        self._environment.on_storage_failure(error)

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
        if index - self.consensus.log.snapshot_index >= rule.interval:
            self.step(
                SnapshotTaken(index, self.machine.pack(), rule.kept_entries)
            )

    def _fail_waiters(self) -> None:
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
