"""What a backend server answers: readings, reports, feeds, health, load."""

import hashlib
import json
import pathlib
from collections import OrderedDict, deque

import aiocoap
import attrs
from aiocoap.message import Message

from redwingstream.wire import coap

FEED_PATHS = frozenset(('feed', 'board'))
SUBMIT_PATHS = frozenset(('readings', 'reservations'))
REPORT_PATH = 'reports'
ETAG_SIZE = 8
MAX_COUNTED = 100000
MAX_PAST_STATES = 4096
DEFAULT_REPORT_SIZE = 40000
MIN_BLOCK_SIZE = 16
DEFAULT_BLOCK_EXPONENT = 6


def etag_of(body: bytes) -> bytes:
    """Return the entity tag of a body."""
    return hashlib.blake2b(body, digest_size=ETAG_SIZE).digest()


def report_body(name: str, size: int) -> bytes:
    """Return a cover report: lines that follow from its name and their number.

    Anyone who knows the name and the size can check a report whole.
    """
    lines: list[str] = []
    length = 0
    while length < size:
        seed = f'{name}:{len(lines)}'.encode()
        digest = hashlib.blake2b(seed, digest_size=ETAG_SIZE).hexdigest()
        lines.append(f'{len(lines):06d} {name} {digest}\n')
        length += len(lines[-1])
    return ''.join(lines).encode()[:size]


def feed_body(host: str, tick: int) -> bytes:
    """Return the state of a feed at a tick."""
    return json.dumps({'host': host, 'tick': tick}).encode()


class RunCounter:
    """Counts how often each submission ran, by the digest of its payload.

    Parameters
    ----------
    path : pathlib.Path, optional
        File to which each run is appended as ``digest run``; it outlives the
        process, so that a second run on another server or after a restart
        shows.
    """

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self._path = path
        self.count_by_digest: OrderedDict[str, int] = OrderedDict()

    def run(self, payload: bytes) -> str:
        """Count one run and return what to answer."""
        digest = hashlib.blake2b(payload, digest_size=ETAG_SIZE).hexdigest()
        count = self.count_by_digest.get(digest, 0) + 1
        self.count_by_digest[digest] = count
        if len(self.count_by_digest) > MAX_COUNTED:
            self.count_by_digest.popitem(last=False)
        if self._path is not None:
            with self._path.open('a') as log:
                log.write(f'{digest} {count}\n')
        return f'{digest} {count}'


@attrs.frozen
class LoadState:
    """What ``/load`` tells.

    Parameters
    ----------
    healthy : bool
        Whether it takes new work.
    running, waiting : int
        Requests in hand.
    slots : int
        Requests that it runs at once.
    feeds : int
        Observers.
    taken : int
        Requests and registrations that came to it since it started.
    """

    healthy: bool = True
    running: int = 0
    waiting: int = 0
    slots: int = 0
    feeds: int = 0
    taken: int = 0


@attrs.define
class Load:
    """What ``/load`` and ``/.well-known/health`` tell, late or untrue.

    Parameters
    ----------
    lag : float
        Seconds by which the answer is behind.
    lies : bool
        True answers as an idle, healthy server always.
    """

    lag: float = 0
    lies: bool = False
    _past: deque[tuple[float, LoadState]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_PAST_STATES)
    )

    def note(self, state: LoadState, now: float) -> None:
        """Remember the state of now for the answers to come."""
        self._past.append((now, state))

    def tell(self, told: LoadState, now: float) -> LoadState:
        """Return the state that the endpoint tells of, given the true one."""
        if self.lies:
            return LoadState(slots=told.slots)
        if self.lag <= 0:
            return told
        for at, state in self._past:
            if at > now - self.lag:
                break
            told = state
        return told


@attrs.define
class Resources:
    """Answers of one backend server to work that was admitted.

    Parameters
    ----------
    host : str
        Its name, which stands in feeds.
    runs : RunCounter
        Where submissions are counted.
    report_size : int
        Length of a report in bytes.
    """

    host: str
    runs: RunCounter
    report_size: int = DEFAULT_REPORT_SIZE

    def answer(self, request: Message) -> Message:
        """Run one request."""
        path = request.opt.uri_path
        first = path[0] if path else ''
        if request.code == coap.POST and first in SUBMIT_PATHS:
            counted = self.runs.run(request.payload)
            return coap.reply_to(request, coap.CHANGED, counted.encode())
        if request.code != coap.GET:
            return coap.reply_to(request, aiocoap.METHOD_NOT_ALLOWED)
        if first == REPORT_PATH:
            return self._report(request, '/'.join(path))
        return coap.reply_to(request, aiocoap.NOT_FOUND)

    def _report(self, request: Message, name: str) -> Message:
        body = report_body(name, self.report_size)
        wanted = request.opt.block2
        number = wanted.block_number if wanted else 0
        exponent = wanted.size_exponent if wanted else DEFAULT_BLOCK_EXPONENT
        exponent = min(exponent, DEFAULT_BLOCK_EXPONENT)
        size = MIN_BLOCK_SIZE << exponent
        start = number * size
        if start >= len(body):
            return coap.reply_to(request, aiocoap.BAD_OPTION)
        part = body[start : start + size]
        response = coap.reply_to(request, coap.CONTENT, part)
        response.opt.etag = etag_of(body)
        response.opt.block2 = (number, start + size < len(body), exponent)
        return response
