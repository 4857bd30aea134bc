"""A TCP proxy on loopback that disturbs connections."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator

DELAY_SECONDS = 0.6
"""More than half of the second for which a call waits."""

CHUNK = 65536
"""Bytes that are passed on at a time."""


class Proxy:
    """Passes connections on to an address, as long as it is not disturbed.

    Parameters
    ----------
    host : str
        Where it listens, and with which ports of the same number it connects.
    target : str
        Address that it connects to.
    port : int
        Of both.
    """

    def __init__(self, host: str, target: str, port: int) -> None:
        self.how = ''
        self._host = host
        self._target = target
        self._port = port
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        """Serve until the end of the block."""
        server = await asyncio.start_server(
            self._accept, self._host, self._port
        )
        async with server:
            yield
            for writer in self._writers:
                writer.transport.abort()
            await asyncio.gather(*self._tasks)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.how == 'reset':
            writer.transport.abort()
            return
        task = asyncio.create_task(self._pass_on(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.how == 'delay':
            await asyncio.sleep(DELAY_SECONDS)
        # Either end may reset at any moment, which is what this is for.
        with contextlib.suppress(OSError), self._kept(writer):
            there, back = await asyncio.open_connection(
                self._target, self._port
            )
            with self._kept(back):
                await asyncio.gather(
                    self._pump(reader, back, {'silent'}),
                    self._pump(there, writer, {'silent', 'answers_lost'}),
                )

    @contextlib.contextmanager
    def _kept(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        self._writers.add(writer)
        try:
            yield
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        swallowed_when: set[str],
    ) -> None:
        while chunk := await reader.read(CHUNK):
            if self.how not in swallowed_when:
                writer.write(chunk)
                await writer.drain()
        writer.close()
