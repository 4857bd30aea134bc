"""Formation of the first group, by replicas whose data folders are empty."""

from redwingstream.consensus.messages import Hello, Snapshot, Voter
from redwingstream.consensus.state import ReplicaState


def look_for_group(state: ReplicaState) -> None:
    """Ask every other replica for the group."""
    hello = Hello(state.myself, ())
    for name in state.others:
        state.send(name, hello)
    _form_if_all_fresh(state)


def on_hello(state: ReplicaState, hello: Hello) -> None:
    """Answer a request for the group, or adopt the group of an answer."""
    group = state.log.group
    if group:
        if not hello.group:
            state.send(hello.sender.name, Hello(state.myself, group))
        return
    if state.myself in hello.group:
        _adopt(state, hello.group)
        return
    if not hello.group and hello.sender.name in state.others:
        state.fresh_by_name[hello.sender.name] = hello.sender
        _form_if_all_fresh(state)


def adopt_founding_group(state: ReplicaState, group: tuple[Voter, ...]) -> None:
    """Adopt the first group of a resizable group.

    Notes
    -----
    Only a replica that knows no group adopts one, and it keeps the first one.
    The first election needs the votes of the whole group, so of two groups that
    share a replica at most one ever commits anything.
    """
    if not state.log.group and state.myself in group:
        _adopt(state, tuple(sorted(group, key=_name_of)))


def _form_if_all_fresh(state: ReplicaState) -> None:
    # A majority of empty folders may be a majority of lost disks, and a group
    # that they form would have lost committed entries.  It is certain that
    # nothing was committed only if all replicas report empty folders.
    if state.log.group or len(state.fresh_by_name) < len(state.others):
        return
    voters = (state.myself, *state.fresh_by_name.values())
    _adopt(state, tuple(sorted(voters, key=_name_of)))


def _adopt(state: ReplicaState, group: tuple[Voter, ...]) -> None:
    snapshot = Snapshot(0, 0, group, b'')
    state.log.install(snapshot)
    state.fresh_by_name.clear()
    state.effects.snapshot = snapshot


def _name_of(voter: Voter) -> str:
    return voter.name
