"""Entry point of the command-line tool ``redwingstream``."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from redwingstream.errors import ResultCode
from redwingstream.operators.commands.explain import Explain
from redwingstream.operators.commands.logs import ExplainLogs
from redwingstream.operators.commands.members import (
    Drain,
    Dump,
    Status,
    Undrain,
)
from redwingstream.operators.commands.tables import (
    Apply,
    PoolList,
    PoolRemove,
    PoolSet,
    RouteList,
    RouteRemove,
    RouteSet,
    ZoneIn,
    ZoneList,
    ZoneOut,
)

COMMANDS = (
    RouteList,
    RouteSet,
    RouteRemove,
    PoolList,
    PoolSet,
    PoolRemove,
    Apply,
    ZoneList,
    ZoneOut,
    ZoneIn,
    Drain,
    Undrain,
    Status,
    Dump,
    Explain,
    ExplainLogs,
)


def make_application() -> Application:
    """Return the tool with all its commands."""
    application = Application('redwingstream')
    for command_class in COMMANDS:
        application.add(command_class())
    return application


def run_tool(application: Application) -> int:
    """Run the command line; return the number of its result code.

    Notes
    -----
    The exit code of ``cleo`` for a mistyped command is 1, which means
    ``INTERNAL`` here, so its errors are reported as ``BAD_SETTING``.
    """
    application.auto_exits(auto_exits=False)
    application.catch_exceptions(catch_exceptions=False)
    try:
        return application.run()
    except CleoError as error:
        print(f'redwingstream: {error}', file=sys.stderr)  # noqa: WPS421 - CLI
        return int(ResultCode.BAD_SETTING)


def main() -> None:
    """Run ``redwingstream`` and exit with a result code."""
    sys.exit(run_tool(make_application()))


if __name__ == '__main__':
    main()
