"""Microseconds a packet, and bytes a flow, of the packet roles' decisions.

``python -m asv_bench.packet_decisions``.  The decision logic alone, without
sockets: what a balancer does with a packet that a hint covers, with one that
goes to its home, and with an opening one, by the size of the pool.
"""

import time
import tracemalloc

import attrs

from asv_bench import fitting, output
from redwingstream.directory.messages import Readiness
from redwingstream.directory.view import Agent, AgentView
from redwingstream.packets.balancer_forwarder import (
    MAX_HINTS,
    BalancerForwarder,
)
from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.envelopes import Envelope, Kind
from redwingstream.packets.flow import Address, address_of
from redwingstream.packets.tests.codec import OPENING, PlainCodec
from redwingstream.packets.tests.codec import Packet as PlainPacket
from redwingstream.tables.rows import Pool, Route
from redwingstream.tables.snapshot import Tables

POOL_SIZES = (4, 48, 500)
FLOWS = 4000
MICRO = 1e6
POOL = 'feed'
SERVICE = address_of('198.18.0.1', 443)
ROUTE = Route('198.18.0.1:443', POOL)
OWN = address_of('10.1.0.1', 7721)
CALLERS_A_HOST = 60000
FIRST_FLOW = 2**80


@attrs.frozen
class PacketCost:
    """Microseconds for each kind of packet at a balancer."""

    by_hint: float
    by_home: float
    opening: float


def measure(pool_size: int) -> PacketCost:
    """Return the costs of a balancer that knows some agents."""
    packets = list(map(_packet, range(FLOWS)))
    openings = [_packet(number, OPENING) for number in range(FLOWS)]
    by_home = _steering(pool_size)
    by_hint = _steering(pool_size)
    for packet in packets:
        _teach(by_hint, packet)
    return PacketCost(
        by_hint=_timed(packets, by_hint),
        by_home=_timed(packets, by_home),
        opening=_timed(openings, by_home),
    )


def bytes_a_hint() -> float:
    """Return what a balancer holds for a flow."""
    tracemalloc.start()
    hints: BoundedTable[Address, Address] = BoundedTable(MAX_HINTS, 15)
    before, _ = tracemalloc.get_traced_memory()
    for number in range(FLOWS):
        hints.put(Address(FIRST_FLOW + number), Address(number), 0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / FLOWS


def main() -> None:
    """Measure with pools of three sizes."""
    flags = output.read_flags('packet_decisions')
    report = output.Report('packet_decisions')
    rows = []
    for size in POOL_SIZES:
        runs = [measure(size) for _ in range(fitting.REPEATS)]
        row: dict[str, object] = {'agents of the pool': size}
        for kind in ('by_hint', 'by_home', 'opening'):
            levels = [getattr(run, kind) for run in runs]
            row[f'{kind} us'] = fitting.spread(levels)
        rows.append(row)
    report.add('a packet at a balancer', rows)
    report.add('memory', [{'bytes a hint': round(bytes_a_hint())}])
    report.finish(flags.json)


def _teach(steering: BalancerForwarder, packet: bytes) -> None:
    steering.handle_envelope(Envelope(Kind.CARRIED, packet, best=OWN), OWN, 0)


def _timed(packets: list[bytes], steering: BalancerForwarder) -> float:
    started = time.perf_counter()
    for packet in packets:
        steering.handle_packet(packet, 0)
    return (time.perf_counter() - started) / len(packets) * MICRO


def _packet(number: int, flags: int = 0) -> bytes:
    host, port = divmod(number, CALLERS_A_HOST)
    caller = address_of(f'100.64.0.{host + 1}', port + 1024)
    return PlainPacket(caller, SERVICE, 1, 1, size=4, flags=flags).pack()


def _steering(pool_size: int) -> BalancerForwarder:
    view = AgentView()
    view.replace_all(
        Agent(
            address_of(f'10.2.{number // 200}.{number % 200 + 1}', 8172),
            f'zone-{number % 4}',
            POOL,
            Readiness.READY,
            is_cold=False,
            is_silent=False,
        )
        for number in range(pool_size)
    )
    steering = BalancerForwarder(OWN, 'zone-0', PlainCodec(), view, _ignore, 15)
    steering.apply_tables(
        Tables(1, {ROUTE.key: ROUTE}, {POOL: Pool(POOL, ('*',))}),
        {SERVICE: ROUTE},
    )
    return steering


def _ignore(event: object) -> None:
    """Take no notice of an event."""


if __name__ == '__main__':
    main()
