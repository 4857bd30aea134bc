"""Recovery by operators after a majority of the disks was lost."""

import attrs
from absl import logging

from redwingstream.consensus.events import HardState
from redwingstream.consensus.messages import Snapshot, Voter
from redwingstream.control.settings import ControlSettings
from redwingstream.errors import ResultCode, SettingError, StorageError
from redwingstream.storage.disk import open_folder
from redwingstream.storage.folder import Folder
from redwingstream.storage.store import LoadedState, ReplicaStore
from redwingstream.tables.machine.state import MachineState
from redwingstream.tables.machine.state_machine import StateMachine
from redwingstream.tables.machine.views import MAX_UNSETTLED_VIEWS, unknown_view
from redwingstream.tables.rows import EarlierView, PoolView

INDEX_JUMP = 1000000
"""Jump of the index and of revisions; exceeds the number of lost entries."""


@attrs.frozen
class RecoveryResult:
    """Position from which a recovered replica continues.

    Parameters
    ----------
    index : int
        Index of its last entry.
    revision, config_revision : int
        Revisions of its tables and of its configuration.
    """

    index: int
    revision: int
    config_revision: int


def recover_single_replica(
    settings: ControlSettings, confirmed: int | None
) -> RecoveryResult:
    """Make the replica of a data folder the only voter of its group.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the replica, which must not run.
    confirmed : int or None
        Configuration revision after which, as the operator confirms, changes
        may be lost.

    Raises
    ------
    SettingError
        When ``confirmed`` is not the revision that the folder holds.  Nothing
        is changed then, and the text says what may be lost.
    StorageError
        ``DATA_MISSING`` when the folder holds no replica of a group.

    Notes
    -----
    Only for operators, when a majority of the replicas has lost its disks
    permanently; run it on the surviving replica with the highest ``last_index``
    in its dump.  Changes that only the lost replicas held are gone, and entries
    that this one held without knowing whether they were committed are committed
    from now on.  All other replicas have to start with empty folders; they are
    admitted one after the other.
    """
    with open_folder(settings.data_folder) as folder:
        _, machine = _load(folder)
        _check_confirmed(machine.state, confirmed)
        return recover_folder(folder, str(settings.endpoint))


def recover_folder(folder: Folder, name: str) -> RecoveryResult:
    """Recover in an open folder; see :func:`recover_single_replica`.

    Parameters
    ----------
    folder : Folder
        Folder of the replica's durable state.
    name : str
        ``IP:PORT`` of the replica.
    """
    loaded, machine = _load(folder)
    snapshot = _last_snapshot(loaded, machine, Voter(name, loaded.identity))
    hard_state = HardState(loaded.hard_state.term + 1, '')
    ReplicaStore(folder).save_snapshot(snapshot, hard_state, ())
    logging.warning(
        'control: recovered by operators as the only voter, at index %d.',
        snapshot.index,
    )
    state = machine.state
    return RecoveryResult(snapshot.index, state.revision, state.config_revision)


def _load(folder: Folder) -> tuple[LoadedState, StateMachine]:
    loaded = ReplicaStore(folder).load(int)
    if loaded.snapshot is None:
        raise StorageError(
            'this data folder holds no replica of a group; recover the '
            'surviving replica with the highest last_index in its dump',
            ResultCode.DATA_MISSING,
        )
    return loaded, _apply_all(loaded)


def _check_confirmed(state: MachineState, confirmed: int | None) -> None:
    if confirmed == state.config_revision:
        return
    zones_out = [mark.zone for mark in state.zone_by_name.values() if mark.out]
    raise SettingError(
        'all other control instances are dropped, with what only they hold. '
        f'This data folder ends at configuration revision '
        f'{state.config_revision}, with {len(state.route_by_key)} routes, '
        f'{len(state.pool_by_name)} pools and zones out of service: '
        f'{", ".join(sorted(zones_out)) or "none"}. Later changes are lost, a '
        'zone taken out since then is in service again, and a change that '
        'nobody was told of may be in force. If that is accepted, repeat with '
        f'--lose-changes-after {state.config_revision}; else change nothing '
        'and bring back the folders of the others',
    )


def _apply_all(loaded: LoadedState) -> StateMachine:
    machine = StateMachine()
    machine.load(loaded.snapshot.state)
    for entry in loaded.entries:
        machine.apply(entry)
    return machine


def _last_snapshot(
    loaded: LoadedState, machine: StateMachine, survivor: Voter
) -> Snapshot:
    last = loaded.entries[-1] if loaded.entries else loaded.snapshot
    index = last.index + INDEX_JUMP
    _advance_numbers(machine.state, index)
    term = loaded.hard_state.term + 1
    return Snapshot(index, term, (survivor,), machine.pack())


def _advance_numbers(state: MachineState, index: int) -> None:
    # Other processes may have applied revisions that this replica has never
    # seen.  They would treat its tables as older and keep the lost ones, their
    # view numbers would fence its views, and a lost incarnation could be
    # assigned to another run.  So all numbers continue far above.
    state.revision = index
    state.config_revision = index
    for pool, view in state.view_by_pool.items():
        state.view_by_pool[pool] = _view_after_unknown(view, index)


def _view_after_unknown(view: PoolView, index: int) -> PoolView:
    # Buckets may have moved under views that are lost, with request records
    # that this replica does not know; a replayed request would then run twice.
    # An earlier view whose only member cannot be reached has no home and heir
    # that answer, so homes treat their buckets as recovering for the longest
    # time in which a request may be replayed.
    unknown = unknown_view(index - 1)
    latest = EarlierView(view.number, view.members)
    chain = (unknown, latest, *view.unsettled)
    return PoolView(view.pool, index, view.members, chain[:MAX_UNSETTLED_VIEWS])
