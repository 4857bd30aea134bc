"""Tests of all stand-ins together, over real sockets."""

import asyncio
import contextlib

import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.wire import fabric
from redwingstream.wire.datagrams import open_datagrams
from standins.blocks import Whole
from standins.client import Client, request_for, submission_to
from standins.fabric import Fabric, Faults
from standins.outcomes import Answered, NotRun
from standins.reliable import Timing
from standins.resources import Resources, RunCounter, report_body
from standins.server import Backend
from standins.work import Limits

ANY = Endpoint('127.0.0.1', 0)
TIMING = Timing(ack_timeout=0.1)


class Relay:
    """The thinnest balancer there can be: one server, one flow."""

    def __init__(self, server):
        self.server = server
        self.way = None
        self.outside = None
        self.inside = None
        self.source = None

    def take_request(self, datagram, source):
        way, payload = fabric.unwrap(datagram)
        self.way = way
        self.source = source
        self.inside.send(payload, self.server.as_pair())

    def take_answer(self, payload, source):
        self.outside.send(fabric.wrap(self.way, payload), self.source)


@pytest.fixture
async def path():
    """A caller, the fabric, a relay and a backend server."""
    runs = RunCounter()
    backend = Backend(
        Resources('sward-1', runs, report_size=5000),
        Limits(slots=2, backlog=2, service_time=0.01),
        feed_period=0.1,
    )
    sprayer = Fabric([], seed=1)
    client = Client(1, TIMING)
    with contextlib.ExitStack() as stack:
        relay = Relay(stack.enter_context(backend.open(ANY)))
        relay.outside = stack.enter_context(
            open_datagrams(ANY, relay.take_request)
        )
        relay.inside = stack.enter_context(
            open_datagrams(ANY, relay.take_answer)
        )
        sprayer.balancers = (relay.outside.endpoint,)
        services = stack.enter_context(sprayer.open(ANY, [ANY]))
        stack.enter_context(client.open(ANY))
        yield Path(client, services[0], sprayer, backend, runs)


class Path:
    def __init__(self, client, service, sprayer, backend, runs):
        self.client = client
        self.service = service
        self.fabric = sprayer
        self.backend = backend
        self.runs = runs


class TestWholeWay:
    async def test_submission_runs_once_although_packets_come_twice(self, path):
        # The fabric delivers every packet twice and loses some; the caller
        # repeats.  A server that forgets message ids counts a field walk twice.
        path.fabric.faults = Faults(drop=0.2, duplicate=0.9, delay=0.02)
        packet = submission_to('readings', b'plate=31')
        outcome = await path.client.request(path.service, packet)
        path.client.send_raw(path.client.last_frame, path.service.as_pair())
        assert isinstance(outcome, Answered)
        assert list(path.runs.count_by_digest.values()) == [1]

    async def test_report_is_whole_although_packets_are_lost(self, path):
        path.fabric.faults = Faults(drop=0.1, delay=0.01)
        fetched = await path.client.fetch(path.service, 'reports/spring')
        assert isinstance(fetched, Whole)
        assert fetched.body == report_body('reports/spring', 5000)

    async def test_feed_streams_until_it_is_cancelled(self, path):
        feed = await path.client.observe(path.service, 'feed')
        first = await feed.next_state(10)
        second = await feed.next_state(10)
        assert first.sequence < second.sequence
        assert path.backend.feeds.count == 1
        await path.client.cancel(path.service, 'feed', feed)
        assert path.backend.feeds.count == 0

    async def test_silent_feed_is_broken(self, path):
        # The fabric loses every packet from some point on.  Nothing tells the
        # caller that its feed is over but the time without a fresh state.
        feed = await path.client.observe(path.service, 'feed')
        path.fabric.faults = Faults(drop=1)
        while not feed.ended:
            await path.client.next_state(feed, silence=0.5)
        assert feed.ended == 'silent'
        assert path.client.counters.broken_feeds == 1

    async def test_draining_server_refuses_new_work(self, path):
        path.backend.jobs.work.draining = True
        packet = request_for('reports/spring')
        outcome = await path.client.request(path.service, packet)
        assert outcome == NotRun('draining', 1)

    async def test_feeds_end_with_the_drain(self, path):
        feed = await path.client.observe(path.service, 'feed')
        await path.backend.drain(feed_seconds=0)
        while not feed.ended:
            await feed.next_state(10)
        assert 'Unavailable' in feed.ended
        assert path.client.counters.broken_feeds == 1

    async def test_late_request_is_not_run(self, path):
        # Both slots are taken for longer than the caller will wait.  The
        # request must leave the queue as not run, and not run unseen later.
        path.backend.jobs.work.running = 2
        packet = submission_to('readings', b'plate=32')
        outcome = await path.client.request(path.service, packet, 0.2)
        assert not isinstance(outcome, Answered)
        async with asyncio.timeout(10):
            while path.backend.jobs.count:
                await asyncio.sleep(0.01)
        assert path.backend.jobs.counters.runs == 0
