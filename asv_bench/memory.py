"""Memory of what each role holds, by how many of it there are.

Bytes are counted by ``tracemalloc`` after a collection, so they are the same in
each run.  ``python -m asv_bench.memory``.
"""

import contextlib
import gc
import random
import tracemalloc
from collections.abc import Callable, Iterator

import attrs

from asv_bench import fitting, output
from asv_bench.fleets import Fleet, FleetShape, pool_row, route_row
from asv_bench.heartbeats import Leader
from redwingstream.admission.peer_choice import PeerLoads
from redwingstream.balancer.forwarder import Forwarder
from redwingstream.endpoints import Endpoint
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.flows.table import FlowTable
from redwingstream.forwarding.messages import LoadReport
from redwingstream.membership.messages import Probe
from redwingstream.membership.peers import PeerLinks
from redwingstream.placement.rendezvous import PairTable
from redwingstream.requests.ledger import Ledger
from redwingstream.requests.records import RequestKey, RequestState
from redwingstream.tables.rows import DEFAULT_BUCKETS
from redwingstream.tables.snapshot import Tables
from redwingstream.wire import fabric, messages
from redwingstream.wire.frames import FrameCodec

SIZES = (1000, 2000, 4000)
FLEET_SIZES = (100, 200, 400, 800)
BUCKETS = DEFAULT_BUCKETS
KEY = b'k' * 32
REGISTRATION = b'\x44\x01\x12\x34abcd\x60\x54feed\xffregister'
ANSWER = b'\x64\x44\x12\x34abcd\xffplate reading 17'
SERVICE = '10.9.0.1:5683'
PROBE = Probe(1)
WINDOW_SPAN = 4090

Maker = Callable[[int], object]


def bytes_of(make: Maker, size: int) -> int:
    """Return the bytes that are held by what is made."""
    with tracing():
        held = make(size)
        gc.collect()
        held_bytes, _ = tracemalloc.get_traced_memory()
        # Keeps the object alive until it has been counted.
        del held  # noqa: WPS420
    return held_bytes


@contextlib.contextmanager
def tracing() -> Iterator[None]:
    """Count the memory that is taken in a block."""
    gc.collect()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()


def placements(size: int) -> FlowTable:
    """Return a table of plain placements."""
    table = FlowTable(size, 1e9)
    for number in range(size):
        record = FlowRecord(FlowKey(caller(number), SERVICE), 'host-1#7')
        table.put(number % BUCKETS, record, 0)
    return table


def feeds(size: int) -> FlowTable:
    """Return a table of feeds."""
    table = FlowTable(size, 1e9)
    for number in range(size):
        token = number.to_bytes(4)
        key = FlowKey(caller(number), SERVICE, token)
        registration = REGISTRATION + token
        table.put(
            number % BUCKETS,
            FlowRecord(key, 'host-1#7', registration=registration),
            0,
        )
    return table


def ledger(size: int) -> Ledger:
    """Return a ledger of answered requests."""
    held = Ledger(size, 1e9)
    for number in range(size):
        key = RequestKey(caller(number), SERVICE, number, number.to_bytes(4))
        checksum = number.to_bytes(8)
        held.begin(number % BUCKETS, key, checksum, 0)
        held.finish(key, checksum, RequestState.ANSWERED, ANSWER, 0)
    return held


def callers_met(size: int) -> int:
    """Read and write the headers of many callers; return how many.

    What is held afterwards is in caches.
    """
    for number in range(size):
        host = f'10.77.{number // 250}.{number % 250 + 1}'
        way = fabric.AddressPair(
            Endpoint(host, 4000), Endpoint('10.9.0.1', 5683)
        )
        met, _ = fabric.unwrap(fabric.wrap_request(way, b''))
        fabric.wrap_answer(str(met.caller), SERVICE, b'')
    return size


def peers(size: int) -> PeerLinks:
    """Return the links of a balancer to agents."""
    links = PeerLinks()
    for number in range(size):
        links.record_sent(Endpoint(caller(number), 7000), 0)
    return links


def windows(size: int) -> FrameCodec:
    """Return a codec that has heard from many processes."""
    codec = FrameCodec(KEY)
    for _ in range(size):
        sender = FrameCodec(KEY)
        for _ in range(3):
            codec.open(sender.seal(PROBE))
    return codec


