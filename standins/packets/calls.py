"""HTTP/1.1 as operators and servers use it: one call a connection."""

import asyncio
import contextlib

import attrs

CALL_SECONDS = 1.0
MAX_REDIRECTS = 2
REDIRECT = 307


@attrs.frozen
class Answer:
    """The answer to a call.

    Parameters
    ----------
    status : int
        0 when none came.
    body : bytes
        What came with it.
    location : str
        Where to go instead.
    """

    status: int
    body: bytes = b''
    location: str = ''

    @property
    def is_ok(self) -> bool:
        """Whether the call was acknowledged."""
        return self.status // 100 == 2


NO_ANSWER = Answer(0)


async def call(
    method: str,
    address: str,
    path: str,
    body: bytes = b'',
    seconds: float = CALL_SECONDS,
) -> Answer:
    """Make a call and follow redirects; no answer in time has status 0."""
    answer = NO_ANSWER
    for _ in range(MAX_REDIRECTS + 1):
        answer = await _call_once(method, address, path, body, seconds)
        if answer.status != REDIRECT or not answer.location:
            return answer
        place = answer.location.removeprefix('http://')
        address, _, rest = place.partition('/')
        path = f'/{rest}'
    return answer


async def _call_once(
    method: str, address: str, path: str, body: bytes, seconds: float
) -> Answer:
    try:
        async with asyncio.timeout(seconds):
            return await _exchange(method, address, path, body)
    except (OSError, EOFError, ValueError):
        return NO_ANSWER


async def _exchange(
    method: str, address: str, path: str, body: bytes
) -> Answer:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.closing(writer):
        writer.write(
            f'{method} {path} HTTP/1.1\r\nHost: {address}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode(),
        )
        writer.write(body)
        await writer.drain()
        return await _read_answer(reader)


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = await reader.readuntil(b'\r\n\r\n')
    status_line, *lines = head.decode().split('\r\n')
    header_by_name = _headers(lines)
    size = int(header_by_name.get('content-length', '0'))
    body = await reader.readexactly(size)
    status = int(status_line.split()[1])
    return Answer(status, body, header_by_name.get('location', ''))


def _headers(lines: list[str]) -> dict[str, str]:
    parts = [line.partition(':') for line in lines]
    return {name.lower(): text.strip() for name, _, text in parts}
