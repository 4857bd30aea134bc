"""One run: steady, a host restarts, a zone leaves and returns."""

import asyncio
import contextlib
import itertools
import json
from collections import Counter
from collections.abc import AsyncIterator

import attrs

from asv_bench.deployments import Host
from asv_bench.targets import PlainTarget, SystemTarget
from demo.checks import LiveFeed
from demo.processes import Fleet
from redwingstream.endpoints import Endpoint
from standins.client import Client, request_for, submission_to
from standins.outcomes import (
    Answered,
    NoAnswer,
    NotRun,
    Outcome,
    Unknown,
)
from standins.reliable import Timing

FEEDS = 40
RATE = 100.0
"""Requests a second of callers, each the first of its flow."""

SUBMISSIONS = 4
"""One request of so many is not idempotent."""

WARM_SECONDS = 4.0
STEADY_SECONDS = 6.0
HOST_SECONDS = 6.0
OUT_SECONDS = 8.0
BACK_SECONDS = 6.0
BIN = 0.5
POLL = 0.25
DEADLINE = 4.0
ATTEMPTS = 6
PERCENT = 100
CALLER_KIND = 10
HOST_BITS = 250
_TIMING = Timing(ack_timeout=0.5)


@attrs.define
class Timeline:
    """Service by half seconds since the zone was marked out.

    Parameters
    ----------
    target, deployment : str
        What was measured.
    sent_by_bin, answered_by_bin : dict
        Requests by the half second in which they were sent; -4 is two seconds
        before the mark.
    back_at : float
        Seconds after the mark at which the zone was marked in.
    """

    target: str
    deployment: str
    sent_by_bin: dict[int, int] = attrs.field(factory=dict)
    answered_by_bin: dict[int, int] = attrs.field(factory=dict)
    back_at: float = 0


@attrs.define
class Measures:
    """What one run found.

    Parameters
    ----------
    deployment, target : str
        What was measured.
    feeds : int
        Feeds that were established.
    broken_by_host, broken_by_zone : int
        Feeds that broke in each step; those in the zone taken out do not
        count.
    given_up : int
        Feeds that the zone taken out carried.
    longest_gap : float
        Longest time without a state at a feed that did not break, seconds.
    imbalance : float
        Most requests at a host of the first pool over their mean.
    falls : int
        How often a server fell over in cold start.
    requests, not_run, unknown, no_answer : int
        Callers' requests and what became of them.
    answered_percent, out_percent : float
        Answered of all, and of those sent while the zone was out.
    empty_after, back_after : float
        Seconds from a mark to the zone's last, or first, work; -1 when there
        was none.
    """

    deployment: str
    target: str
    feeds: int = 0
    broken_by_host: int = 0
    broken_by_zone: int = 0
    given_up: int = 0
    longest_gap: float = 0
    imbalance: float = 0
    falls: int = 0
    requests: int = 0
    not_run: int = 0
    unknown: int = 0
    no_answer: int = 0
    answered_percent: float = 0
    out_percent: float = 0
    empty_after: float = -1
    back_after: float = -1
    timeline: Timeline = attrs.field(factory=lambda: Timeline('', ''))


@attrs.frozen
class _Sent:
    at: float
    outcome: Outcome


