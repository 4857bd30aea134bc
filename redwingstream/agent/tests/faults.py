"""Faults of the fault matrix, injected at the first frame of a step."""

from collections.abc import Callable
from types import MappingProxyType

from redwingstream.agent.tests.exchange import Frame
from redwingstream.agent.tests.fake_server import FakeServer
from redwingstream.agent.tests.pool import Agent, FakePool

FAULT_SECONDS = 5.0
"""Duration in seconds of a fault that lasts."""

DELAY = 1.5
"""Seconds by which a delayed frame or a duplicate arrives later."""

REORDER_DELAY = 0.03
"""Seconds of delay that let the next frames arrive first."""

RESTART_TIME = 0.5
CHANGE_INTERVAL = 0.05
"""Seconds between a change of view and the loss of the former heir."""

PAIR_LOST = 'pair lost'

Fault = Callable[[FakePool, Frame], 'tuple[float, ...] | None']
"""Injects a fault at a frame; returns a delay for each copy of the frame.

None leaves the frame as it is.
"""


def _kill(pool: FakePool, frame: Frame) -> None:
    _kill_address(pool, frame.target)


def _kill_address(pool: FakePool, address: str) -> None:
    process = pool.exchange.process_by_address.get(address)
    if isinstance(process, FakeServer):
        process.restart()
    pool.kill(address)


def _restart(pool: FakePool, frame: Frame) -> None:
    address = frame.target
    process = pool.exchange.process_by_address.get(address)
    if isinstance(process, FakeServer):
        process.restart()
    elif isinstance(process, Agent):
        pool.kill(address)
        pool.exchange.call_later(RESTART_TIME, lambda: pool.start(process.host))
    elif process is not None:
        pool.kill(address)
        pool.exchange.call_later(
            RESTART_TIME, lambda: pool.start_balancer(address)
        )


def _freeze(pool: FakePool, frame: Frame) -> None:
    pool.exchange.frozen.add(frame.target)
    pool.exchange.call_later(
        FAULT_SECONDS, lambda: pool.exchange.thaw(frame.target)
    )


def _cut(pool: FakePool, *pairs: tuple[str, str]) -> None:
    pool.exchange.cuts.update(pairs)
    pool.exchange.call_later(
        FAULT_SECONDS, lambda: pool.exchange.cuts.difference_update(pairs)
    )


def _cut_one_way(pool: FakePool, frame: Frame) -> None:
    _cut(pool, (frame.source, frame.target))


def _cut_both_ways(pool: FakePool, frame: Frame) -> None:
    _cut(pool, (frame.source, frame.target), (frame.target, frame.source))


def _isolate(pool: FakePool, frame: Frame) -> None:
    others = set(pool.exchange.process_by_address) - {frame.target}
    agents = [each for each in others if not each.startswith('server of')]
    pairs = [(frame.target, each) for each in agents]
    _cut(pool, *pairs, *((each, target) for target, each in pairs))


def _delay(pool: FakePool, frame: Frame) -> tuple[float, ...]:
    return (DELAY,)


def _duplicate(pool: FakePool, frame: Frame) -> tuple[float, ...]:
    return (0, DELAY)


def _reorder(pool: FakePool, frame: Frame) -> tuple[float, ...]:
    return (REORDER_DELAY,)


def _lose(pool: FakePool, frame: Frame) -> tuple[float, ...]:
    return ()


def _change_view(pool: FakePool, frame: Frame) -> None:
    home = pool.pair(pool.callers[0])[0]
    pool.control.mark_draining(home)


def _lose_pair(pool: FakePool, frame: Frame) -> None:
    for host in pool.pair(pool.callers[0]):
        pool.kill(pool.endpoint_by_host[host])


def _change_twice(pool: FakePool, frame: Frame) -> None:
    home, heir = pool.pair(pool.callers[0])
    pool.control.mark_draining(home)
    endpoint = pool.endpoint_by_host[heir]
    pool.exchange.call_later(CHANGE_INTERVAL, lambda: pool.kill(endpoint))


FAULT_BY_NAME: MappingProxyType[str, Fault] = MappingProxyType(
    {
        'kill': _kill,
        'kill sender': lambda pool, frame: _kill_address(pool, frame.source),
        'restart': _restart,
        'freeze': _freeze,
        'cut one way': _cut_one_way,
        'cut both ways': _cut_both_ways,
        'isolate': _isolate,
        'delay': _delay,
        'duplicate': _duplicate,
        'reorder': _reorder,
        'lose': _lose,
        'view change': _change_view,
        'change, heir lost': _change_twice,
        PAIR_LOST: _lose_pair,
    }
)
