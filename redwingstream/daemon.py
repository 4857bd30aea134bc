"""The daemon ``redwingstreamd``: one process, one role.

The roles' modules are imported only for the role that runs, so that a balancer
does not carry the memory of a control instance; this is why imports stand in
functions here.
"""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging
from cleo.application import Application
from cleo.commands.command import Command

from redwingstream.errors import RedwingstreamError, ResultCode
from redwingstream.keyfile import read_key_file
from redwingstream.settings.flags import given_flags, options_of
from redwingstream.settings.reading import read_settings
from redwingstream.settings.roles import (
    AgentSettings,
    BalancerSettings,
    CommonSettings,
    ControlRoleSettings,
    RecoverySettings,
)

RoleRunner = Callable[[Any, bytes, asyncio.Event], Awaitable[None]]


async def _run_balancer(
    settings: BalancerSettings, key: bytes, stopping: asyncio.Event
) -> None:
    from redwingstream.balancer.role import (  # noqa: WPS433 - one role
        BalancerRole,
    )

    balancer = BalancerRole(settings, key)
    async with balancer.opened():
        await stopping.wait()
        await balancer.drain()


async def _run_agent(
    settings: AgentSettings, key: bytes, stopping: asyncio.Event
) -> None:
    from redwingstream.agent.role import (  # noqa: WPS433 - one role
        AgentRole,
    )

    agent = AgentRole(settings, key)
    async with agent.opened():
        await stopping.wait()
        await agent.drain()


def _as_control_settings(
    control_class: type[Any], settings: ControlRoleSettings, key: bytes
) -> Any:
    return control_class(
        host=settings.host,
        endpoint=settings.endpoint,
        zone=settings.zone,
        data_folder=settings.data_folder,
        replicas=tuple(settings.replicas.values()),
        key=key,
    )


async def _recover(
    settings: RecoverySettings, key: bytes, stopping: asyncio.Event
) -> None:
    from redwingstream.control.recovery import (  # noqa: WPS433 - one role
        ControlSettings,
        recover_alone,
    )

    control_settings = _as_control_settings(ControlSettings, settings, key)
    recover_alone(control_settings, settings.lose_changes_after)


async def _run_control(
    settings: ControlRoleSettings, key: bytes, stopping: asyncio.Event
) -> None:
    from redwingstream.control.role import (  # noqa: WPS433 - one role
        ControlSettings,
        run_control,
    )

    control_settings = _as_control_settings(ControlSettings, settings, key)
    running = asyncio.create_task(run_control(control_settings))
    waiting = asyncio.create_task(stopping.wait())
    await asyncio.wait((running, waiting), return_when='FIRST_COMPLETED')
    waiting.cancel()
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running


class _RoleCommand(Command):
    """Reads the settings of a role and runs it until a signal."""

    settings_class: type[CommonSettings]
    run_role: RoleRunner

    def handle(self) -> int:
        """Run the role; return the result code."""
        logging.use_absl_handler()
        logging.set_verbosity(logging.INFO)
        flags = given_flags(self, self.settings_class)
        try:
            settings = read_settings(self.settings_class, flags, os.environ)
            key = read_key_file(settings.key_file)
            asyncio.run(_until_signal(type(self).run_role, settings, key))
        except RedwingstreamError as error:
            self.line_error(f'redwingstreamd: {error}')
            return int(error.code)
        except OSError as error:
            self.line_error(f'redwingstreamd: {error}')
            return int(ResultCode.INTERNAL)
        return int(ResultCode.OK)


async def _until_signal(
    run_role: RoleRunner, settings: CommonSettings, key: bytes
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await run_role(settings, key, stopping)


class BalancerCommand(_RoleCommand):
    """Run a balancer: a thin entry instance behind the fabric."""

    name = 'balancer'
    description = 'Run a balancer: a thin entry instance behind the fabric.'
    settings_class = BalancerSettings
    run_role = _run_balancer
    options = options_of(BalancerSettings)


class AgentCommand(_RoleCommand):
    """Run an agent: the process beside a backend server."""

    name = 'agent'
    description = 'Run an agent: the process beside a backend server.'
    settings_class = AgentSettings
    run_role = _run_agent
    options = options_of(AgentSettings)


class ControlCommand(_RoleCommand):
    """Run a control instance: a replica of the durable state."""

    name = 'control'
    description = 'Run a control instance: a replica of the durable state.'
    settings_class = ControlRoleSettings
    run_role = _run_control
    options = options_of(ControlRoleSettings)


class RecoverCommand(_RoleCommand):
    """Go on from one data folder when a majority of them is lost."""

    name = 'recover'
    description = 'Go on from one data folder when a majority of them is lost.'
    settings_class = RecoverySettings
    run_role = _recover
    options = options_of(RecoverySettings)


COMMANDS = (BalancerCommand, AgentCommand, ControlCommand, RecoverCommand)


def main() -> None:
    """Run ``redwingstreamd`` and exit with a result code."""
    application = Application('redwingstreamd')
    for command_class in COMMANDS:
        application.add(command_class())
    sys.exit(application.run())


if __name__ == '__main__':
    main()
