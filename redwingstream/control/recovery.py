"""The operators' way out when a majority of the disks is lost."""

import secrets
from functools import partial

import attrs
from absl import logging

from redwingstream.consensus.events import HardState
from redwingstream.consensus.messages import Snapshot, Voter
from redwingstream.control.settings import ControlSettings
from redwingstream.errors import ResultCode, StorageError
from redwingstream.storage.disk import open_folder
from redwingstream.storage.folder import Folder
from redwingstream.storage.store import IDENTITY_BITS, Loaded, Store
from redwingstream.tables.machine.machine import Machine


@attrs.frozen
class Recovered:
    """What a recovered replica goes on from.

    Parameters
    ----------
    index : int
        Index of its last entry.
    revision, config_revision : int
        Of its tables.
    """

    index: int
    revision: int
    config_revision: int


def recover_alone(settings: ControlSettings) -> Recovered:
    """Make the replica of a data folder the only one that counts.

    Parameters
    ----------
    settings : ControlSettings
        Of the replica; it must not run.

    Raises
    ------
    StorageError
        ``DATA_MISSING`` when the folder holds no replica of a group.

    Notes
    -----
    To be used by operators only, when a majority of the replicas has lost its
    disks for good, and on the surviving replica with the highest
    ``last_index`` in its dump.  Changes that only the lost ones held are gone,
    and what this one held without knowing whether it was accepted counts as
    accepted from now on.  All other replicas have to start with empty
    folders; they are admitted one after the other.
    """
    with open_folder(settings.data_folder) as folder:
        return recover_folder(folder, str(settings.endpoint))


def recover_folder(folder: Folder, name: str) -> Recovered:
    """Do the work of :func:`recover_alone` in an open folder.

    Parameters
    ----------
    folder : Folder
        Durable state of the replica.
    name : str
        ``IP:PORT`` of the replica.
    """
    store = Store(folder)
    loaded = store.load(partial(secrets.randbits, IDENTITY_BITS))
    if loaded.snapshot is None:
        raise StorageError(
            'this data folder holds no replica of a group; recover the '
            'surviving replica with the highest last_index in its dump',
            ResultCode.DATA_MISSING,
        )
    machine = _apply_all(loaded)
    snapshot = _last_snapshot(loaded, machine, Voter(name, loaded.identity))
    hard_state = HardState(loaded.hard_state.term + 1, '')
    store.save_snapshot(snapshot, hard_state, ())
    logging.warning(
        'control: recovered alone at index %d by operators.', snapshot.index
    )
    state = machine.state
    return Recovered(snapshot.index, state.revision, state.config_revision)


def _apply_all(loaded: Loaded) -> Machine:
    machine = Machine()
    machine.load(loaded.snapshot.state)
    for entry in loaded.entries:
        machine.apply(entry)
    return machine


def _last_snapshot(
    loaded: Loaded, machine: Machine, survivor: Voter
) -> Snapshot:
    last = loaded.entries[-1] if loaded.entries else loaded.snapshot
    return Snapshot(last.index, last.term, (survivor,), machine.pack())
