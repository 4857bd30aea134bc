"""Runs one role of the daemon until a signal.

``redwingstreamd`` reads and checks the command line and then replaces itself by
this module (see :mod:`redwingstream.daemon`), so that the command-line library
takes no memory in a process that runs for months.  The settings come from the
environment alone.

The roles' modules are imported only for the role that runs, so that a balancer
does not carry the memory of a control instance; this is why imports stand in
functions here.
"""

import asyncio
import contextlib
import logging as plain_logging
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from absl import logging

from redwingstream.errors import RedwingstreamError, ResultCode
from redwingstream.keyfile import read_key_file
from redwingstream.settings.reader import read_settings
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
        recover_single_replica,
    )

    control_settings = _as_control_settings(ControlSettings, settings, key)
    recover_single_replica(control_settings, settings.lose_changes_after)


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


async def _until_signal(
    run_role: RoleRunner, settings: CommonSettings, key: bytes
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await run_role(settings, key, stopping)


@attrs.frozen
class DaemonRole:
    """What the daemon can be.

    Parameters
    ----------
    name : str
        Its command.
    settings_class : type
        Its settings.
    run : callable
        Runs it until the event is set.
    """

    name: str
    settings_class: type[CommonSettings]
    run: RoleRunner


ROLES = (
    DaemonRole('balancer', BalancerSettings, _run_balancer),
    DaemonRole('agent', AgentSettings, _run_agent),
    DaemonRole('control', ControlRoleSettings, _run_control),
    DaemonRole('recover', RecoverySettings, _recover),
)


def run(role: DaemonRole) -> int:
    """Run a role with the settings of the environment.

    Returns
    -------
    int
        The :class:`~redwingstream.errors.ResultCode` to exit with.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    # Modules that the platform's programs load as well use the standard
    # library's loggers, whose lines go through the same handler.
    plain_logging.getLogger('redwingstream').setLevel(plain_logging.INFO)
    try:
        settings = read_settings(role.settings_class, {}, os.environ)
        key = read_key_file(settings.key_file)
        asyncio.run(_until_signal(role.run, settings, key))
    except RedwingstreamError as error:
        return _fail(str(error), error.code)
    except OSError as error:
        return _fail(str(error), ResultCode.INTERNAL)
    return int(ResultCode.OK)


def main() -> None:
    """Run the role that the first argument names."""
    role_by_name = {role.name: role for role in ROLES}
    sys.exit(run(role_by_name[sys.argv[1]]))


def _fail(text: str, code: ResultCode) -> int:
    sys.stderr.write(f'redwingstreamd: {text}\n')
    return int(code)


if __name__ == '__main__':
    main()
