"""Requests that wait a moment for a slot."""

from redwingstream.admission.concurrency_limit import (
    ConcurrencyLimit,
    RunResult,
)
from redwingstream.agent.tests.pool import FakePool
from redwingstream.agent.tests.support import hold_slots, settled_pool, warm_up
from redwingstream.agent.wait_queue import (
    LONGEST_WAIT,
    MAX_WAITING,
    Waiter,
    WaitQueue,
)

FAR = 1000.0


class Request:
    """A request that notes what became of it."""

    def __init__(self, room: WaitQueue, limit: ConcurrencyLimit) -> None:
        self.admitted_at: float | None = None
        self.refused_at: float | None = None
        self._limit = limit
        self._room = room

    def enter(self, now: float, deadline: float = FAR) -> bool:
        """Ask to wait."""
        return self._room.enter(
            Waiter(deadline, self._admit, self._refuse), now
        )

    def _admit(self, now: float) -> bool:
        if not self._limit.try_start(now):
            return False
        self.admitted_at = now
        return True

    def _refuse(self, now: float) -> None:
        self.refused_at = now


def busy_room(latency: float = 0.01) -> tuple[WaitQueue, ConcurrencyLimit]:
    """Return a room before a server of one slot, which is in use."""
    limit = ConcurrencyLimit(1, expected_latency=latency)
    limit.try_start(0)
    return WaitQueue(limit), limit


class TestWaitQueue:
    """Bounds of the wait."""

    def test_first_in_first_out(self) -> None:
        room, limit = busy_room()
        requests = [Request(room, limit) for _ in range(3)]
        assert all(request.enter(0) for request in requests)
        for turn in (1, 2, 3):
            now = turn / 100
            limit.record_finished(0.01, RunResult.COMPLETED, now)
            room.admit_waiting(now)
        admitted = [request.admitted_at for request in requests]
        assert admitted == [0.01, 0.02, 0.03]

    def test_never_above_the_limit(self) -> None:
        room, limit = busy_room()
        request = Request(room, limit)
        request.enter(0)
        room.admit_waiting(0.1)
        assert request.admitted_at is None
        assert limit.in_flight == 1

    def test_refused_when_it_took_longer(self) -> None:
        room, limit = busy_room()
        request = Request(room, limit)
        request.enter(0)
        room.refuse_expired(LONGEST_WAIT)
        assert request.refused_at == LONGEST_WAIT

    def test_late_slot_is_not_given(self) -> None:
        room, limit = busy_room()
        request = Request(room, limit)
        request.enter(0)
        limit.record_finished(1, RunResult.COMPLETED, 1)
        room.admit_waiting(1)
        assert request.admitted_at is None
        assert request.refused_at == 1

    def test_not_when_the_wait_is_long(self) -> None:
        room, limit = busy_room(latency=2 * LONGEST_WAIT)
        assert not Request(room, limit).enter(0)

    def test_not_towards_the_deadline(self) -> None:
        room, limit = busy_room()
        assert not Request(room, limit).enter(0, deadline=0.015)
        assert Request(room, limit).enter(0, deadline=0.05)

    def test_bounded_number(self) -> None:
        room, limit = busy_room(latency=LONGEST_WAIT / MAX_WAITING / 10)
        entered = [
            Request(room, limit).enter(0) for _ in range(2 * MAX_WAITING)
        ]
        assert sum(entered) == MAX_WAITING

    def test_not_before_a_paused_server(self) -> None:
        """Requests wait for a server that has just refused all work.

        It runs nothing, so no slot comes free; the pause is longer than any
        request waits.
        """
        limit = ConcurrencyLimit(1, expected_latency=0.01)
        limit.try_start(0)
        limit.record_finished(0.01, RunResult.REFUSED, 0.01)
        room = WaitQueue(limit)
        assert not Request(room, limit).enter(0.02)


class TestInTheAgent:
    """The room between callers and the server."""

    def test_burst_of_bookings(self) -> None:
        """Attendees who press at the same moment are refused.

        One host is left; its slots are taken for some milliseconds.
        """
        pool = settled_pool(hosts=1, slots=2)
        warm_up(pool)
        callers = [pool.caller(number) for number in range(5)]
        asked = [caller.post(b'bay') for caller in callers]
        pool.run(0.3)
        assert {each.outcome for each in asked} == {'answered'}
        assert not pool.server_by_host[pool.hosts[0]].overloads

    def test_latency_is_learned_from_peers(self) -> None:
        """Bookings are refused for long at a host that has just started.

        Until its server was warm nobody knew how long requests take there, so
        none could wait; the other hosts of the pool knew it all the time.
        """
        pool = FakePool(hosts=3, started=2)
        pool.run(3)
        warm_up(pool)
        pool.start(pool.hosts[-1])
        pool.run(2)
        limit = pool.agent(pool.hosts[-1]).core.parts.limit
        assert limit.is_cold
        assert limit.expected_latency is not None

    def test_refused_while_it_leaves(self) -> None:
        pool = settled_pool(hosts=1, slots=2)
        warm_up(pool)
        host = pool.hosts[0]
        hold_slots(pool, host)
        asked = pool.caller().get(b'map')
        pool.run(0.01)
        assert asked.outcome == 'none'
        pool.agent(host).core.leave()
        pool.run(0.1)
        assert asked.outcome == 'not run'
