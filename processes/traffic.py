"""Feeds and non-idempotent requests, and what became of them."""

import asyncio
import contextlib
import hashlib
import uuid
from collections import Counter
from collections.abc import AsyncIterator

import attrs
from absl import logging

from demo.checks import LiveFeed
from demo.layout import SWARD
from processes.cluster import LIMIT, Cluster, until
from standins.client import Client, submission_to
from standins.outcomes import Answered, NotRun, Outcome
from standins.resources import ETAG_SIZE

REPLAY_EVERY = 4
PAUSE = 0.02
REFUSED_PAUSE = 0.2


@attrs.define
class Submissions:
    """Plate readings that callers submit one after the other.

    Parameters
    ----------
    cluster : Cluster
        Where they go.
    outcome_by_digest : dict
        What their callers were told.
    """

    cluster: Cluster
    outcome_by_digest: dict[str, Outcome] = attrs.field(factory=dict)

    @property
    def answered(self) -> int:
        """How many got a good answer so far."""
        return sum(map(_is_answered, self.outcome_by_digest.values()))

    async def until_answered(self, more: int) -> None:
        """Wait until some more were answered than now."""
        wanted = self.answered + more

        async def is_reached() -> bool:
            return self.answered >= wanted

        await until(is_reached, f'{more} more submissions are answered')

    def runs(self) -> Counter[str]:
        """Return how often each ran, at all backend servers together."""
        layout = self.cluster.layout
        paths = [layout.runs_file(server) for server in layout.servers]
        texts = [path.read_text() for path in paths if path.exists()]
        lines = [line for text in texts for line in text.splitlines()]
        return Counter(line.split()[0] for line in lines)

    def check(self) -> str:
        """Check what callers were told against what ran; return a summary."""
        runs = self.runs()
        twice = [digest for digest, count in runs.items() if count > 1]
        assert not twice, f'{len(twice)} ran more than once'
        told = self.outcome_by_digest.items()
        untrue = [
            digest
            for digest, outcome in told
            if isinstance(outcome, NotRun) and runs[digest]
        ]
        assert not untrue, f'{len(untrue)} ran and were told "not run"'
        lost = [
            digest
            for digest, outcome in told
            if _is_answered(outcome) and not runs[digest]
        ]
        assert not lost, f'{len(lost)} were answered and did not run'
        kinds = Counter(type(outcome).__name__ for _, outcome in told)
        return ', '.join(f'{kind} {count}' for kind, count in kinds.items())

    async def submit(self, client: Client, number: int) -> None:
        """Submit one reading and note what its caller was told."""
        payload = uuid.uuid4().hex.encode()
        digest = hashlib.blake2b(payload, digest_size=ETAG_SIZE).hexdigest()
        service = self.cluster.layout.services[SWARD]
        packet = submission_to('readings', payload)
        outcome = await client.request(service, packet)
        self.outcome_by_digest[digest] = outcome
        if number % REPLAY_EVERY == 0:
            client.send_raw(client.last_frame, service.as_pair())
        is_refused = isinstance(outcome, NotRun)
        await asyncio.sleep(REFUSED_PAUSE if is_refused else PAUSE)

    async def go_on(self) -> None:
        """Submit from one address until cancelled."""
        client = self.cluster.callers.one_more()
        number = 0
        while True:
            number += 1
            await self.submit(client, number)


@attrs.define
class Feeds:
    """Feeds that are listened to.

    Parameters
    ----------
    feeds : list of LiveFeed
        All of them.
    """

    feeds: list[LiveFeed]

    @property
    def hosts(self) -> Counter[str]:
        """How many feeds come from which server."""
        return Counter(feed.host for feed in self.feeds)

    async def go_on(self, more: int = 4) -> None:
        """Wait until every feed has had some more states than now."""
        wanted = {id(feed): len(feed.states) + more for feed in self.feeds}

        async def have_come() -> bool:
            self.check()
            return all(
                len(feed.states) >= wanted[id(feed)] for feed in self.feeds
            )

        await until(have_come, f'every feed has {more} more states')

    def check(self) -> None:
        """Check that no feed has broken."""
        broken = [feed.broken for feed in self.feeds if feed.broken]
        assert not broken, f'{len(broken)} broken feeds: {broken}'


@contextlib.asynccontextmanager
async def submitting(
    cluster: Cluster, callers: int = 3
) -> AsyncIterator[Submissions]:
    """Submit readings for a block, and check all of them at its end."""
    submissions = Submissions(cluster)
    async with _in_background(*(submissions.go_on() for _ in range(callers))):
        await submissions.until_answered(callers)
        yield submissions
    logging.info('submissions: %s', submissions.check())


@contextlib.asynccontextmanager
async def listening(cluster: Cluster, count: int = 8) -> AsyncIterator[Feeds]:
    """Listen to feeds for a block, and check that none broke at its end."""
    # One after the other: a cold server takes few new feeds at once, and the
    # others would come back after seconds.
    opened = [await cluster.callers.open_feed() for _ in range(count)]
    feeds = Feeds(opened)
    for feed in opened:
        feed.patience = LIMIT
    async with _in_background(*(feed.listen() for feed in opened)):
        await feeds.go_on()
        yield feeds
        feeds.check()


@contextlib.asynccontextmanager
async def _in_background(*coroutines) -> AsyncIterator[None]:
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
    failed = [error for error in ended if isinstance(error, Exception)]
    assert not failed, failed


def _is_answered(outcome: Outcome) -> bool:
    if not isinstance(outcome, Answered):
        return False
    return outcome.response.code.is_successful()
