"""Views of pools, computed from the tables of members, zones and pools."""

import attrs

from redwingstream.tables.machine.messages import SettleView
from redwingstream.tables.machine.state import MachineState
from redwingstream.tables.messages import Table
from redwingstream.tables.rows import (
    EarlierView,
    Member,
    PoolView,
    Role,
    ViewMember,
)

# Maximum number of unsettled former views that are kept for a pool.
MAX_UNSETTLED_VIEWS = 16


def recompute_views(state: MachineState, index: int) -> None:
    """Give each pool whose members have changed a new view.

    Parameters
    ----------
    state : MachineState
        Replicated state, updated in place.
    index : int
        Index of the current log entry; the number of new views.

    Notes
    -----
    A removed pool keeps a view without members.  If the view were removed, a
    later pool of the same name could be served without asking the agents that
    hold its request records.
    """
    serving_by_pool = _serving_by_pool(state)
    for name in sorted(state.pool_by_name.keys() | state.view_by_pool.keys()):
        members = tuple(sorted(serving_by_pool.get(name, ()), key=_host_name))
        current = state.view_by_pool.get(name)
        if current is None or current.members != members:
            fresh = PoolView(name, index, members, _earlier_views(current))
            state.put(Table.VIEW, name, fresh)


def settle_view(state: MachineState, command: SettleView) -> None:
    """Remove the earlier views of a settled view.

    Nothing has to be taken over from them any more.
    """
    view = state.view_by_pool.get(command.pool)
    if view is None or view.number != command.number:
        return
    state.put(Table.VIEW, command.pool, attrs.evolve(view, unsettled=()))


def exclusion_reason(state: MachineState, member: Member) -> str:
    """Return why a member is in no view; empty if it is in one."""
    if member.role is not Role.AGENT:
        return ''
    pool = state.pool_by_name.get(member.pool)
    if pool is None:
        return f'there is no pool {member.pool!r}'
    if not pool.admits_host(member.host):
        return (
            f'pool {pool.name!r} admits {", ".join(pool.admits) or "nobody"}; '
            f'{member.host!r} is not among them'
        )
    if state.is_zone_out(member.zone):
        return f'availability zone {member.zone!r} is out of service'
    return 'it drains' if member.draining else ''


def unknown_view(number: int) -> EarlierView:
    """Return an earlier view without members.

    It represents views whose members are no longer known.  No agent can be
    asked for its buckets, so a new home treats them as recovering for the
    longest time in which a caller may replay a request.

    Parameters
    ----------
    number : int
        Number of the view.
    """
    return EarlierView(number, ())


def _serving_by_pool(state: MachineState) -> dict[str, list[ViewMember]]:
    serving_by_pool: dict[str, list[ViewMember]] = {}
    for member in state.member_by_host.values():
        if _serves(state, member):
            serving = serving_by_pool.setdefault(member.pool, [])
            serving.append(_view_member(member))
    return serving_by_pool


def _serves(state: MachineState, member: Member) -> bool:
    is_agent = member.role is Role.AGENT
    return is_agent and not exclusion_reason(state, member)


def _host_name(member: ViewMember) -> str:
    return member.host


def _view_member(member: Member) -> ViewMember:
    return ViewMember(
        member.host,
        member.incarnation,
        member.endpoint,
        member.zone,
        member.weight,
    )


def _earlier_views(current: PoolView | None) -> tuple[EarlierView, ...]:
    if current is None:
        return ()
    if not current.members:
        # Nothing took effect under a view without members.
        return current.unsettled
    latest = EarlierView(current.number, current.members)
    chain = (latest, *current.unsettled)
    if len(chain) <= MAX_UNSETTLED_VIEWS:
        return chain
    # Without a limit the chain would grow with each member that repeatedly
    # fails and returns.  The views that are cut off can no longer be asked, but
    # must not be treated as settled either: a replay of a request recorded
    # there would run a second time.
    marker = unknown_view(chain[MAX_UNSETTLED_VIEWS - 1].number)
    return (*chain[: MAX_UNSETTLED_VIEWS - 1], marker)
