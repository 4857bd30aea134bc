"""What callers see, checked."""

import asyncio
import contextlib
import json
from collections.abc import Iterator

import attrs

from demo.layout import COVER, SERVERS, SWARD, Layout, Server
from standins.blocks import Whole
from standins.client import Client, request_for, submission_to
from standins.observation import Observation, State
from standins.outcomes import Answered
from standins.reliable import Timing
from standins.resources import DEFAULT_REPORT_SIZE, report_body

ATTEMPTS = 6
SILENCE = 4.0
REPLAYS = 3
REPLAY_PAUSE = 0.3
STATES_WANTED = 4
DEADLINE = 8.0
PROBE_DEADLINE = 3.0
REPORT_NAME = 'spring-2026'
FEED_PATH = 'feed'

# Loopback answers within milliseconds; shorter repeats than the standard's two
# seconds keep the demonstration short.
_TIMING = Timing(ack_timeout=0.5)


@attrs.frozen
class Finding:
    """One line of the report."""

    went_well: bool
    text: str


@attrs.define
class LiveFeed:
    """A feed that a caller listens to until the end.

    Parameters
    ----------
    client : Client
        Its caller.
    observation : Observation
        The feed.
    states : list of State
        All fresh states that came.
    longest_gap : float
        Longest time without one, in seconds.
    patience : float
        Seconds without a fresh state after which it counts as broken.
    """

    client: Client
    observation: Observation
    states: list[State] = attrs.field(factory=list)
    longest_gap: float = 0
    broken: str = ''
    patience: float = SILENCE

    @property
    def host(self) -> str:
        """The server that the last state came from."""
        return host_of(self.states[-1].payload) if self.states else ''

    async def listen(self) -> None:
        """Take states until the feed breaks or the task is cancelled."""
        while not self.broken:
            state = await self.client.next_state(
                self.observation, self.patience
            )
            if state is None:
                self.broken = self.observation.ended
                return
            if self.states:
                gap = state.at - self.states[-1].at
                self.longest_gap = max(gap, self.longest_gap)
            self.states.append(state)

    async def wait_for(self, count: int) -> bool:
        """Wait until some more states have come; False when it breaks."""
        wanted = len(self.states) + count
        while len(self.states) < wanted and not self.broken:
            await asyncio.sleep(0.1)
        return not self.broken


class Callers:
    """Callers at the addresses of a layout, made as they are needed.

    Parameters
    ----------
    layout : Layout
        Their addresses.
    deadline : float, optional
        Seconds that each waits for the final answer to a request.
    """

    def __init__(self, layout: Layout, deadline: float = DEADLINE) -> None:
        self.layout = layout
        self._deadline = deadline
        self._used = 0
        self._stack = contextlib.ExitStack()

    @contextlib.contextmanager
    def open(self) -> Iterator['Callers']:
        """Close every caller at the end."""
        with self._stack:
            yield self

    def one_more(self) -> Client:
        """Return a caller with an address that nobody used so far."""
        self._used += 1
        client = Client(self._used, _TIMING, self._deadline)
        address = self.layout.caller_at(self._used)
        self._stack.enter_context(client.open(address))
        return client

    async def open_feed(self) -> LiveFeed:
        """Open a live feed from a fresh address."""
        service = self.layout.services[SWARD]
        client = self.one_more()
        feed = await client.observe(service, FEED_PATH, ATTEMPTS)
        return LiveFeed(client, feed)

    async def ask_host(self) -> str:
        """Ask from a fresh address; return the server that answered.

        A caller that is told *not run* comes back when it was told to.
        """
        outcome = await self.one_more().request_patiently(
            self.layout.services[SWARD], request_for(FEED_PATH), ATTEMPTS
        )
        if isinstance(outcome, Answered):
            return host_of(outcome.payload)
        return ''

    async def work_taken(self, server: Server) -> int:
        """Ask a backend server itself how much work has come to it."""
        outcome = await self.one_more().request(
            self.layout.server_at(server), request_for('load'), PROBE_DEADLINE
        )
        if not isinstance(outcome, Answered):
            return -1
        taken: int = json.loads(outcome.payload)['taken']
        return taken


async def check_submission(callers: Callers) -> Finding:
    """Submit a plate reading, replay its packet, count the runs."""
    service = callers.layout.services[SWARD]
    client = callers.one_more()
    packet = submission_to('readings', b'paddock=7;plate=31;by=demo')
    outcome = await client.request_patiently(service, packet, ATTEMPTS)
    if not isinstance(outcome, Answered):
        return Finding(False, f'plate reading: {outcome}')
    for _ in range(REPLAYS):
        client.send_raw(client.last_frame, service.as_pair())
        await asyncio.sleep(REPLAY_PAUSE)  # noqa: WPS476
    runs = count_runs(callers.layout)
    return Finding(
        runs == 1,
        f'plate reading: answered, its packet sent {REPLAYS} more times, '
        f'runs at the backend servers: {runs}',
    )


async def check_report(callers: Callers) -> Finding:
    """Fetch a cover report of many blocks and compare it whole."""
    service = callers.layout.services[COVER]
    path = f'reports/{REPORT_NAME}'
    fetched = await callers.one_more().fetch(service, path, ATTEMPTS)
    if not isinstance(fetched, Whole):
        return Finding(False, f'cover report: {fetched}')
    expected = report_body(path, DEFAULT_REPORT_SIZE)
    is_same = fetched.body == expected
    return Finding(
        is_same,
        f'cover report: {len(fetched.body)} bytes in {fetched.blocks} blocks, '
        f'{"whole and right" if is_same else "not what the server has"}',
    )


def count_runs(layout: Layout) -> int:
    """Return how many submissions ran at all backend servers together."""
    files = [layout.runs_file(server) for server in SERVERS]
    texts = [path.read_text() for path in files if path.exists()]
    return sum(len(text.splitlines()) for text in texts)


def host_of(payload: bytes) -> str:
    """Return which server a state of a feed came from."""
    host: str = json.loads(payload)['host']
    return host


def zone_of(host: str) -> str:
    """Return the zone of a server; empty for an unknown one."""
    zones = [server.zone for server in SERVERS if server.host == host]
    return zones[0] if zones else ''
