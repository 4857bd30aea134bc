"""The command ``explain logs``: the history of a flow from event logs."""

import contextlib
import sys
from collections.abc import Iterator
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from redwingstream.errors import ResultCode
from redwingstream.operators.flow_history import (
    build_history,
    history_lines,
    read_lines,
)


class ExplainLogs(Command):
    """Shows the history of a flow, from the event logs of all processes."""

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
        """Show the history; return the number of a result code."""
        files = self.argument('files') or []
        with contextlib.ExitStack() as stack:
            texts = _read_texts(files, stack)
            history = build_history(read_lines(texts), self.argument('flow'))
        for line in history_lines(history):
            self.line(line)
        found = ResultCode.OK if history.steps else ResultCode.UNKNOWN_ROW
        return int(found)


def _read_texts(files: list[str], stack: contextlib.ExitStack) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for name in files:
        log_file = stack.enter_context(Path(name).open(errors='replace'))
        yield from log_file