class MeasuredRun:
    """Callers, feeds and changes of one run.

    Parameters
    ----------
    target : SystemTarget or PlainTarget
        What is measured.
    fleet : Fleet
        Its processes.
    """

    def __init__(
        self, target: SystemTarget | PlainTarget, fleet: Fleet
    ) -> None:
        self._target = target
        self._fleet = fleet
        self._deployment = target.deployment
        self._numbers = itertools.count(1)
        self._sent: list[_Sent] = []
        self._feeds: list[LiveFeed] = []
        self._stack = contextlib.ExitStack()
        self._pool = self._deployment.pools[0].name
        name = self._deployment.name
        self.found = Measures(name, target.name)
        self.found.timeline = Timeline(target.name, name)

    async def run(self) -> Measures:
        """Go through all steps."""
        with self._stack:
            async with self._calling() as tasks:
                await self._open_feeds(tasks)
                await self._steady()
                await self._restart_host()
                await self._zone()
        self._sum_up()
        return self.found

    @contextlib.asynccontextmanager
    async def _calling(self) -> AsyncIterator[list[asyncio.Task[None]]]:
        """Let callers ask; yields the tasks that end with the block."""
        tasks = [asyncio.create_task(self._call())]
        await asyncio.sleep(WARM_SECONDS)
        try:
            yield tasks
        finally:
            await _end(tasks)

    async def _open_feeds(self, tasks: list[asyncio.Task[None]]) -> None:
        service = self._deployment.service_at(self._pool)
        path = self._deployment.feed

        async def open_one() -> LiveFeed:
            client = self._client()
            observation = await client.observe(service, path, ATTEMPTS)
            return LiveFeed(client, observation)

        opened = await asyncio.gather(*(open_one() for _ in range(FEEDS)))
        self._feeds = [feed for feed in opened if not feed.observation.ended]
        self.found.feeds = len(self._feeds)
        tasks.extend(asyncio.create_task(feed.listen()) for feed in self._feeds)

    async def _steady(self) -> None:
        hosts = [
            host for host in self._deployment.hosts() if host.pool == self._pool
        ]
        before = await self._taken(hosts)
        await asyncio.sleep(STEADY_SECONDS)
        after = await self._taken(hosts)
        counts = [after[host.name] - before[host.name] for host in hosts]
        self.found.imbalance = max(counts) * len(counts) / max(sum(counts), 1)

    async def _restart_host(self) -> None:
        broken = self._broken()
        host = self._deployment.hosts()[0]
        await self._target.stop_host(host, self._fleet)
        await asyncio.sleep(HOST_SECONDS / 2)
        await self._target.start_host(host, self._fleet)
        await asyncio.sleep(HOST_SECONDS)
        self.found.broken_by_host = len(self._broken() - broken)

    async def _zone(self) -> None:
        zone = self._deployment.zones[1]
        hosts = [each for each in self._deployment.hosts() if each.zone == zone]
        names = {host.name for host in hosts}
        broken = self._broken()
        inside = {
            number
            for number, feed in enumerate(self._feeds)
            if feed.host in names
        }
        loop = asyncio.get_running_loop()
        await self._target.mark_zone(zone, out=True)
        marked_at = loop.time()
        quiet_at = await self._watch(hosts, OUT_SECONDS, last=True)
        await self._target.mark_zone(zone, out=False)
        back_at = loop.time()
        worked_at = await self._watch(hosts, BACK_SECONDS, last=False)
        self.found.given_up = len(inside)
        self.found.broken_by_zone = len(self._broken() - broken - inside)
        self.found.empty_after = quiet_at - marked_at
        if worked_at:
            self.found.back_after = worked_at - back_at
        self._fill_timeline(marked_at, back_at)

    async def _watch(
        self, hosts: list[Host], seconds: float, *, last: bool
    ) -> float:
        """Return when the last, or first, new work was seen at some hosts."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        known = sum((await self._taken(hosts)).values())
        seen_at = loop.time() if last else 0
        while loop.time() < end:
            await asyncio.sleep(POLL)
            total = sum((await self._taken(hosts)).values())
            if total > known and (last or not seen_at):
                seen_at = loop.time()
            known = total
        return seen_at

    async def _taken(self, hosts: list[Host]) -> dict[str, int]:
        client = self._client()
        found = {}
        for host in hosts:
            server = self._deployment.server_at(host)
            outcome = await client.request(server, request_for('load'), 1.0)
            is_answered = isinstance(outcome, Answered)
            told = json.loads(outcome.payload) if is_answered else {'taken': 0}
            found[host.name] = told['taken']
        return found

    async def _call(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        under_way: set[asyncio.Task[None]] = set()
        for number in itertools.count():
            due = started + number / RATE
            await asyncio.sleep(max(0, due - loop.time()))
            task = asyncio.create_task(self._ask(number))
            under_way.add(task)
            task.add_done_callback(under_way.discard)

    async def _ask(self, number: int) -> None:
        pool = self._deployment.pools[number % 2].name
        service = self._deployment.service_at(pool)
        packet = request_for('reports/s')
        if number % SUBMISSIONS == 0:
            packet = submission_to('readings', f'plate={number}'.encode())
        at = asyncio.get_running_loop().time()
        client = Client(number, _TIMING, DEADLINE)
        with client.open(self._address()):
            outcome = await client.request(service, packet, DEADLINE)
        self._sent.append(_Sent(at, outcome))

    def _client(self) -> Client:
        client = Client(next(self._numbers), _TIMING, DEADLINE)
        self._stack.enter_context(client.open(self._address()))
        return client

    def _address(self) -> Endpoint:
        number = next(self._numbers)
        network = CALLER_KIND + number // HOST_BITS % HOST_BITS
        return self._deployment.at(network, number % HOST_BITS + 1, 0)

    def _broken(self) -> set[int]:
        return {
            number for number, feed in enumerate(self._feeds) if feed.broken
        }

    def _fill_timeline(self, marked_at: float, back_at: float) -> None:
        timeline = self.found.timeline
        timeline.back_at = back_at - marked_at
        sent, answered = Counter(), Counter()
        for each in self._sent:
            place = int((each.at - marked_at) // BIN)
            sent[place] += 1
            answered[place] += isinstance(each.outcome, Answered)
        timeline.sent_by_bin = dict(sorted(sent.items()))
        timeline.answered_by_bin = dict(sorted(answered.items()))
        out = [each for each in self._sent if marked_at <= each.at < back_at]
        self.found.out_percent = _answered_percent(out)

    def _sum_up(self) -> None:
        found = self.found
        kinds = Counter(type(each.outcome) for each in self._sent)
        found.requests = len(self._sent)
        found.not_run = kinds[NotRun]
        found.unknown = kinds[Unknown]
        found.no_answer = kinds[NoAnswer]
        found.answered_percent = _answered_percent(self._sent)
        unbroken = [feed for feed in self._feeds if not feed.broken]
        gaps = (feed.longest_gap for feed in unbroken)
        found.longest_gap = max(gaps, default=-1)
        found.falls = sum(
            self._fleet.log_of(f'{host.name}-server').read_text().count('fell')
            for host in self._deployment.hosts()
        )


def _answered_percent(sent: list[_Sent]) -> float:
    answered = sum(isinstance(each.outcome, Answered) for each in sent)
    return answered / max(len(sent), 1) * PERCENT


async def _end(tasks: list[asyncio.Task[None]]) -> None:
    # What is under way may still be answered.
    await asyncio.sleep(DEADLINE)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
