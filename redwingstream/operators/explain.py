"""Explains from the tables where a caller's traffic goes, and why.

The flows of a pool are divided into buckets by a keyed hash of caller and
service.  Each bucket has a home, the agent that owns it, and an heir, its
replica.  The view of a pool lists the agents that serve it.
"""

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.errors import ResultCode
from redwingstream.placement.rendezvous import Pair, bucket_of, pair_of
from redwingstream.tables.routing import Routing
from redwingstream.tables.rows import Pool, PoolView, Route, ViewMember
from redwingstream.tables.snapshot import Tables


@attrs.frozen
class Explanation:
    """Path of a caller's traffic, up to the step at which it is refused.

    Parameters
    ----------
    caller, service : str
        Addresses as ``IP:PORT``.
    code : ResultCode
        ``OK``, or the reason why the caller is refused.
    route, pool : str
        Names of the route and the pool; empty if there is none.
    bucket, view : int or None
        Number of the bucket, and of the view that determines its home and
        heir; None if the traffic is refused before.
    home, heir : str
        Host names of the agents; empty if there is none.
    reasons : tuple of str
        One sentence for each step, in order.
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
        Current tables of the leader.
    caller, service : Endpoint
        Addresses of the caller and of the service it sends to.
    key : bytes
        Key of the hash that assigns flows to buckets.
    """
    builder = _ExplanationBuilder(
        Explanation(str(caller), str(service), ResultCode.OK)
    )
    route = Routing(tables.route_by_key).find(str(service), caller)
    if route is None:
        return builder.stop(
            ResultCode.NO_ROUTE,
            f'no route is for service {service} and a network that holds '
            f'caller {caller.host}',
        )
    builder.add(
        f'route {route.key} is the longest network that holds the caller',
        route=route.key,
        pool=route.pool,
    )
    return _explain_pool(tables, builder, route, key)


class _ExplanationBuilder:
    """Builds an explanation step by step."""

    def __init__(self, initial: Explanation) -> None:
        self.explanation = initial

    def add(self, reason: str, **fields: object) -> None:
        """Add a reason, and set fields of the explanation by name."""
        self.explanation = attrs.evolve(
            self.explanation,
            reasons=(*self.explanation.reasons, reason),
            **fields,
        )

    def stop(self, code: ResultCode, reason: str) -> Explanation:
        """Add the reason why the caller is refused; return the explanation."""
        self.add(reason, code=code)
        return self.explanation


def _explain_pool(
    tables: Tables, builder: _ExplanationBuilder, route: Route, key: bytes
) -> Explanation:
    pool = tables.pool_by_name.get(route.pool)
    if pool is None:
        return builder.stop(
            ResultCode.NO_POOL, f'the pool table has no pool {route.pool}'
        )
    view = tables.view_by_pool.get(pool.name)
    if view is None or not view.members:
        return builder.stop(
            ResultCode.NO_SERVER, _empty_view_reason(tables, pool)
        )
    explanation = builder.explanation
    bucket = bucket_of(
        explanation.caller, explanation.service, pool.buckets, key
    )
    builder.add(
        f'the keyed hash of caller and service gives bucket {bucket}, from '
        f'0 to {pool.buckets - 1}',
        bucket=bucket,
        view=view.number,
    )
    _add_pair(builder, view, pair_of(view.members, pool.name, bucket))
    return builder.explanation


def _add_pair(builder: _ExplanationBuilder, view: PoolView, pair: Pair) -> None:
    home = _describe(pair.home)
    builder.add(
        f'home is {home}: first in weighted rendezvous order of the '
        f'{len(view.members)} members of view {view.number}',
        home=pair.home.host if pair.home else '',
    )
    if pair.heir is None:
        builder.add('there is no heir: the view has one member')
        return
    same_zone = pair.home is not None and pair.home.zone == pair.heir.zone
    zone_note = 'no other zone has a member' if same_zone else 'of another zone'
    builder.add(
        f'heir is {_describe(pair.heir)}: the next one, {zone_note}',
        heir=pair.heir.host,
    )
    builder.add(
        'the home serves new flows with its own server while that has room; '
        'the dump of the home names flows carried elsewhere',
    )


def _describe(member: ViewMember | None) -> str:
    if member is None:
        return 'nobody'
    return f'{member.host} in {member.zone} with weight {member.weight}'


def _empty_view_reason(tables: Tables, pool: Pool) -> str:
    announced = [
        member
        for member in tables.member_by_host.values()
        if member.pool == pool.name
    ]
    if not announced:
        return f'no server has announced itself for pool {pool.name}'
    causes = [
        f'{member.host}: {_exclusion_reason(tables, pool, member.host)}'
        for member in announced
    ]
    return 'no announced server may serve: {0}'.format('; '.join(causes))


def _exclusion_reason(tables: Tables, pool: Pool, host: str) -> str:
    member = tables.member_by_host[host]
    if not pool.admits_host(host):
        return 'the pool does not admit its name'
    if tables.is_zone_out(member.zone):
        return f'zone {member.zone} is out'
    return 'drains' if member.draining else 'not in the view yet'
