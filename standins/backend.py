"""Stand-in for a backend server: CoAP over UDP with a bounded load.

Resources: ``GET /feed`` and ``/board`` with Observe, ``POST /readings`` and
``/reservations`` (not idempotent), ``GET /reports/...`` (Block2),
``/.well-known/health`` and ``/load``, ``POST /.standin/cold`` (turns cold
without a restart).

A request is run at most once for each message (RFC 7252, section 4.5).  The
effect of a submission takes place when it starts to run.
"""

import argparse
import asyncio
import pathlib
from collections.abc import Sequence

import attrs
from absl import logging

from redwingstream.endpoints import parse_endpoint
from standins import processes
from standins.resources import (
    DEFAULT_REPORT_SIZE,
    Load,
    Resources,
    RunCounter,
)
from standins.server import Backend
from standins.work import Limits

DEFAULT_DRAIN_SECONDS = 5.0


def read_flags(arguments: Sequence[str] | None = None) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog='standins.backend')
    add = parser.add_argument
    add('--host', required=True)
    add('--endpoint', type=parse_endpoint, required=True, metavar='IP:PORT')
    add('--runs-file', type=pathlib.Path)
    add('--report-size', type=int, default=DEFAULT_REPORT_SIZE)
    add('--feed-period', type=float, default=1)
    add('--drain-seconds', type=float, default=DEFAULT_DRAIN_SECONDS)
    add('--exit-on-fall', action='store_true')
    _add_more_flags(parser)
    return parser.parse_args(arguments)


def _add_more_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--load-lag', type=float, default=0)
    parser.add_argument('--load-lies', action='store_true')
    for limit in attrs.fields(Limits):
        flag = '--{0}'.format(limit.name.replace('_', '-'))
        parser.add_argument(flag, type=limit.type, default=limit.default)


async def run(flags: argparse.Namespace) -> None:
    """Serve until the process is asked to end, then drain."""
    names = [field.name for field in attrs.fields(Limits)]
    limits = Limits(**{name: getattr(flags, name) for name in names})
    runs = RunCounter(flags.runs_file)
    resources = Resources(flags.host, runs, flags.report_size)
    backend = Backend(
        resources,
        limits,
        flags.feed_period,
        exit_on_fall=flags.exit_on_fall,
    )
    backend.load = Load(flags.load_lag, flags.load_lies)
    with backend.open(flags.endpoint):
        logging.info('backend: ready')
        await processes.wait_for_end()
        await backend.drain(flags.drain_seconds)
    logging.info('backend: %s %s', backend.counters, backend.jobs.counters)


if __name__ == '__main__':
    processes.set_up_logs()
    asyncio.run(run(read_flags()))
