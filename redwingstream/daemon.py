"""Command line of the daemon ``redwingstreamd``, which runs one role.

This module reads and checks the command line.  The process then replaces itself
by :mod:`redwingstream.running` with ``execve``, without starting another
process.  The command-line library takes 6 MB, more than a tenth of the memory
that a node may use for control, and is not needed after the start.
"""

import os
import sys
from collections.abc import Mapping
from typing import Any

from cleo.application import Application
from cleo.commands.command import Command

from redwingstream.errors import RedwingstreamError
from redwingstream.keyfile import read_key_file
from redwingstream.settings.flags import flag_values, options_for
from redwingstream.settings.reader import read_settings, variable_name
from redwingstream.settings.roles import (
    AgentSettings,
    BalancerSettings,
    CommonSettings,
    ControlRoleSettings,
    RecoverySettings,
)


class _RoleCommand(Command):
    """Checks the settings of a role and then runs the role.

    Attributes
    ----------
    settings_class : type
        Class of the settings of the role.
    """

    settings_class: type[CommonSettings]

    def handle(self) -> int:
        """Run the role; return a result code only if a setting is invalid."""
        flags = flag_values(self, self.settings_class)
        try:
            settings = read_settings(self.settings_class, flags, os.environ)
            read_key_file(settings.key_file)
        except RedwingstreamError as error:
            self.line_error(f'redwingstreamd: {error}')
            return int(error.code)
        _exec_role(str(self.name), flags)


def _exec_role(role: str, flags: Mapping[str, str | None]) -> Any:
    """Replace this process by one that runs a role; does not return.

    Parameters
    ----------
    role : str
        Name of the role.
    flags : mapping
        Text of each flag by name, None where the flag is not given.
    """
    environment = dict(os.environ)
    for flag, text in flags.items():
        if text is not None:
            environment[variable_name(flag.replace('-', '_'))] = text
    # The flags are repeated so that a list of processes shows them.  The new
    # process reads its settings from the environment.
    shown_flags = sys.argv[2:]
    module = 'redwingstream.running'
    command_line = (sys.executable, '-m', module, role, *shown_flags)
    sys.stdout.flush()
    sys.stderr.flush()
    os.execve(sys.executable, command_line, environment)


class BalancerCommand(_RoleCommand):
    """Run a balancer: a thin entry instance behind the fabric."""

    name = 'balancer'
    description = 'Run a balancer: a thin entry instance behind the fabric.'
    settings_class = BalancerSettings
    options = options_for(BalancerSettings)


class AgentCommand(_RoleCommand):
    """Run an agent: the process beside a backend server."""

    name = 'agent'
    description = 'Run an agent: the process beside a backend server.'
    settings_class = AgentSettings
    options = options_for(AgentSettings)


class ControlCommand(_RoleCommand):
    """Run a control instance: a replica of the durable state."""

    name = 'control'
    description = 'Run a control instance: a replica of the durable state.'
    settings_class = ControlRoleSettings
    options = options_for(ControlRoleSettings)


class RecoverCommand(_RoleCommand):
    """Go on from one data folder when a majority of them is lost."""

    name = 'recover'
    description = 'Go on from one data folder when a majority of them is lost.'
    settings_class = RecoverySettings
    options = options_for(RecoverySettings)


COMMANDS = (BalancerCommand, AgentCommand, ControlCommand, RecoverCommand)


def main() -> None:
    """Run ``redwingstreamd`` and exit with a result code."""
    application = Application('redwingstreamd')
    for command_class in COMMANDS:
        application.add(command_class())
    sys.exit(application.run())


if __name__ == '__main__':
    main()
