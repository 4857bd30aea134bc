"""An opening packet that a frozen balancer held reaches a restarted agent.

Checks rule FLOW (a): while the server of an open flow lives undisturbed, the
caller gets no reset that the server did not send.
"""

# A case is a sequence: one step is awaited after the other.
# flake8: noqa: WPS210,WPS213,WPS217,WPS476

import asyncio
import sys
from pathlib import Path

import attrs

from review.packet_site import (
    BROKEN,
    CANNOT_RUN,
    HAS_TROUBLE,
    HELD,
    RESET_WINDOW,
    SEQUENCES,
    SERVICE,
    START_SECONDS,
    Record,
    Site,
    log_lines,
    run_case,
    wait_served,
)
from standins.packets.callers import CallerFlow, CallerSite, FlowEndedError
from standins.packets.header import ACK, RST, SYN, End, Packet
from standins.packets.operators import RouteText, document
from standins.packets.servers import PacketServer

ROUTE = RouteText(SERVICE.host, SERVICE.port, 'feed', 'non_idempotent')
SETTLE_SECONDS = 3
# Both processes of the machine that stands still; it has no disk.
ROLES = ('balancer', 'control')
# node_freeze lasts up to 7.2 s on the site that the claim names.
FREEZE_SECONDS = 4
FLOW_GAP = 0.03
OPENING_SECONDS = 2.6
AGENT_DOWN_SECONDS = 0.3
# Longer than contact_ms, and with the rest shorter than idle_timeout_ms.
PAUSE_SECONDS = 6


class CountingServer(PacketServer):
    """A server that numbers the bytes that it sends, as TCP does."""

    resets = 0

    @property
    def held(self) -> set[End]:
        """Callers' ends of the flows that are open at this server."""
        flows = self._flow_by_caller.items()
        return {ends[0] for ends, flow in flows if flow.is_open}

    def _send(self, packet: Packet) -> None:
        self.resets += bool(packet.flags & RST)
        if packet.data and packet.flags == ACK:
            packet = self._numbered(packet)
        super()._send(packet)

    def _numbered(self, packet: Packet) -> Packet:
        numbers = self.__dict__.setdefault('numbers', {})
        by_request = numbers.setdefault((packet.target, packet.source), {})
        if packet.ack not in by_request:
            last, size = max(by_request.values(), default=(packet.seq + 1, 0))
            by_request[packet.ack] = (last + size, len(packet.data))
        return attrs.evolve(packet, seq=by_request[packet.ack][0] % SEQUENCES)


class CountingFlow(CallerFlow):
    """A caller's flow that acknowledges all that it has received."""

    ack = 0
    reset_seq = -1
    openings: tuple[str, ...] = ()

    def take(self, packet: Packet) -> None:
        """Take a packet."""
        if packet.flags & RST:
            distance = (packet.seq - self.ack) % SEQUENCES
            if self.is_open and min(distance, SEQUENCES - distance) > (
                RESET_WINDOW
            ):
                return
            self.reset_seq = packet.seq
        elif packet.flags & SYN and not self.is_open:
            self.ack = packet.seq
        elif packet.data:
            self.ack = max(self.ack, packet.seq + len(packet.data))
        super().take(packet)

    @property
    def end(self) -> End:
        """The caller's end."""
        return self._end

    @property
    def has_two_ways(self) -> bool:
        """Whether its opening packets went to two balancers."""
        return len(set(self.openings)) > 1

    def _send_opening(self, copy: int) -> None:
        packet = Packet(self._end, self.service, 1, copy, SYN)
        chosen = self._site.router.choose(packet.flow)
        self.openings = (*self.openings, chosen)
        super()._send_opening(copy)

    def _send(self, seq: int, flags: int, data: bytes = b'') -> None:
        self._site.send(
            Packet(self._end, self.service, seq, self.ack, flags, data)
        )


def new_flow(caller: CallerSite) -> CountingFlow:
    """Return a new flow of a caller."""
    made = caller.flow(SERVICE)
    port = max(caller.flow_by_port)
    flow = CountingFlow(caller, End(caller.host, port), made.service)
    caller.flow_by_port[port] = flow
    return flow


