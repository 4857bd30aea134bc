"""Callers and an operator, and what they saw."""

import asyncio
import contextlib
import itertools
import json
import random
import sys
from collections.abc import Coroutine, Iterable, Iterator
from types import MappingProxyType
from typing import Any

import attrs

from soak.running import RunningTime
from standins.packets.callers import (
    CallerFlow,
    CallerSite,
    FlowEndedError,
    upload,
)
from standins.packets.header import FULL_PACKET, End
from standins.packets.operators import RouteText, document
from standins.packets.servers import answer_start
from standins.packets.site import PacketSite

FEED = End('198.18.0.1', 443)
REPORTS = End('198.18.0.2', 443)
UPLOADS = End('198.18.0.3', 443)
ROUTES = (
    RouteText(FEED.host, FEED.port, 'feed'),
    RouteText(REPORTS.host, REPORTS.port, 'reports', 'non_idempotent'),
    RouteText(UPLOADS.host, UPLOADS.port, 'uploads', 'upload'),
)
UPLOAD_PACKETS = (4, 16, 30)
"""Full packets of an upload, 5 to 36 kB."""

UPLOAD_PAUSE = 1.0
"""Seconds between two uploads of a caller."""

UPLOADERS = 2
"""Callers of uploads at each address, so that a link of low bandwidth has to
refuse some."""

ATTEMPTS = 3
"""Flows that a caller opens for a request at most."""

CHANGE_PAUSE = 0.7
"""Seconds between two changes of the configuration."""

RETRY_PAUSE = 0.2
"""Seconds until a caller whose flow did not open tries again."""

CLIENT_ERROR = 4
"""Hundreds of the status with which a call is refused for good."""

CALL_LIMIT = 5.0
"""Seconds for which the operator tries to have a change acknowledged."""


@attrs.frozen
class Habit:
    """How a caller uses open flows.

    Parameters
    ----------
    pool : str
        Pool that is to run the requests; their names begin with it.
    service : End
        Address of the service.
    pause : float
        Seconds between two requests.
    requests : int
        Requests on one flow, after which the caller closes it.
    """

    pool: str
    service: End
    pause: float
    requests: int


HABITS = (
    Habit('feed', FEED, pause=0.15, requests=sys.maxsize),
    # Idle for longer than most processes take to start again.
    *(3 * (Habit('reports', REPORTS, pause=2.5, requests=6),)),
)


RENEWING = Habit('reports', REPORTS, pause=1.5, requests=3)
"""Opens a flow every few seconds, so that some are opened through a balancer
that stands still."""

RENEWING_CALLERS = 8

HABITS_BY_ORDERS = MappingProxyType(
    {False: HABITS, True: (*HABITS, *(RENEWING_CALLERS * (RENEWING,)))}
)
"""Habits of the callers, by whether the run has balancers that go on beside
restarted agents."""


@attrs.frozen
class BrokenFlow:
    """A reset on an open flow.

    Parameters
    ----------
    flow : str
        The flow.
    server : str
        Run of the server that answered last; empty if none has.
    at : float
        When the reset came, in seconds.
    is_idle : bool
        Whether the caller awaited no answer.
    """

    flow: str
    server: str
    at: float
    is_idle: bool


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
    uploads : int
        Uploads that were answered.
    wrong_answers : list of str
        Answers to other requests or contents than were sent.
    acknowledged : int
        Newest version that was acknowledged.
    older_reads : list of str
        Reads that showed less than had been acknowledged before.
    """

    running: RunningTime = attrs.field(factory=RunningTime)
    served_at: list[float] = attrs.field(factory=list)
    failures_by_reason: dict[str, int] = attrs.field(factory=dict)
    broken: list[BrokenFlow] = attrs.field(factory=list)
    uploads: int = 0
    wrong_answers: list[str] = attrs.field(factory=list)
    acknowledged: int = 0
    older_reads: list[str] = attrs.field(factory=list)

    def fail(self, reason: str) -> None:
        """Count a failed request."""
        count = self.failures_by_reason.get(reason, 0)
        self.failures_by_reason[reason] = count + 1


@contextlib.contextmanager
def callers(
    site: PacketSite, seen: Seen, habits: Iterable[Habit] = HABITS
) -> Iterator[None]:
    """Let callers ask until the end of the block."""
    numbers = itertools.count()
    tasks = [
        asyncio.create_task(keep)
        for caller in site.callers
        for keep in (
            *(
                _keep_asking(caller, habit, f'{next(numbers)}', seen)
                for habit in habits
            ),
            *(
                _keep_uploading(caller, f'{next(numbers)}', seen)
                for _ in range(UPLOADERS)
            ),
        )
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


async def _keep_asking(
    caller: CallerSite, habit: Habit, name: str, seen: Seen
) -> None:
    """Keep flows open for requests with pauses; none is sent twice."""
    requests = (f'{habit.pool}-{name}-{one}' for one in itertools.count())
    while True:
        flow = await _opened(caller, habit.service, seen)
        if flow is not None:
            await _use(flow, habit, requests, seen)


async def _use(
    flow: CallerFlow, habit: Habit, requests: Iterator[str], seen: Seen
) -> None:
    server = ''
    for request in itertools.islice(requests, habit.requests):
        answering = await _answer(flow.ask(request), request, seen)
        server = answering or server
        await asyncio.sleep(habit.pause)
        if flow.is_reset:
            seen.broken.append(
                BrokenFlow(
                    flow.name, server, flow.reset_at, is_idle=answering != ''
                ),
            )
            return
    flow.close()


async def _keep_uploading(caller: CallerSite, name: str, seen: Seen) -> None:
    """Send uploads, each on a flow of its own; none is sent twice."""
    for number in itertools.count():
        request = f'uploads-{name}-{number}'
        for _ in range(ATTEMPTS):
            flow = await _opened(caller, UPLOADS, seen)
            if flow is not None:
                await _upload(flow, request, seen)
                break
        await asyncio.sleep(UPLOAD_PAUSE)


async def _upload(flow: CallerFlow, request: str, seen: Seen) -> None:
    content = random.randbytes(random.choice(UPLOAD_PACKETS) * FULL_PACKET)
    answer = upload(flow, request, content)
    server = await _answer(answer, answer_start(request, content), seen)
    seen.uploads += server != ''
    flow.close()


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


async def _answer(
    answer: Coroutine[Any, Any, str], expected: str, seen: Seen
) -> str:
    """Return the server that answered, or an empty text without an answer."""
    try:
        start, _, server = (await answer).rpartition(' by ')
    except FlowEndedError as error:
        seen.fail(str(error))
        return ''
    if start != expected:
        seen.wrong_answers.append(f'{start}, not {expected}')
    seen.served_at.append(seen.running.seconds)
    return server
