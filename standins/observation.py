"""A feed as its caller sees it: order, freshness and breaks (RFC 7641)."""

import asyncio

import attrs
from aiocoap.message import Message

from redwingstream.wire import coap

FRESH_SECONDS = 128
MAX_QUEUED = 1024
_HALF = coap.OBSERVE_LIMIT // 2


@attrs.frozen
class State:
    """One fresh notification.

    Parameters
    ----------
    sequence : int
        Its Observe number.
    payload : bytes
        The body.
    at : float
        When it came, by the loop's clock.
    """

    sequence: int
    payload: bytes
    at: float


@attrs.define
class Observation:
    """A registered feed.

    Parameters
    ----------
    token : bytes
        Names the feed together with the service.
    last : State, optional
        The newest state.
    ended : str
        Why the feed has ended; empty while it goes on.
    stale : int
        Notifications that came too late to be of use.
    """

    token: bytes
    last: State | None = None
    ended: str = ''
    stale: int = 0
    fresh: int = 0
    _queue: asyncio.Queue[State | None] = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED)
    )

    def take(self, response: Message, now: float) -> bool:
        """Take a notification; return whether it is fresh."""
        sequence = response.opt.observe
        if sequence is None or not response.code.is_successful():
            self.end(f'{response.code} {response.payload!r}')
            return False
        if not self._is_fresh(sequence, now):
            self.stale += 1
            return False
        self.fresh += 1
        self.last = State(sequence, response.payload, now)
        self._put(self.last)
        return True

    def end(self, reason: str) -> None:
        """Note that nothing more will come."""
        if not self.ended:
            self.ended = reason
            self._put(None)

    async def next_state(self, timeout: float) -> State | None:
        """Wait for the next fresh state; None when the feed is broken.

        A feed is broken when it has ended or when nothing fresh comes within
        the time.
        """
        try:
            async with asyncio.timeout(timeout):
                return await self._queue.get()
        except TimeoutError:
            return None

    def _put(self, state: State | None) -> None:
        if self._queue.full():
            self._queue.get_nowait()
        self._queue.put_nowait(state)

    def _is_fresh(self, sequence: int, now: float) -> bool:
        if self.last is None or now > self.last.at + FRESH_SECONDS:
            return True
        ahead = (sequence - self.last.sequence) % coap.OBSERVE_LIMIT
        return 0 < ahead < _HALF
