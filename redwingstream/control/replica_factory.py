"""Opens the replica whose state is in a data folder."""

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
    """A replica, and the identity stored in its data folder."""

    identity: int
    replica: Replica


def open_replica(
    folder: Folder,
    name: str,
    group_policy: GroupPolicy,
    environment: ReplicaEnvironment,
) -> OpenedReplica:
    """Open a replica from a data folder, or a new one in an empty folder.

    Parameters
    ----------
    folder : Folder
        Folder of the durable state.
    name : str
        ``IP:PORT`` of the replica.
    group_policy : GroupPolicy
        How its group chooses its voters.
    environment : ReplicaEnvironment
        Network, clock and event loop.

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
        environment.clock(),
        group_policy,
    )
    return OpenedReplica(
        loaded.identity, Replica(consensus, store, loaded, environment)
    )
