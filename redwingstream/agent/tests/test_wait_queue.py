"""Requests that wait for a slot in the wait queue."""

from redwingstream.admission.concurrency_limit import (
    ConcurrencyLimit,
    RunResult,
)
from redwingstream.agent.tests.pool import FakePool
from redwingstream.agent.tests.support import hold_slots, settled_pool, warm_up
from redwingstream.agent.wait_queue import (
    MAX_WAIT_SECONDS,
    MAX_WAITING,
    Waiter,
    WaitQueue,
)

FAR = 1000.0


class Request:
    """A request that records when it was admitted or refused."""

    def __init__(self, queue: WaitQueue, limit: ConcurrencyLimit) -> None:
        self.admitted_at: float | None = None
        self.refused_at: float | None = None
        self._limit = limit
        self._queue = queue

    def enter(self, now: float, deadline: float = FAR) -> bool:
        """Ask to wait."""
        return self._queue.enter(
            Waiter(deadline, self._admit, self._refuse), now
        )

    def _admit(self, now: float) -> bool:
        if not self._limit.try_start(now):
            return False
        self.admitted_at = now
        return True

    def _refuse(self, now: float) -> None:
        self.refused_at = now


def busy_queue(latency: float = 0.01) -> tuple[WaitQueue, ConcurrencyLimit]:
    """Return a queue and the limit of a server whose one slot is in use."""
    limit = ConcurrencyLimit(1, expected_latency=latency)
    limit.try_start(0)
    return WaitQueue(limit), limit


class TestWaitQueue:
    """Order and bounds of the wait."""

    def test_first_in_first_out(self) -> None:
        queue, limit = busy_queue()
        requests = [Request(queue, limit) for _ in range(3)]
        assert all(request.enter(0) for request in requests)
        for turn in (1, 2, 3):
            now = turn / 100
            limit.record_finished(0.01, RunResult.COMPLETED, now)
            queue.admit_waiting(now)
        admitted = [request.admitted_at for request in requests]
        assert admitted == [0.01, 0.02, 0.03]

    def test_never_above_the_limit(self) -> None:
        queue, limit = busy_queue()
        request = Request(queue, limit)
        request.enter(0)
        queue.admit_waiting(0.1)
        assert request.admitted_at is None
        assert limit.in_flight == 1

    def test_refused_when_it_took_longer(self) -> None:
        queue, limit = busy_queue()
        request = Request(queue, limit)
        request.enter(0)
        queue.refuse_expired(MAX_WAIT_SECONDS)
        assert request.refused_at == MAX_WAIT_SECONDS

    def test_late_slot_is_not_given(self) -> None:
        queue, limit = busy_queue()
        request = Request(queue, limit)
        request.enter(0)
        limit.record_finished(1, RunResult.COMPLETED, 1)
        queue.admit_waiting(1)
        assert request.admitted_at is None
        assert request.refused_at == 1

    def test_not_when_the_wait_is_long(self) -> None:
        queue, limit = busy_queue(latency=2 * MAX_WAIT_SECONDS)
        assert not Request(queue, limit).enter(0)

    def test_not_past_the_deadline(self) -> None:
        queue, limit = busy_queue()
        assert not Request(queue, limit).enter(0, deadline=0.015)
        assert Request(queue, limit).enter(0, deadline=0.05)

    def test_bounded_number(self) -> None:
        queue, limit = busy_queue(latency=MAX_WAIT_SECONDS / MAX_WAITING / 10)
        entered = [
            Request(queue, limit).enter(0) for _ in range(2 * MAX_WAITING)
        ]
        assert sum(entered) == MAX_WAITING

    def test_not_before_a_paused_server(self) -> None:
        """No request waits for a server that has just refused work.

        The server runs nothing, so no slot becomes free, and the pause after a
        refusal is longer than the maximum wait.
        """
        limit = ConcurrencyLimit(1, expected_latency=0.01)
        limit.try_start(0)
        limit.record_finished(0.01, RunResult.REFUSED, 0.01)
        queue = WaitQueue(limit)
        assert not Request(queue, limit).enter(0.02)


class TestInTheAgent:
    """The wait queue within an agent."""

    def test_burst_of_bookings(self) -> None:
        """Requests that arrive together must not be refused at once.

        Only one server is left; its slots are in use for some milliseconds.
        """
        pool = settled_pool(hosts=1, slots=2)
        warm_up(pool)
        callers = [pool.caller(number) for number in range(5)]
        asked = [caller.post(b'bay') for caller in callers]
        pool.run(0.3)
        assert {each.outcome for each in asked} == {'answered'}
        assert not pool.server_by_host[pool.hosts[0]].overloads

    def test_latency_is_learned_from_peers(self) -> None:
        """An agent that has just started must know the expected latency.

        Requests can wait only when it is known.  Until an agent has measured
        it, it uses the latency that the other agents of the pool report.
        Otherwise requests would be refused there until its server is warm.
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
