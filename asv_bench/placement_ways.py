"""Flows broken and requests run twice, for four ways to place flows.

Two changes of a pool overlap: one host drains, and before everyone has heard
of it another one drains, too; both still carry their flows.  Every packet
reaches any of the balancers, each of which is at one of the three views.  A
flow is broken when one of its packets ends at a host that neither carries it
nor knows who does.  Placement is the same in all ways, ``pair_of``; what
differs is what is remembered and by whom.

Run ``python asv_bench/placement_ways.py`` from the root of the project.
"""

import random

import attrs

from redwingstream.placement.effects import (
    InEffect,
    NotHome,
    Recorded,
)
from redwingstream.placement.rendezvous import bucket_of, pair_of
from redwingstream.placement.tests.fakes import (
    NEVER,
    POOL,
    Network,
    flow,
    member,
    started,
    view,
    view_with_pair,
)
from redwingstream.tables.rows import PoolView

BUCKETS = 64
FLOWS = 2000
PACKETS = 10
BALANCERS = 5
TRIALS = 1000
LEASE = 3
SETTLING = 0.2
MEAN_PAUSE = 1
# Control carries 4 kB/s, an entry takes 32 bytes, 2000 flows start a second.
SHARED_FRACTION = 4000 / 32 / 2000
KEY = b'k' * 32
SERVICE = '10.9.0.1:5683'
ZONES = ('carse', 'strathmore', 'angus-glens', 'fife-north')
HOSTS = tuple(
    member(f'h{run}', run, ZONES[run % len(ZONES)]) for run in range(1, 8)
)
FIRST = view(10, *HOSTS)
SECOND = view(11, *HOSTS[1:], after=FIRST)
THIRD = view(12, *HOSTS[2:], after=SECOND)
VIEWS = (FIRST, SECOND, THIRD)


@attrs.frozen
class Flow:
    """An established flow.

    Parameters
    ----------
    port : int
        The caller's port.
    bucket : int
        Its bucket.
    carrier : str
        The host whose server carries it.
    """

    port: int
    bucket: int
    carrier: str


def home(committed: PoolView, bucket: int) -> str:
    """Return the host that is home under a view."""
    return pair_of(committed.members, POOL, bucket).home.host


def established() -> list[Flow]:
    """Return flows, each carried by the home of the first view."""
    flows = []
    for port in range(1, FLOWS + 1):
        caller = f'10.0.0.1:{port}'
        bucket = bucket_of(caller, SERVICE, BUCKETS, KEY)
        flows.append(Flow(port, bucket, home(FIRST, bucket)))
    return flows


def broken(flows: list[Flow], finds) -> int:
    """Count the flows of which some packet does not find its carrier."""
    drawn = random.Random(4)
    count = 0
    for each in flows:
        packets = [drawn.randrange(BALANCERS) for _ in range(PACKETS)]
        count += not all(finds(each, balancer) for balancer in packets)
    return count


def view_at(balancer: int) -> PoolView:
    """Return the view that a balancer has reached."""
    return VIEWS[balancer % len(VIEWS)]


def by_previous_owner(each: Flow, balancer: int) -> bool:
    """Stateless: the newest owner, which hands unknown flows one view back."""
    number = VIEWS.index(view_at(balancer))
    tried = {home(VIEWS[number], each.bucket)}
    tried.add(home(VIEWS[max(number - 1, 0)], each.bucket))
    return each.carrier in tried


def by_shared_tables(flows: list[Flow]):
    """Every balancer knows its own flows and those that reached it in time."""
    drawn = random.Random(5)
    known = {
        (each.port, balancer)
        for each in flows
        for balancer in range(BALANCERS)
        if drawn.random() < SHARED_FRACTION
    }
    known |= {(each.port, drawn.randrange(BALANCERS)) for each in flows}

    def finds(each: Flow, balancer: int) -> bool:
        if (each.port, balancer) in known:
            return True
        return home(view_at(balancer), each.bucket) == each.carrier

    return finds


