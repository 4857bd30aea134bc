"""Set-up steps and faults that several tests of a pool share."""

import itertools

from redwingstream.agent.tests.exchange import Frame
from redwingstream.agent.tests.fake_caller import FakeCaller
from redwingstream.agent.tests.pool import FakePool

_FIRST_WARM_UP_CALLER = 100
_WARM_UP_CALLERS = 20
_WARM_UP_ROUNDS = 40
_EXPECTED_LATENCY = 0.025


def settled_pool(hosts: int = 3, slots: int = 3) -> FakePool:
    """Return a pool whose first view is settled."""
    pool = FakePool(hosts, slots)
    pool.run(3)
    return pool


def warm_up(pool: FakePool) -> None:
    """Send enough requests for every server to reach its full limit."""
    for host in pool.living():
        pool.agent(host).core.parts.limit.set_expected_latency(
            _EXPECTED_LATENCY
        )
    callers = [
        pool.caller(_FIRST_WARM_UP_CALLER + number)
        for number in range(_WARM_UP_CALLERS)
    ]
    for _ in range(_WARM_UP_ROUNDS):
        for caller in callers:
            caller.get(b'map')
        pool.run(0.1)
    pool.run(1)


def caller_with_home(pool: FakePool, host: str) -> FakeCaller:
    """Return a caller whose home is the given host once all agents serve."""
    callers = (pool.caller(number) for number in itertools.count(1))
    return next(each for each in callers if pool.home_of_all(each) == host)


def drop_frames(pool: FakePool, *kinds: type, to: str = '') -> None:
    """Drop messages of some classes from now on.

    Parameters
    ----------
    pool : FakePool
        The pool.
    *kinds : type
        Classes of the messages.
    to : str, optional
        Only messages to addresses that contain this text; all by default.
    """

    def inspect(frame: Frame) -> tuple[float, ...] | None:
        if isinstance(frame.payload, kinds) and to in frame.target:
            return ()
        return None

    pool.exchange.inspect = inspect


def hold_slots(pool: FakePool, host: str) -> None:
    """Reserve all slots of the server of a host."""
    limit = pool.agent(host).core.parts.limit
    while limit.can_start(pool.exchange.now):
        limit.try_start(pool.exchange.now)


def carriers(pool: FakePool) -> list[str]:
    """Return the hosts whose agents carry feeds."""
    return [
        host for host in pool.living() if len(pool.agent(host).core.parts.feeds)
    ]
