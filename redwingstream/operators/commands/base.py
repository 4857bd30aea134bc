"""Base class of the commands: settings, client, output and result codes."""

import asyncio
import contextlib
import os
from collections.abc import Iterable, Iterator
from typing import Any

import attrs
from cleo.commands.command import Command
from cleo.helpers import option

from redwingstream.errors import RedwingstreamError, ResultCode
from redwingstream.keyfile import read_key_file
from redwingstream.operators.client import ControlClient
from redwingstream.operators.output import json_text
from redwingstream.operators.settings import OperatorSettings
from redwingstream.settings.flags import flag_values, options_for
from redwingstream.settings.reader import read_settings
from redwingstream.wire.calls import MAX_CALL_SIZE, CallClient
from redwingstream.wire.frames import FrameCodec

HELP = (
    'Each setting is a flag or an environment variable; the flag goes first. '
    'The tool finds the leader among the control instances by itself. It '
    'exits with 0, or with a number of docs/result-codes.md whose name stands '
    'at the end of the error.'
)


def setting_options() -> list[Any]:
    """Return the options of every command: all settings and ``--json``."""
    return [
        *options_for(OperatorSettings),
        option('json', description='Write JSON for programs.'),
    ]


class OperatorCommand(Command):
    """Base class of commands that call the control instances.

    It reads the settings, runs :meth:`run_command` of the subclass and exits
    with the result code.

    Attributes
    ----------
    settings : OperatorSettings
        Settings of the tool; set before :meth:`check` runs.
    key : bytes
        Content of the key file; set before :meth:`check` runs.
    """

    options = setting_options()
    help = HELP
    settings: OperatorSettings
    key: bytes

    def handle(self) -> int:
        """Run the command; return the number of its result code."""
        try:
            return int(self._handle())
        except RedwingstreamError as error:
            self._show_error(error)
            return int(error.code)

    async def run_command(self, client: ControlClient) -> ResultCode:
        """Execute the command; overridden by subclasses."""
        raise NotImplementedError

    def check(self) -> None:
        """Validate the command line before any call is made."""

    def show(self, result: object, lines: Iterable[str]) -> None:
        """Write a result: the object as JSON, or the lines for people."""
        if self.option('json'):
            self.show_text(json_text(result))
            return
        for text in lines:
            self.show_text(text)

    def show_text(self, text: str) -> None:
        """Write text to standard output without interpreting style tags."""
        self.line(_escape_tags(text))

    def show_message(self, text: str) -> None:
        """Write a message to standard error, so that the JSON stays valid."""
        self.line_error(_escape_tags(text))

    def _handle(self) -> ResultCode:
        flags = flag_values(self, OperatorSettings)
        self.settings = read_settings(OperatorSettings, flags, os.environ)
        self.key = read_key_file(self.settings.key_file)
        self.check()
        return asyncio.run(self._run())

    async def _run(self) -> ResultCode:
        with _open_client(self.settings, self.key) as client:
            return await self.run_command(client)

    def _show_error(self, error: RedwingstreamError) -> None:
        if self.option('json'):
            failure = _Failure(error.code, error.code.name, str(error))
            self.show_text(json_text(failure))
            return
        code = f'{error.code.name}, {int(error.code)}'
        self.line_error(_escape_tags(f'redwingstream: {error} [{code}]'))


@attrs.frozen
class _Failure:
    """An error as ``--json`` shows it.

    Parameters
    ----------
    code : int
        Number of the result code.
    name : str
        Name of the result code.
    error : str
        Error message.
    """

    code: int
    name: str
    error: str


@contextlib.contextmanager
def _open_client(
    settings: OperatorSettings, key: bytes
) -> Iterator[ControlClient]:
    with CallClient(FrameCodec(key, MAX_CALL_SIZE)).opened() as calls:
        yield ControlClient(calls, settings.control, settings.timeout)


def _escape_tags(text: str) -> str:
    """Return text in which cleo does not interpret style tags."""
    return text.replace('<', r'\<')
