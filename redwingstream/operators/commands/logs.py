"""The command that tells the story of a flow from event logs."""

import contextlib
import sys
from collections.abc import Iterator
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from redwingstream.errors import ResultCode
from redwingstream.operators.story import read_lines, story_lines, story_of


class ExplainLogs(Command):
    """Tells what happened to a flow, from the logs of all processes."""

    name = 'explain logs'
    description = "Tell what happened to a flow, from the processes' logs."
    arguments = [
        argument(
            'flow', 'CALLER>SERVICE as IP:PORT>IP:PORT, or its beginning.'
        ),
        argument(
            'files',
            'Log files of any processes; standard input without any.',
            optional=True,
            multiple=True,
        ),
    ]
    help = (
        'Reads event logs and prints, in the order of time, each decision '
        'about a flow, who made it and what it knew then. It needs no '
        'connection to the system. Exits with 0, or with UNKNOWN_ROW when no '
        'line tells of the flow.'
    )

    def handle(self) -> int:
        """Tell the story; return the number of a result code."""
        files = self.argument('files') or []
        with contextlib.ExitStack() as stack:
            texts = _texts(files, stack)
            story = story_of(read_lines(texts), self.argument('flow'))
        for line in story_lines(story):
            self.line(line)
        found = ResultCode.OK if story.steps else ResultCode.UNKNOWN_ROW
        return int(found)


def _texts(files: list[str], stack: contextlib.ExitStack) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for name in files:
        opened = stack.enter_context(Path(name).open(errors='replace'))
        yield from opened
