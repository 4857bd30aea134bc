"""Opens the replica of a data folder."""

import random
import secrets
from functools import partial

import attrs

from redwingstream.consensus.core import Consensus
from redwingstream.consensus.messages import Voter
from redwingstream.consensus.state import GroupPolicy, Timing
from redwingstream.control.replica import Replica, ReplicaEnvironment
from redwingstream.storage.folder import Folder
from redwingstream.storage.store import IDENTITY_BITS, ReplicaStore


@attrs.frozen
class OpenedReplica:
    """A replica and the identity that its folder gives it."""

    identity: int
    replica: Replica


def open_replica(
    folder: Folder, name: str, sizing: GroupPolicy, around: ReplicaEnvironment
) -> OpenedReplica:
    """Read a data folder, or begin with an empty one.

    Parameters
    ----------
    folder : Folder
        Durable state.
    name : str
        ``IP:PORT`` of the replica.
    sizing : Sizing
        How its group is resized.
    around : Surroundings
        Network, clock and loop.

    Raises
    ------
    StorageError
        When the folder cannot be read or written.
    """
    store = ReplicaStore(folder)
    loaded = store.load(partial(secrets.randbits, IDENTITY_BITS))
    consensus = Consensus(
        Voter(name, loaded.identity),
        (),
        Timing(),
        random.SystemRandom(),
        around.clock(),
        sizing,
    )
    return OpenedReplica(
        loaded.identity, Replica(consensus, store, loaded, around)
    )
