"""Where a caller's traffic goes, and why."""

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.errors import ResultCode
from redwingstream.placement.rendezvous import Pair, bucket_of, pair_of
from redwingstream.tables.routing import Routing
from redwingstream.tables.rows import Pool, PoolView, Route, ViewMember
from redwingstream.tables.snapshot import Tables


@attrs.frozen
class Explanation:
    """The way of a caller's traffic, as far as it goes.

    Parameters
    ----------
    caller, service : str
        ``IP:PORT`` of both ends.
    code : ResultCode
        ``OK``, or why callers are refused.
    route, pool : str
        Names of the rows; empty when there is none.
    bucket, view : int or None
        Number of the bucket, and of the view that says who holds it.
    home, heir : str
        Hosts; empty when there is none.
    reasons : tuple of str
        One sentence for each step.
    """

    caller: str
    service: str
    code: ResultCode
    route: str = ''
    pool: str = ''
    bucket: int | None = None
    view: int | None = None
    home: str = ''
    heir: str = ''
    reasons: tuple[str, ...] = ()


def explain(
    tables: Tables, caller: Endpoint, service: Endpoint, key: bytes
) -> Explanation:
    """Follow a caller's traffic through the tables.

    Parameters
    ----------
    tables : Tables
        As the leader has them.
    caller, service : Endpoint
        Both ends.
    key : bytes
        Key of the bucket hash.
    """
    steps = _Steps(Explanation(str(caller), str(service), ResultCode.OK))
    route = Routing(tables.route_by_key).find(str(service), caller)
    if route is None:
        return steps.stop(
            ResultCode.NO_ROUTE,
            f'no route is for service {service} and a network that holds '
            f'caller {caller.host}',
        )
    steps.add(
        f'route {route.key} is the longest network that holds the caller',
        route=route.key,
        pool=route.pool,
    )
    return _explain_pool(tables, steps, route, key)


class _Steps:
    """An explanation that grows."""

    def __init__(self, start: Explanation) -> None:
        self.explanation = start

    def add(self, reason: str, **found: object) -> None:
        """Add a sentence, and set what it has found by field name."""
        self.explanation = attrs.evolve(
            self.explanation,
            reasons=(*self.explanation.reasons, reason),
            **found,
        )

    def stop(self, code: ResultCode, reason: str) -> Explanation:
        """Add the reason why callers are refused; return the whole."""
        self.add(reason, code=code)
        return self.explanation


def _explain_pool(
    tables: Tables, steps: _Steps, route: Route, key: bytes
) -> Explanation:
    pool = tables.pool_by_name.get(route.pool)
    if pool is None:
        return steps.stop(
            ResultCode.NO_POOL, f'the pool table has no pool {route.pool}'
        )
    view = tables.view_by_pool.get(pool.name)
    if view is None or not view.members:
        return steps.stop(ResultCode.NO_SERVER, _why_empty(tables, pool))
    told = steps.explanation
    bucket = bucket_of(told.caller, told.service, pool.buckets, key)
    steps.add(
        f'the keyed hash of caller and service gives bucket {bucket}, from '
        f'0 to {pool.buckets - 1}',
        bucket=bucket,
        view=view.number,
    )
    _add_pair(steps, view, pair_of(view.members, pool.name, bucket))
    return steps.explanation


def _add_pair(steps: _Steps, view: PoolView, pair: Pair) -> None:
    home = _describe(pair.home)
    steps.add(
        f'home is {home}: first in weighted rendezvous order of the '
        f'{len(view.members)} members of view {view.number}',
        home=pair.home.host if pair.home else '',
    )
    if pair.heir is None:
        steps.add('there is no heir: the view has one member')
        return
    same_zone = pair.home is not None and pair.home.zone == pair.heir.zone
    which = 'no other zone has a member' if same_zone else 'of another zone'
    steps.add(
        f'heir is {_describe(pair.heir)}: the next one, {which}',
        heir=pair.heir.host,
    )
    steps.add(
        'the home serves new flows with its own server while that has room; '
        'the dump of the home names flows carried elsewhere',
    )


def _describe(member: ViewMember | None) -> str:
    if member is None:
        return 'nobody'
    return f'{member.host} in {member.zone} with weight {member.weight}'


def _why_empty(tables: Tables, pool: Pool) -> str:
    announced = [
        member
        for member in tables.member_by_host.values()
        if member.pool == pool.name
    ]
    if not announced:
        return f'no server has announced itself for pool {pool.name}'
    causes = [
        f'{member.host}: {_why_not(tables, pool, member.host)}'
        for member in announced
    ]
    return 'no announced server may serve: {0}'.format('; '.join(causes))


def _why_not(tables: Tables, pool: Pool, host: str) -> str:
    member = tables.member_by_host[host]
    if not pool.admits_host(host):
        return 'the pool does not admit its name'
    if tables.is_zone_out(member.zone):
        return f'zone {member.zone} is out'
    return 'drains' if member.draining else 'not in the view yet'
