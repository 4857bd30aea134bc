"""A TCP proxy on loopback that disturbs connections."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

DELAY_SECONDS = 0.6
CHUNK = 65536


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
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        """Serve until the end of the block."""
        server = await asyncio.start_server(
            self._accept, self._host, self._port
        )
        async with server:
            yield
            for task in self._tasks:
                task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.how == 'reset':
            writer.transport.abort()
            return
        if self.how == 'delay':
            await asyncio.sleep(DELAY_SECONDS)
        with contextlib.closing(writer):
            with contextlib.suppress(OSError):
                await self._pass_on(reader, writer)

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        there, back = await asyncio.open_connection(self._target, self._port)
        with contextlib.closing(back):
            sending = asyncio.create_task(
                self._pump(reader, back, {'silent'}),
            )
            self._tasks.add(sending)
            sending.add_done_callback(self._tasks.discard)
            await self._pump(there, writer, {'silent', 'answers_lost'})
            sending.cancel()

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