def full_windows(size: int) -> FrameCodec:
    """Return a codec whose windows reach over their whole span."""
    codec = FrameCodec(KEY)
    for _ in range(size):
        sender = FrameCodec(KEY)
        codec.open(sender.seal(PROBE))
        sender._sequence = WINDOW_SPAN
        codec.open(sender.seal(PROBE))
    return codec


def routes(size: int) -> dict[str, object]:
    """Return routes with their pools, as decoded from an update."""
    rows = [route_row(number) for number in range(size)]
    return {row.key: row for row in rows}


def pools(size: int) -> dict[str, object]:
    """Return pools."""
    rows = [pool_row(number) for number in range(size)]
    return {row.name: row for row in rows}


def peer_loads(size: int) -> PeerLoads:
    """Return the load reports of an agent's peers."""
    loads = PeerLoads(random.Random(1))
    for number in range(size):
        loads.handle_report(LoadReport(f'host-{number}', 1, 0, 8, 0), 0)
    return loads


@attrs.frozen
class FleetHolder:
    """Tables of a fleet, as one process holds them.

    Parameters
    ----------
    frames : dict
        The full copy as bytes, by the number of agents.
    """

    frames: dict[int, tuple[int, bytes]]

    def tables(self, agents: int) -> Tables:
        """Return the tables that a process makes of a full copy."""
        return Tables().updated(messages.decode(*self.frames[agents]))

    def balancer(self, agents: int) -> Forwarder:
        """Return a balancer that has used every bucket once."""
        tables = self.tables(agents)
        forwarder = Forwarder(Endpoint('10.0.0.1', 7000), KEY)
        forwarder.apply_tables(tables)
        for view in tables.view_by_pool.values():
            pairs = PairTable.from_view(view)
            forwarder._pairs_by_pool[view.pool] = pairs
            for bucket in range(BUCKETS):
                pairs.pair(bucket)
        return forwarder


def fleet_holder() -> FleetHolder:
    """Return fleets of all sizes as full copies."""
    frames = {}
    for agents in FLEET_SIZES:
        fleet = Fleet(FleetShape.of_agents(agents))
        frames[agents] = messages.encode(fleet.machine.update_since(0))
    return FleetHolder(frames)


def leader(agents: int) -> Leader:
    """Return a leader that has heard every member once."""
    held = Leader(agents)
    members = held.fleet.machine.state.member_by_host.values()
    held.take(held.frames(), [member.boot for member in members])
    return held


MAKERS: dict[str, Maker] = {
    'plain placement (FlowTable)': placements,
    'feed (FlowTable)': feeds,
    'ledger entry, answer of 25 bytes': ledger,
    'caller that a balancer has met': callers_met,
    'peer link': peers,
    'replay window of a peer, few frames': windows,
    'replay window of a peer, full': full_windows,
    'route row': routes,
    'pool row': pools,
    'load report of a peer': peer_loads,
}


def main() -> None:
    """Measure everything at three sizes; print the slopes."""
    report = output.Report('memory')
    rows = [_row(name, make, SIZES) for name, make in MAKERS.items()]
    report.add('bytes of one more', rows)
    holder = fleet_holder()
    rows = [
        _row('tables of a process, one more agent', holder.tables, FLEET_SIZES),
        _row('tables and pairs of a balancer', holder.balancer, FLEET_SIZES),
        _row('state machine and leases of a leader', leader, FLEET_SIZES),
    ]
    report.add(
        'bytes by agents (a fifth as many balancers, a quarter pools)', rows
    )
    report.finish(output.read_flags('memory').json)


def caller(number: int) -> str:
    """Return the address of a caller."""
    return f'10.77.{number // 250}.{number % 250 + 1}:4000'


def _row(name: str, make: Maker, sizes: tuple[int, ...]) -> dict[str, object]:
    make(sizes[0])
    levels = [bytes_of(make, size) for size in sizes]
    line = fitting.fit(sizes, levels)
    return {
        'what': name,
        **dict(zip(map(str, sizes), levels, strict=True)),
        'bytes of one more': line.per_item,
        'r squared': line.r_squared,
    }


if __name__ == '__main__':
    main()