async def ask_first(
    flow: CountingFlow, number: int, record: Record
) -> CountingFlow | None:
    """Open a flow and send its first request."""
    try:
        await flow.open()
        answer = await flow.ask(f'first-{number}')
    except FlowEndedError as error:
        record.note(f'first-{number}: {error.reason}')
        return None
    record.note(
        f'port {flow.end.port}, first-{number}, opened through '
        f'{", ".join(flow.openings)}: answer "{answer}"',
    )
    return flow


async def ask_second(flow: CountingFlow, number: int, record: Record) -> None:
    """Send the second request on a flow."""
    try:
        outcome = await flow.ask(f'second-{number}')
    except FlowEndedError as error:
        outcome = error.reason
    record.note(f'port {flow.end.port}, second-{number}: {outcome}')


async def open_flows(caller: CallerSite, record: Record) -> list[CountingFlow]:
    """Open flows one after the other."""
    asking = []
    for number in range(round(OPENING_SECONDS / FLOW_GAP)):
        asking.append(
            asyncio.create_task(ask_first(new_flow(caller), number, record))
        )
        await asyncio.sleep(FLOW_GAP)
    opened = await asyncio.gather(*asking)
    return [flow for flow in opened if flow is not None]


async def restart_agent(site: Site, record: Record) -> None:
    """Kill the agent of the first server, and start it again."""
    name = site.agent_name(site.servers[0])
    await site.kill(name)
    record.note(f'{name} killed')
    await asyncio.sleep(AGENT_DOWN_SECONDS)
    await site.restart(name)
    record.note(f'{name} started again')


def judge(
    server: CountingServer, flows: list[CountingFlow], record: Record
) -> int:
    """Return whether a flow was reset that its server holds."""
    broken = [
        flow for flow in flows if flow.is_reset and flow.end in server.held
    ]
    for flow in broken:
        record.note(
            f'port {flow.end.port} got a reset with seq {flow.reset_seq}, its '
            f'last ack is {flow.ack}; {server.name} holds the flow open',
        )
    record.note(f'resets sent by the server: {server.resets}')
    record.note(f'{len(broken)} of {len(flows)} flows broken')
    return BROKEN if broken and not server.resets else HELD


async def play(site: Site, record: Record) -> int:
    """Play the case on a running site."""
    answer = await site.operator.replace(document(1, (ROUTE,)), START_SECONDS)
    record.note(f'desired state 1: status {answer.status}')
    caller, server = site.callers[0], site.servers[0]
    await wait_served(caller)
    await asyncio.sleep(SETTLE_SECONDS)
    frozen = site.fronts[1]
    loop = asyncio.get_running_loop()
    thaw_at = loop.time() + FREEZE_SECONDS
    if HAS_TROUBLE:
        for role in ROLES:
            site.freeze(f'{frozen.name}-{role}')
        record.note(f'{frozen.name} ({frozen.host}) stands still')
    flows = await open_flows(caller, record)
    flows = [flow for flow in flows if flow.end in server.held]
    late = sum(flow.has_two_ways for flow in flows)
    record.note(f'{late} of {len(flows)} flows opened through two balancers')
    if HAS_TROUBLE and not late:
        return CANNOT_RUN
    if HAS_TROUBLE:
        await restart_agent(site, record)
        await asyncio.sleep(thaw_at - loop.time())
        for awake in ROLES:
            site.thaw(f'{frozen.name}-{awake}')
        record.note(f'{frozen.name} goes on')
    await asyncio.sleep(PAUSE_SECONDS)
    for number, flow in enumerate(flows):
        await ask_second(flow, number, record)
    outcome = judge(server, flows, record)
    agent = site.agent_name(server)
    events = ('flow_not_found', 'flow_mismatch', 'server_reported')
    record.lines.extend(log_lines(site, agent, events))
    return outcome


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, play, CountingServer))
