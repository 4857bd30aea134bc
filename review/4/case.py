"""A server restarts and takes flows before a report of its new run arrives.

Checks rule FLOW (a): while the server of an open flow lives undisturbed, the
caller gets no reset that the server did not send.
"""

# A case is a sequence: one step is awaited after the other.
# flake8: noqa: WPS210,WPS213,WPS217,WPS476,WPS601

import asyncio
import contextlib
import json
import os
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

from review.packet_site import (
    BROKEN,
    CANNOT_RUN,
    HAS_TROUBLE,
    HELD,
    SERVICE,
    START_SECONDS,
    Record,
    Site,
    Watched,
    log_lines,
    open_flow,
    run_case,
    wait_served,
)
from standins.packets.calls import call
from standins.packets.callers import CallerSite, FlowEndedError
from standins.packets.header import RST, End, Packet
from standins.packets.operators import RouteText, document
from standins.packets.servers import COLD_SECONDS, PacketServer
from standins.packets.settings import APP_PORT

ROUTE = RouteText(SERVICE.host, SERVICE.port, 'feed', 'non_idempotent')
SETTLE_SECONDS = 3
# cold_return lasts 4.5 s at most on the site that the claim names.
DOWN_SECONDS = 0.15
# Without a silent channel: when the new run sends its first report.
FIRST_REPORT_AFTER = float(os.environ.get('FIRST_REPORT_MS', '400')) / 1000
HAS_SILENT_CHANNEL = os.environ.get('SILENT') != '0'
# A cold server bears coldstart_per_s x cold_burst_factor + cold_slack = 5.
FLOWS = 5
FLOW_GAP = 0.03
# Longer than contact_ms, shorter than idle_timeout_ms.
PAUSE_SECONDS = 6
MAX_READ = 65536


class RestartingServer(PacketServer):
    """A server whose process can end and start again on its machine."""

    resets = 0

    @property
    def held(self) -> set[End]:
        """Callers' ends of the flows that are open at this server."""
        flows = self._flow_by_caller.items()
        return {ends[0] for ends, flow in flows if flow.is_open}

    @contextlib.asynccontextmanager
    async def serving(self, is_cold: bool = False) -> AsyncIterator[None]:
        """Run until the end of the block; the first start is not cold."""
        self.cold_until = 0
        self._open_ports()
        beating = asyncio.create_task(self._beat())
        try:
            yield
        finally:
            beating.cancel()
            self.crash()

    def crash(self) -> None:
        """End without a word: the ports are closed, all flows forgotten."""
        self.is_silent = True
        if self._sock is None:
            return
        asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.close()
        self._listener.close()
        self._flow_by_caller.clear()
        self._sock = None

    def start_again(self) -> None:
        """Start again, cold and under a new name; report nothing yet."""
        self._open_ports()
        self.restart()

    async def report_into_silence(self, address: str) -> bool:
        """Send a report through a channel that has gone silent."""
        self.sequence += 1
        beat = {
            'service': self.machine.service,
            'address': f'{self.machine.host}:{APP_PORT}',
            'zone': self.machine.zone,
            'version': 'v1',
            'slots': 3,
            'state': self.state,
            'cold_remaining_ms': round(COLD_SECONDS * 1000),
            'sequence': self.sequence,
            'born': self.starts[-1].born,
        }
        path = f'/api/Instances.Heartbeat/{self.name}'
        answer = await call('POST', address, path, json.dumps(beat).encode())
        return answer.is_ok

    def _open_ports(self) -> None:
        place = (self.machine.host, APP_PORT)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(place)
        asyncio.get_running_loop().add_reader(self._sock, self._read)
        self._listener.enter_context(socket.create_server(place))

    def _send(self, packet: Packet) -> None:
        self.resets += bool(packet.flags & RST)
        super()._send(packet)


async def report_first(server: RestartingServer, record: Record) -> None:
    """Send the first reports of a run; the others follow as always.

    The first call is made at once.  Its channel goes silent, so the server
    calls again after the second in which an answer has to arrive.
    """
    if HAS_SILENT_CHANNEL:
        async with silent_channel(server.machine.host) as address:
            is_acknowledged = await server.report_into_silence(address)
            record.note(f'first report, acknowledged: {is_acknowledged}')
    else:
        await asyncio.sleep(FIRST_REPORT_AFTER)
    is_acknowledged = await server.report()
    record.note(
        f'report {server.sequence} of {server.name}, acknowledged: '
        f'{is_acknowledged}',
    )
    server.is_silent = False


@contextlib.asynccontextmanager
async def silent_channel(host: str) -> AsyncIterator[str]:
    """Accept connections and read from them, but pass nothing on."""

    async def swallow(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.closing(writer):
            while await reader.read(MAX_READ):
                await asyncio.sleep(0)

    async with await asyncio.start_server(swallow, host, 0) as listener:
        port = listener.sockets[0].getsockname()[1]
        yield f'{host}:{port}'


async def restart(server: RestartingServer, record: Record) -> None:
    """End the server and start it again."""
    record.note(f'server {server.name} ends')
    server.crash()
    await asyncio.sleep(DOWN_SECONDS)
    server.start_again()
    record.note(f'it is back as {server.name}, not reported yet')


async def ask_first(
    caller: CallerSite, number: int, record: Record
) -> Watched | None:
    """Open a flow and send its first request."""
    try:
        watched = await open_flow(caller)
        answer = await watched.flow.ask(f'first-{number}')
    except FlowEndedError as error:
        record.note(f'first-{number}: {error.reason}')
        return None
    watched.server = answer.rpartition(' ')[2]
    record.note(f'port {watched.end.port}, first-{number}: answer "{answer}"')
    return watched


async def ask_second(watched: Watched, number: int, record: Record) -> None:
    """Send the second request on a flow."""
    try:
        outcome = await watched.flow.ask(f'second-{number}')
    except FlowEndedError as error:
        outcome = error.reason
    record.note(f'port {watched.end.port}, second-{number}: {outcome}')


def judge(
    server: RestartingServer, flows: list[Watched], record: Record
) -> int:
    """Return whether a flow was reset that its server holds and did not reset.

    The server has run undisturbed for longer than ``contact_ms`` by now.
    """
    broken = [
        watched
        for watched in flows
        if watched.is_reset and watched.end in server.held
    ]
    for watched in broken:
        record.note(
            f'port {watched.end.port} got a reset with seq '
            f'{watched.reset_seq}, its last ack is {watched.acknowledged}; '
            f'{server.name} holds the flow open',
        )
    second = [run.request for run in server.runs if 'second' in run.request]
    record.note(f'second requests run: {", ".join(second) or "none"}')
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
    if HAS_TROUBLE:
        await restart(server, record)
        reporting = asyncio.create_task(report_first(server, record))
    asking = []
    for number in range(FLOWS):
        asking.append(asyncio.create_task(ask_first(caller, number, record)))
        await asyncio.sleep(FLOW_GAP)
    opened = await asyncio.gather(*asking)
    if HAS_TROUBLE:
        await reporting
    flows = [one for one in opened if one and one.server == server.name]
    record.note(f'{len(flows)} flows are open at {server.name}, and pause')
    if not flows:
        return CANNOT_RUN
    await asyncio.sleep(PAUSE_SECONDS)
    await asyncio.gather(
        *(ask_second(one, at, record) for at, one in enumerate(flows)),
    )
    outcome = judge(server, flows, record)
    agent = site.agent_name(server)
    events = ('server_reported', 'flow_not_found')
    record.lines.extend(log_lines(site, agent, events))
    return outcome


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, play, RestartingServer))
