"""Fleets of any size, as the control instances' state machine holds them."""

import itertools

import attrs

from redwingstream.consensus.messages import Entry
from redwingstream.tables.edits import (
    ChangeRequest,
    Edits,
    SetPool,
    SetRoute,
    SetZone,
)
from redwingstream.tables.machine.messages import AdmitMember, SettleView
from redwingstream.tables.machine.state_machine import StateMachine
from redwingstream.tables.rows import Pool, Role, Route, ZoneMark
from redwingstream.wire import messages

ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d', 'zone-e')
FIRST_ZONE = ZONES[0]
HOSTS_PER_POOL = 4
HOSTS_PER_BALANCER = 5


@attrs.frozen
class FleetShape:
    """How many of each there are.

    The letter has 3000 balancers before 15000 hosts behind 4000 addresses: one
    balancer for five hosts, and about four hosts for an address.

    Parameters
    ----------
    agents, balancers, pools : int
        One route leads to each pool.
    """

    agents: int
    balancers: int
    pools: int

    @classmethod
    def of_agents(cls, agents: int) -> 'FleetShape':
        """Return a fleet in the proportions of the letter."""
        return cls(
            agents, agents // HOSTS_PER_BALANCER, agents // HOSTS_PER_POOL
        )

    @property
    def members(self) -> int:
        """Processes that hold a lease."""
        return self.agents + self.balancers


class Fleet:
    """A state machine to which a fleet has announced itself.

    Parameters
    ----------
    shape : FleetShape
        How large it is.
    """

    def __init__(self, shape: FleetShape) -> None:
        self.shape = shape
        self.machine = StateMachine()
        self._indexes = itertools.count(1)
        # Members come before their pools: an admission looks at all pools, so
        # that the other order takes time with the cube of the size.
        for number in range(shape.agents):
            pool = f'pool-{number % shape.pools}'
            self.apply(admission(number, pool, zone=self.zone_of(number)))
        for number in range(shape.balancers):
            self.apply(admission(number, ''))
        self._config()
        self.settle()

    def zone_of(self, number: int) -> str:
        """Return the zone of an agent; those of a pool stand in several."""
        round_number, place = divmod(number, self.shape.pools)
        return ZONES[(round_number + place) % len(ZONES)]

    def apply(self, command: object) -> object:
        """Apply a command as the next entry of the log."""
        kind, body = messages.encode(command)
        return self.machine.apply(Entry(next(self._indexes), 1, kind, body))

    def change(self, edits: Edits) -> object:
        """Apply an operators' change."""
        revision = self.machine.state.config_revision
        return self.apply(ChangeRequest(f'r{revision}', revision, edits, True))

    def settle(self) -> None:
        """Settle every view, as the agents report it in time."""
        for view in list(self.machine.state.view_by_pool.values()):
            if view.unsettled:
                self.apply(SettleView(view.pool, view.number))

    def _config(self) -> None:
        numbers = range(self.shape.pools)
        pools = tuple(SetPool(pool_row(number)) for number in numbers)
        routes = tuple(SetRoute(route_row(number)) for number in numbers)
        zones = tuple(SetZone(ZoneMark(zone, out=False)) for zone in ZONES)
        self.change(Edits(set_pools=pools, set_routes=routes, set_zones=zones))


def pool_row(number: int) -> Pool:
    """Return the row of a pool."""
    return Pool(f'pool-{number}', (f'host-{number}-*', 'host-*'))


def route_row(number: int) -> Route:
    """Return the row of the route to a pool."""
    return Route(f'{_address(9, number)}:5683', f'pool-{number}')


def admission(
    number: int, pool: str, boot: int = 1, zone: str = FIRST_ZONE
) -> AdmitMember:
    """Return the command that admits an agent, or a balancer without a pool."""
    role = Role.AGENT if pool else Role.BALANCER
    kind = 10 if pool else 11
    return AdmitMember(
        host=f'host-{number}' if pool else f'balancer-{number}',
        role=role,
        endpoint=f'{_address(kind, number)}:7000',
        zone=zone,
        pool=pool,
        weight=100,
        boot=(number << 20) + (1 << 60) + boot,
    )


def _address(kind: int, number: int) -> str:
    return f'10.{kind}.{number // 250}.{number % 250 + 1}'
