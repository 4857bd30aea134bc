"""Runs one role of the daemon until SIGTERM or SIGINT.

``redwingstreamd`` reads and checks the command line and then replaces itself by
this module (see :mod:`redwingstream.daemon`), so that the command-line library
takes no memory in a process that runs for months.  The settings are read from
the environment only.

The modules of a role are imported in the function that runs it, so that a
balancer, for example, does not load the modules of a control instance, which
would take memory.
"""

import asyncio
import contextlib
import logging as stdlib_logging
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
    settings: BalancerSettings, key: bytes, stop_requested: asyncio.Event
) -> None:
    from redwingstream.balancer.role import (  # noqa: WPS433 - one role
        BalancerRole,
    )

    balancer = BalancerRole(settings, key)
    async with balancer.opened():
        await stop_requested.wait()
        await balancer.drain()


async def _run_agent(
    settings: AgentSettings, key: bytes, stop_requested: asyncio.Event
) -> None:
    from redwingstream.agent.role import (  # noqa: WPS433 - one role
        AgentRole,
    )

    agent = AgentRole(settings, key)
    async with agent.opened():
        await stop_requested.wait()
        await agent.drain()


def _make_control_settings(
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
    settings: RecoverySettings, key: bytes, stop_requested: asyncio.Event
) -> None:
    from redwingstream.control.recovery import (  # noqa: WPS433 - one role
        ControlSettings,
        recover_single_replica,
    )

    control_settings = _make_control_settings(ControlSettings, settings, key)
    recover_single_replica(control_settings, settings.lose_changes_after)


async def _run_control(
    settings: ControlRoleSettings, key: bytes, stop_requested: asyncio.Event
) -> None:
    from redwingstream.control.role import (  # noqa: WPS433 - one role
        ControlSettings,
        run_control,
    )

    control_settings = _make_control_settings(ControlSettings, settings, key)
    running_role = asyncio.create_task(run_control(control_settings))
    waiting_for_stop = asyncio.create_task(stop_requested.wait())
    await asyncio.wait(
        (running_role, waiting_for_stop), return_when='FIRST_COMPLETED'
    )
    waiting_for_stop.cancel()
    running_role.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running_role


async def _run_until_signal(
    run_role: RoleRunner, settings: CommonSettings, key: bytes
) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await run_role(settings, key, stop_requested)


@attrs.frozen
class DaemonRole:
    """A role that the daemon can run.

    Parameters
    ----------
    name : str
        Command of ``redwingstreamd`` that runs the role.
    settings_class : type
        Class of the settings of the role.
    run : callable
        Runs the role with settings and key until the event is set.
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
    """Run a role with the settings from the environment.

    Parameters
    ----------
    role : DaemonRole
        The role.

    Returns
    -------
    int
        The exit code, one of :class:`~redwingstream.errors.ResultCode`.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    # Modules that are also used by the programs in platform/ log through the
    # standard library's loggers; absl's handler writes their lines as well.
    stdlib_logging.getLogger('redwingstream').setLevel(stdlib_logging.INFO)
    try:
        settings = read_settings(role.settings_class, {}, os.environ)
        key = read_key_file(settings.key_file)
        asyncio.run(_run_until_signal(role.run, settings, key))
    except RedwingstreamError as error:
        return _report_failure(str(error), error.code)
    except OSError as error:
        return _report_failure(str(error), ResultCode.INTERNAL)
    return int(ResultCode.OK)


def main() -> None:
    """Run the role that the first argument names."""
    role_by_name = {role.name: role for role in ROLES}
    sys.exit(run(role_by_name[sys.argv[1]]))


def _report_failure(text: str, code: ResultCode) -> int:
    sys.stderr.write(f'redwingstreamd: {text}\n')
    return int(code)


if __name__ == '__main__':
    main()
