"""The operators' tool as a process."""

import asyncio
import json
import os
import sys

import attrs

from demo.layout import Layout
from redwingstream.errors import ResultCode

TOOL_TIMEOUT = '15'


@attrs.frozen
class ToolResult:
    """How the tool ended and what it wrote."""

    code: int
    output: str
    errors: str

    @property
    def went_well(self) -> bool:
        """Whether it exited with ``OK``."""
        return self.code == ResultCode.OK

    def first_line(self) -> str:
        """Return the first line that it wrote, for the report."""
        lines = (self.output or self.errors).splitlines()
        return lines[0] if lines else f'exit code {self.code}'


@attrs.frozen
class Operator:
    """Runs the tool with the settings of a layout."""

    layout: Layout

    async def run(self, *arguments: str) -> ToolResult:
        """Run one command."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'redwingstream.operators.tool',
            *arguments,
            env={**os.environ, **self.environ()},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            output, errors = await process.communicate()
        except asyncio.CancelledError:
            process.kill()
            await process.wait()
            raise
        return ToolResult(
            process.returncode or 0, output.decode(), errors.decode()
        )

    async def members(self) -> set[str]:
        """Return the hosts of the members that are up to date."""
        shown = await self.run('status', '--json')
        if shown.code not in {ResultCode.OK, ResultCode.NOT_IN_FORCE}:
            return set()
        return {
            process['member']['host']
            for process in json.loads(shown.output)['processes']
            if process['member'] and not process['lags']
        }

    def environ(self) -> dict[str, str]:
        """Return the settings as environment variables."""
        return {
            'REDWINGSTREAM_CONTROL': self.layout.control,
            'REDWINGSTREAM_KEY_FILE': str(self.layout.key_file),
            'REDWINGSTREAM_TIMEOUT': TOOL_TIMEOUT,
        }