def by_lease_or_fence(net: Network):
    """The home of the newest view has the flows of its bucket."""

    def finds(each: Flow, balancer: int) -> bool:
        host = home(view_at(balancer), each.bucket)
        for _ in range(2):
            keeper = net.agent_by_host[host].keeper
            status = keeper.status(each.bucket)
            if isinstance(status, NotHome) and status.home is not None:
                host = status.home.host
        agent = net.agent_by_host[host]
        if agent.keeper.status(each.bucket) != InEffect():
            return False
        record = flow(each.port, each.carrier).flows[0]
        return record in agent.store.export(each.bucket).flows

    return finds


def hand_over(flows: list[Flow]) -> Network:
    """Let real keepers go through both changes, the second during the first.

    Every third host skips the view in between, and half of the messages of
    the first handoff are lost.
    """
    net = Network()
    for agent in HOSTS:
        net.join(agent, BUCKETS)
    net.apply_view(FIRST)
    net.run(1)
    for each in flows:
        establish(net, each)
    following = [
        host for place, host in enumerate(net.agent_by_host) if place % 3
    ]
    net.apply_view(SECOND, *following)
    net.held = net.held[::2]
    net.apply_view(THIRD)
    net.run(3)
    return net


def establish(net: Network, each: Flow) -> None:
    """Record a flow at its home."""
    agent = net.agent_by_host[each.carrier]
    contents = flow(each.port, each.carrier)
    _, effects = agent.keeper.record(each.bucket, contents, net.now, NEVER)
    net.carry_out(agent, effects)
    net.deliver()


def twice_with_leases() -> int:
    """Count requests that a paused home and the next home both run.

    The home looks at its lease, pauses, and acts; a replay reaches the next
    home, which waits for the end of the lease and acts at once.
    """
    drawn = random.Random(6)
    twice = 0
    for _ in range(TRIALS):
        left = LEASE * drawn.random()
        twice += drawn.expovariate(1 / MEAN_PAUSE) > left
    return twice


def twice_with_fences() -> int:
    """Count the same with keepers: c takes over while a is paused."""
    drawn = random.Random(7)
    trials = (
        runs_with_pause(accepted=drawn.choice((True, False)))
        for _ in range(TRIALS)
    )
    return sum(runs > 1 for runs in trials)


def runs_with_pause(*, accepted: bool) -> int:
    """Return how often a request runs when its home pauses while recording.

    Parameters
    ----------
    accepted : bool
        Whether the heir accepts before the next home takes over, or finds the
        record on the wire afterwards.
    """
    first, second, third = HOSTS[:3]
    net = Network()
    net.join(first)
    net.join(second)
    net.join(third)
    before = view_with_pair(11, first, second)
    net.apply_view(before)
    net.deliver()
    net.record(first.host, started(7))
    if accepted:
        net.hand_over_first()
    take_over(net, view_with_pair(12, third, second, after=before))
    results = net.results(first.host) + net.results(third.host)
    return sum(isinstance(result, Recorded) for result in results)


def take_over(net: Network, following: PoolView) -> None:
    """Let the next home serve a replay before the paused one goes on."""
    paused, _, third = net.agent_by_host
    late = net.held
    net.held = []
    net.cut = {paused}
    net.apply_view(following)
    net.run(SETTLING)
    if net.holds(third) != started(7):
        net.record(third, started(7))
    net.deliver()
    net.cut = set()
    net.held = late
    net.run(SETTLING)


def main() -> None:
    """Print the figures."""
    flows = established()
    net = hand_over(flows)
    moved = sum(home(THIRD, each.bucket) != each.carrier for each in flows)
    print(f'{FLOWS} flows, {moved} of them in buckets that change hands')
    print('flows broken')
    print(f'  one previous owner: {broken(flows, by_previous_owner)}')
    print(f'  shared flow tables: {broken(flows, by_shared_tables(flows))}')
    found = broken(flows, by_lease_or_fence(net))
    print(f'  buckets with home and heir: {found}')
    print(f'requests run twice, of {TRIALS} with a paused home')
    print(f'  timed leases: {twice_with_leases()}')
    print(f'  home and heir, fenced: {twice_with_fences()}')


if __name__ == '__main__':
    main()
