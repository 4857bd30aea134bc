"""Microseconds of processor time a packet, beside a bare forwarder.

``python -m asv_bench.packet_forwarding``.  A socket is filled with datagrams
and read dry, as a process does at a wake-up; what is timed is the reading, the
decision and the sending.  The bare forwarder reads in the same way and sends
each datagram on as it is.
"""

import contextlib
import importlib
import socket
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from asv_bench import fitting, output
from redwingstream.directory.view import AgentView
from redwingstream.endpoints import Endpoint
from redwingstream.fleet.packet_sender import PacketSender
from redwingstream.openings.cold_limit import ColdLimit
from redwingstream.openings.gate import Gate
from redwingstream.packets.agent_context import AgentContext, AgentLocation
from redwingstream.packets.agent_flows import AgentFlows, CarriedFlow, FlowState
from redwingstream.packets.agent_forwarder import AgentForwarder
from redwingstream.packets.balancer_forwarder import BalancerForwarder
from redwingstream.packets.envelopes import (
    Envelope,
    Kind,
    pack_envelope,
    unpack_envelope,
)
from redwingstream.packets.flow import PacketCodec, address_of
from redwingstream.tables.rows import Pool, Route
from redwingstream.tables.snapshot import Tables
from redwingstream.wire.datagrams import BATCH, DatagramSocket, Receiver
from standins.packets.header import ACK, End, Packet

PLATFORM = Path(__file__).parent.parent / 'platform'
ROUNDS = 300
MICRO = 1e6
FLOWS = 1000
POOL = 'feed'
SERVICE = Endpoint('198.18.0.1', 443)
ROUTE = Route(str(SERVICE), POOL)
OWN = address_of('127.0.0.1', 7721)
FIRST_PORT = 1024
SIZES = (0, 600)
"""Bytes of data: an acknowledgement, and a short request or answer."""


def main() -> None:
    """Measure each kind of packet with two sizes."""
    flags = output.read_flags('packet_forwarding')
    report = output.Report('packet_forwarding')
    for size in SIZES:
        with _sockets() as (reading, sending, sink):
            rows = [
                _row(name, receiver, packets, reading, sending)
                for name, receiver, packets in _kinds(size, reading, sink)
            ]
        bare = float(rows[0]['median'])
        for row in rows:
            row['times bare'] = round(float(row['median']) / bare, 2)
        report.add(f'packets with {size} bytes of data', rows)
    report.finish(flags.json)


def _row(
    name: str,
    receiver: Receiver,
    packets: list[bytes],
    reading: DatagramSocket,
    sending: socket.socket,
) -> dict[str, object]:
    runs = sorted(
        _timed(receiver, packets, reading, sending)
        for _ in range(fitting.REPEATS)
    )
    median = runs[len(runs) // 2]
    return {
        'kind': name,
        'us a packet': fitting.spread(runs),
        'median': round(median, 2),
        'packets a second per core': round(MICRO / median),
    }


def _timed(
    receiver: Receiver,
    packets: list[bytes],
    reading: DatagramSocket,
    sending: socket.socket,
) -> float:
    spent = float(0)
    target = reading.endpoint.as_pair()
    before = reading.counters.received
    for number in range(ROUNDS):
        for place in range(BATCH):
            packet = packets[(number * BATCH + place) % len(packets)]
            sending.sendto(packet, target)
        began_at = time.thread_time()
        reading.read_batch(receiver)
        spent += time.thread_time() - began_at
    return spent / (reading.counters.received - before) * MICRO


@contextlib.contextmanager
def _sockets() -> Iterator[tuple[DatagramSocket, socket.socket, Endpoint]]:
    """Open a socket to read, one that fills it, and one that nobody reads."""
    with contextlib.ExitStack() as stack:
        made = [
            stack.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            for _ in range(3)
        ]
        for one in made:
            one.bind(('127.0.0.1', 0))
            one.setblocking(False)  # noqa: WPS425 - no keyword
        reading, sending, sink = made
        yield (
            DatagramSocket(reading),
            sending,
            Endpoint(*sink.getsockname()),
        )


def _kinds(
    size: int, reading: DatagramSocket, sink: Endpoint
) -> Iterator[tuple[str, Receiver, list[bytes]]]:
    sys.path.append(str(PLATFORM))
    codec: PacketCodec = importlib.import_module('adapter.packets').HeadCodec()
    inbound = [_packet(number, size) for number in range(FLOWS)]
    outbound = [_packet(number, size, is_back=True) for number in range(FLOWS)]
    peer = address_of(sink.host, sink.port)
    outlet = PacketSender(sink.port, sink)
    outlet.attach(callers=reading, peers=reading)
    yield 'bare forwarder', _bare(reading, sink), inbound
    yield 'balancer, by hint', _balancer(codec, outlet, inbound, peer), inbound
    carrying = _carrying(codec, inbound)
    envelopes = [
        pack_envelope(Envelope(Kind.ONGOING, packet, peer, peer))
        for packet in inbound
    ]
    yield 'agent, to its server', _to_server(carrying, outlet), envelopes
    yield 'agent, from its server', _to_caller(carrying, outlet), outbound


def _bare(reading: DatagramSocket, sink: Endpoint) -> Receiver:
    target = sink.as_pair()
    return lambda packet, source: reading.send(packet, target)


def _balancer(
    codec: PacketCodec, outlet: PacketSender, packets: list[bytes], peer: int
) -> Receiver:
    steering = BalancerForwarder(OWN, 'z0', codec, AgentView(), _ignore, 15)
    tables = Tables(1, {ROUTE.key: ROUTE}, {POOL: Pool(POOL, ('*',))})
    steering.apply_tables(
        tables, {address_of(SERVICE.host, SERVICE.port): ROUTE}
    )
    for packet in packets:
        steering.handle_envelope(
            Envelope(Kind.CARRIED, packet, best=peer), OWN, 0
        )
    return lambda packet, source: outlet.send_all(
        steering.handle_packet(packet, 0)
    )


def _carrying(codec: PacketCodec, packets: list[bytes]) -> AgentForwarder:
    site = AgentContext(
        AgentLocation(OWN, 'z0', POOL),
        codec,
        Gate(ColdLimit(1, 5), 1, 0),
        AgentView(),
        AgentFlows(15),
        _ignore,
    )
    for packet in packets:
        flow = codec.read(packet).inbound
        opening = Envelope(Kind.OPENING, packet)
        carried = CarriedFlow(flow, opening, FlowState.ESTABLISHED, 0)
        site.flows.add(carried, 0)
    return AgentForwarder(site, 0)


def _to_server(carrying: AgentForwarder, outlet: PacketSender) -> Receiver:
    return lambda datagram, source: outlet.send_all(
        carrying.handle_envelope(unpack_envelope(datagram), OWN, 0)
    )


def _to_caller(carrying: AgentForwarder, outlet: PacketSender) -> Receiver:
    return lambda packet, source: outlet.send_all(
        carrying.handle_server_packet(packet, 0)
    )


def _packet(number: int, size: int, *, is_back: bool = False) -> bytes:
    caller = End('127.0.0.1', number + FIRST_PORT)
    service = End(SERVICE.host, SERVICE.port)
    source, target = (service, caller) if is_back else (caller, service)
    return Packet(source, target, 1, 1, ACK, b'.' * size).pack()


def _ignore(event: object) -> None:
    """Take no notice of an event."""


if __name__ == '__main__':
    main()
