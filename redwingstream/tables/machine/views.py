"""The views of pools, as they follow from members, zones and pools."""

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

MAX_UNSETTLED_VIEWS = 16


def recompute_views(state: MachineState, index: int) -> None:
    """Give each pool whose members differ a new view with this number.

    Notes
    -----
    A removed pool keeps a view without members: were the view dropped, a pool
    of the same name could later be served without asking those who hold its
    request records.
    """
    serving_by_pool = _serving_by_pool(state)
    for name in sorted(state.pool_by_name.keys() | state.view_by_pool.keys()):
        members = tuple(sorted(serving_by_pool.get(name, ()), key=_host_of))
        current = state.view_by_pool.get(name)
        if current is None or current.members != members:
            fresh = PoolView(name, index, members, _unsettled(current))
            state.put(Table.VIEW, name, fresh)


def settle_view(state: MachineState, command: SettleView) -> None:
    """Forget the earlier views once nothing has to be taken over from them."""
    view = state.view_by_pool.get(command.pool)
    if view is None or view.number != command.number:
        return
    state.put(Table.VIEW, command.pool, attrs.evolve(view, unsettled=()))


def exclusion_reason(state: MachineState, member: Member) -> str:
    """Return why a member is in no view; empty when it is in one."""
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
    """Return an earlier view of which nobody can be asked.

    It stands for views that are not known any more.  It has no members, so no
    pair can answer for it, and a new home treats its buckets as recovering for
    the longest replay time.

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


def _host_of(member: ViewMember) -> str:
    return member.host


def _view_member(member: Member) -> ViewMember:
    return ViewMember(
        member.host,
        member.incarnation,
        member.endpoint,
        member.zone,
        member.weight,
    )


def _unsettled(current: PoolView | None) -> tuple[EarlierView, ...]:
    if current is None:
        return ()
    if not current.members:
        # Nothing took effect under a view without members.
        return current.unsettled
    latest = EarlierView(current.number, current.members)
    chain = (latest, *current.unsettled)
    if len(chain) <= MAX_UNSETTLED_VIEWS:
        return chain
    # A chain without limit would grow with each flapping member.  What is cut
    # off cannot be asked any more, and must not be taken for settled either:
    # a replay of a request recorded there would run a second time.
    marker = unknown_view(chain[MAX_UNSETTLED_VIEWS - 1].number)
    return (*chain[: MAX_UNSETTLED_VIEWS - 1], marker)
