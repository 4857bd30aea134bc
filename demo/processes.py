"""Starts processes and ends them by their ids."""

import asyncio
import contextlib
import os
import pathlib
from collections.abc import AsyncIterator, Mapping, Sequence

import attrs

END_SECONDS = 5
LOG_LINES = 15


@attrs.define
class Fleet:
    """Processes that were started, by name.

    Parameters
    ----------
    folder : pathlib.Path
        Where each writes its log, ``NAME.log``.
    """

    folder: pathlib.Path
    process_by_name: dict[str, asyncio.subprocess.Process] = attrs.field(
        factory=dict
    )

    async def start(
        self,
        name: str,
        command: Sequence[str],
        variables: Mapping[str, str] | None = None,
    ) -> None:
        """Start one process; its output goes to its log."""
        environ = {**os.environ, 'PYTHONUNBUFFERED': '1', **(variables or {})}
        with self.log_of(name).open('ab') as log:
            self.process_by_name[name] = await asyncio.create_subprocess_exec(
                *command,
                env=environ,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def end(self, name: str) -> None:
        """Ask a process to end, and kill it when it takes too long."""
        process = self.process_by_name.pop(name)
        if process.returncode is not None:
            return
        process.terminate()
        try:
            async with asyncio.timeout(END_SECONDS):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    def log_of(self, name: str) -> pathlib.Path:
        """Return where a process writes its log."""
        return self.folder / f'{name}.log'

    def ended(self) -> list[str]:
        """Return the names of the processes that have ended on their own."""
        return [
            name
            for name, process in self.process_by_name.items()
            if process.returncode is not None
        ]

    def last_words(self, name: str) -> list[str]:
        """Return the end of a log."""
        return self.log_of(name).read_text().splitlines()[-LOG_LINES:]


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path, command_by_name: Mapping[str, Sequence[str]]
) -> AsyncIterator[Fleet]:
    """Run processes for as long as the block lasts."""
    fleet = Fleet(folder)
    try:
        for name, command in command_by_name.items():
            # One after the other: a burst of starts only competes for the
            # processor.
            await fleet.start(name, command)  # noqa: WPS476
        yield fleet
    finally:
        await asyncio.gather(*map(fleet.end, list(fleet.process_by_name)))
