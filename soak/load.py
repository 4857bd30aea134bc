"""Callers and an operator, and what they saw."""

import asyncio
import contextlib
import itertools
import json
import time
from collections.abc import Iterator

import attrs

from soak.running import RunningTime
from standins.packets.callers import CallerFlow, CallerSite, FlowEndedError
from standins.packets.header import End
from standins.packets.operators import RouteText, document
from standins.packets.site import PacketSite

FEED = End('198.18.0.1', 443)
REPORTS = End('198.18.0.2', 443)
ROUTES = (
    RouteText(FEED.host, FEED.port, 'feed'),
    RouteText(REPORTS.host, REPORTS.port, 'reports', 'non_idempotent'),
)
ASK_PAUSE = 0.15
"""Seconds between two requests of a caller."""

CHANGE_PAUSE = 0.7
"""Seconds between two changes of the configuration."""

RETRY_PAUSE = 0.2
"""Seconds until a caller whose flow did not open tries again."""

CLIENT_ERROR = 4
"""Hundreds of the status with which a call is refused for good."""

CALL_LIMIT = 5.0
"""Seconds for which the operator tries to have a change acknowledged."""


@attrs.define
class BrokenFlow:
    """A reset on an open flow."""

    flow: str
    server: str
    at: float


@attrs.define
class Seen:
    """What callers and operators saw.

    Parameters
    ----------
    running : RunningTime
        Time for which the callers ran.
    served_at : list of float
        When requests were answered, by that time.
    failures_by_reason : dict
        How many requests failed, and how.
    broken : list of BrokenFlow
        Open flows that were reset.
    acknowledged : int
        Newest version that was acknowledged.
    older_reads : list of str
        Reads that showed less than had been acknowledged before.
    """

    running: RunningTime = attrs.field(factory=RunningTime)
    served_at: list[float] = attrs.field(factory=list)
    failures_by_reason: dict[str, int] = attrs.field(factory=dict)
    broken: list[BrokenFlow] = attrs.field(factory=list)
    acknowledged: int = 0
    older_reads: list[str] = attrs.field(factory=list)

    def fail(self, reason: str) -> None:
        """Count a failed request."""
        count = self.failures_by_reason.get(reason, 0)
        self.failures_by_reason[reason] = count + 1


@contextlib.contextmanager
def callers(site: PacketSite, seen: Seen) -> Iterator[None]:
    """Let callers ask until the end of the block."""
    tasks = [
        asyncio.create_task(keep(caller, f'{number}', seen))
        for number, caller in enumerate(site.callers)
        for keep in (_keep_feed, _keep_reporting)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def keep_changing(site: PacketSite, seen: Seen) -> None:
    """Change the configuration and read it back, again and again."""
    for version in itertools.count(2):
        answer = await site.operator.replace(
            document(version, ROUTES), CALL_LIMIT
        )
        if answer.status == 200:
            seen.acknowledged = version
        elif answer.status // 100 == CLIENT_ERROR:
            seen.older_reads.append(f'{version} refused: {answer.status}')
        await read_back(site, seen, CALL_LIMIT)
        await asyncio.sleep(CHANGE_PAUSE)


async def read_back(site: PacketSite, seen: Seen, limit: float) -> bool:
    """Read the configuration; return whether it was to be had."""
    known = seen.acknowledged
    answer = await site.operator.read(limit)
    if answer.status != 200:
        return False
    version = json.loads(answer.body)['version']
    if version < known:
        seen.older_reads.append(f'{version} read after {known}')
    return True


async def _keep_feed(caller: CallerSite, name: str, seen: Seen) -> None:
    """Keep one flow open for many requests."""
    numbers = itertools.count()
    while True:
        flow = await _opened(caller, FEED, seen)
        server = ''
        while flow is not None and flow.is_open:
            server = await _ask(flow, f'feed-{name}-{next(numbers)}', seen)
            await asyncio.sleep(ASK_PAUSE)
        if flow is not None:
            seen.broken.append(
                BrokenFlow(flow.name, server, time.monotonic()),
            )


async def _keep_reporting(caller: CallerSite, name: str, seen: Seen) -> None:
    """Open a flow for each request; none is sent twice."""
    for number in itertools.count():
        flow = await _opened(caller, REPORTS, seen)
        if flow is not None:
            await _ask(flow, f'reports-{name}-{number}', seen)
            flow.close()
        await asyncio.sleep(ASK_PAUSE)


async def _opened(
    caller: CallerSite, service: End, seen: Seen
) -> CallerFlow | None:
    flow = caller.flow(service)
    try:
        await flow.open()
    except FlowEndedError as error:
        seen.fail(str(error))
        await asyncio.sleep(RETRY_PAUSE)
        return None
    return flow


async def _ask(flow: CallerFlow, request: str, seen: Seen) -> str:
    try:
        answer = await flow.ask(request)
    except FlowEndedError as error:
        seen.fail(str(error))
        return ''
    seen.served_at.append(seen.running.seconds)
    return answer.rpartition(' ')[2]
