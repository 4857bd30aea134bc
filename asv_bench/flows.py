"""What feeds and flows cost: bytes of memory and processor time.

Run ``python -m asv_bench.flows`` for the table in docs/design/flows.md.
"""

import gc
import random
import sys
import time
import tracemalloc
from collections.abc import Callable

from aiocoap.message import Message

from redwingstream.flows.effects import SendToServer
from redwingstream.flows.exchanges import UpstreamLimits
from redwingstream.flows.feed_state import FeedLimits
from redwingstream.flows.feeds import FeedCarrier
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.flows.return_paths import ReturnPaths
from redwingstream.flows.table import FlowTable
from redwingstream.flows.upstream import Upstream
from redwingstream.wire import coap

SERVICE = '10.1.0.1:5683'
TOKEN = b'feedfeed'
COUNT = 2000
ROUNDS = 5
DEADLINE = 10.0
MILLION = 1_000_000
BUCKETS = 256
HEAD_SIZE = 12
ACK_CONTENT = b'\x68\x45'
"""An ACK with an eight-byte token and code 2.05."""
PAYLOAD = b'\xff1'
READING = b'{"field": 7, "growth_mm": 24}'


def caller_of(number: int) -> str:
    """Return the address of one of many callers."""
    high, low = divmod(number, BUCKETS)
    return f'10.9.{high}.{low}:40000'


def registration(number: int) -> Message:
    """Build the request that opens a feed."""
    request = Message(code=coap.GET)
    request.mtype = coap.CON
    request.mid = number
    request.token = TOKEN
    request.opt.uri_path = ('growth', 'field-7')
    request.opt.observe = coap.OBSERVE_REGISTER
    return request


def record_of(number: int) -> FlowRecord:
    """Build the record of a feed."""
    key = FlowKey(caller_of(number), SERVICE, TOKEN)
    return FlowRecord(key, 'carse-1#17', 0, coap.encode(registration(number)))


def placement_of(number: int) -> FlowRecord:
    """Build the record of a plain placement."""
    return FlowRecord(FlowKey(caller_of(number), SERVICE), 'carse-1#17')


class Bench:
    """A carrier and its server's side with many feeds."""

    def __init__(self) -> None:
        paths = ReturnPaths()
        for balancer in range(4):
            paths.record_heard(f'10.2.0.{balancer}:7000', 0)
        rng = random.Random(1)
        self.upstream = Upstream(rng, UpstreamLimits())
        self.carrier = FeedCarrier(
            'carse-1', 'sward-live', paths, rng, FeedLimits()
        )
        self.sent: list[SendToServer] = []

    def open_feeds(self) -> None:
        """Open all feeds up to their first notification."""
        for number in range(COUNT):
            self.carrier.register(
                record_of(number), registration(number), 'b', 0
            )
            opened = self.carrier.next_registrations(0, 1)[0]
            effects = self.upstream.open_feed(
                opened.request, opened.source, 0, DEADLINE
            )[1]
            self.sent.append(effects[0])
        self.notify(1, coap.ACK)

    def notify(self, number: int, mtype: coap.aiocoap.Type) -> None:
        """Let the server notify all feeds and the callers acknowledge."""
        self.relay_all(self.notifications(number, mtype), number)

    def notifications(
        self, number: int, mtype: coap.aiocoap.Type
    ) -> list[tuple[bytes, int]]:
        """Return the server's packets."""
        packets = []
        for sent in self.sent:
            asked = coap.decode(sent.packet)
            update = coap.reply_to(asked, coap.CONTENT, READING)
            update.mtype = mtype
            update.opt.observe = number
            packets.append((coap.encode(update), sent.source))
        return packets

    def relay_all(self, packets: list[tuple[bytes, int]], now: float) -> None:
        """Take notifications up to the callers' ACKs."""
        for packet in packets:
            self.relay(packet, now)

    def relay(self, packet: tuple[bytes, int], now: float) -> None:
        """Take one notification up to the caller's ACK."""
        update = self.upstream.receive(packet[0], now, packet[1])[-1]
        given = self.carrier.handle_notification(
            update.owner, update.notification, now
        )[0]
        # The agent decodes the caller's ACK; it never decodes what it sent.
        message_id = int.from_bytes(given.payload[2:4], 'big')
        ack = coap.decode(coap.encode(coap.empty(coap.ACK, message_id)))
        self.carrier.handle_reply(given.caller, given.service, ack, now)

    def ask(self, request: Message) -> None:
        """Send one plain request and take its answer."""
        _, effects = self.upstream.send_request(request, 'x', 0, DEADLINE)
        sent = effects[0]
        message_id_and_token = sent.packet[2:HEAD_SIZE]
        answer = b''.join((ACK_CONTENT, message_id_and_token, PAYLOAD))
        self.upstream.receive(answer, 0, sent.source)


def bytes_each(build: Callable[[], object], count: int) -> float:
    """Return the memory that a build holds, divided by a count."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert built is not None
    return held / count


def build_table(record: Callable[[int], FlowRecord]) -> FlowTable:
    """Build a table full of records."""
    table = FlowTable(COUNT, DEADLINE)
    for number in range(COUNT):
        table.put(number % BUCKETS, record(number), 0)
    return table


def build_bench() -> Bench:
    """Build a carrier with all feeds open."""
    bench = Bench()
    bench.open_feeds()
    bench.sent.clear()
    return bench


def microseconds(work: Callable[..., object], *arguments: object) -> float:
    """Return the processor time of a piece of work."""
    started = time.process_time()
    work(*arguments)
    return (time.process_time() - started) * MILLION


class FlowCosts:
    """Regression bounds for asv."""

    def track_bytes_per_feed_record(self) -> float:
        """Bytes of a feed in the table of its home or heir."""
        return bytes_each(lambda: build_table(record_of), COUNT)

    def track_bytes_per_placement(self) -> float:
        """Bytes of a plain placement in the table."""
        return bytes_each(lambda: build_table(placement_of), COUNT)

    def track_bytes_per_carried_feed(self) -> float:
        """Bytes of a feed at its carrier, both sides."""
        return bytes_each(build_bench, COUNT)

    def track_microseconds_per_notification(self) -> float:
        """Processor time from the server's packet to the caller's ACK."""
        bench = Bench()
        bench.open_feeds()
        best = []
        for number in range(2, 2 + ROUNDS):
            packets = bench.notifications(number, coap.NON)
            best.append(microseconds(bench.relay_all, packets, number))
        return min(best) / COUNT

    def track_microseconds_per_request(self) -> float:
        """Processor time of a plain request towards the server."""
        bench = Bench()
        request = registration(1)
        request.opt.observe = None
        spent = microseconds(lambda: [bench.ask(request) for _ in range(COUNT)])
        return spent / COUNT

    def track_microseconds_per_lookup(self) -> float:
        """Processor time of finding a flow's carrier."""
        table = build_table(placement_of)
        callers = [caller_of(number) for number in range(COUNT)]
        spent = microseconds(
            lambda: [
                table.record_for(caller, SERVICE, TOKEN, 1)
                for caller in callers
            ]
        )
        return spent / COUNT


def main() -> None:
    """Print each cost."""
    costs = FlowCosts()
    tracks = (
        costs.track_bytes_per_feed_record,
        costs.track_bytes_per_placement,
        costs.track_bytes_per_carried_feed,
        costs.track_microseconds_per_notification,
        costs.track_microseconds_per_request,
        costs.track_microseconds_per_lookup,
    )
    for track in tracks:
        name = track.__name__.removeprefix('track_')
        sys.stdout.write(f'{name} {round(track(), 1)}\n')


if __name__ == '__main__':
    main()
