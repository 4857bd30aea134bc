"""Stand-in for callers as a process: feeds, submissions and reports.

It prints one JSON object for each event and the counters of each caller at its
end.  It exits with 1 when a feed broke or a request was not answered.
"""

import argparse
import asyncio
import json
import sys
import types
from collections.abc import Sequence

import attrs

from redwingstream.endpoints import Endpoint, parse_endpoint
from standins import processes
from standins.blocks import Whole
from standins.client import Client, submission_to
from standins.outcomes import Answered
from standins.resources import etag_of

ANY_PORT = Endpoint('127.0.0.1', 0)
NUMBERS = types.MappingProxyType(
    {
        '--count': 1,
        '--parallel': 64,
        '--attempts': 5,
        '--seconds': 5.0,
        '--silence': 5.0,
        '--seed': 0,
    }
)


def read_flags(arguments: Sequence[str] | None = None) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog='standins.caller')
    parser.add_argument('what', choices=('feed', 'submit', 'fetch'))
    parser.add_argument('service', type=parse_endpoint, metavar='IP:PORT')
    parser.add_argument('path')
    parser.add_argument('--bind', type=parse_endpoint, default=ANY_PORT)
    parser.add_argument('--payload', default='reading')
    for flag, default in NUMBERS.items():
        parser.add_argument(flag, type=type(default), default=default)
    return parser.parse_args(arguments)


async def run(flags: argparse.Namespace) -> bool:
    """Do what the command line says; return whether all of it went well.

    Each of ``--count`` callers has a socket, so a flow, of its own; at most
    ``--parallel`` of them are at work at once.
    """
    places = asyncio.Semaphore(flags.parallel)
    callers = [
        _run_caller(flags, number, places) for number in range(flags.count)
    ]
    return all(await asyncio.gather(*callers))


async def _run_caller(
    flags: argparse.Namespace, number: int, places: asyncio.Semaphore
) -> bool:
    kinds = {'feed': _feed, 'submit': _submit, 'fetch': _fetch}
    client = Client(flags.seed + number)
    async with places:
        with client.open(flags.bind):
            went_well = await kinds[flags.what](client, flags, number)
    _show('counters', caller=number, **attrs.asdict(client.counters))
    return went_well


async def _feed(client: Client, flags: argparse.Namespace, number: int) -> bool:
    loop = asyncio.get_running_loop()
    end = loop.time() + flags.seconds
    feed = await client.observe(flags.service, flags.path, flags.attempts)
    while loop.time() < end:
        state = await client.next_state(feed, flags.silence)
        if state is None:
            _show('broken', feed=number, reason=feed.ended)
            return False
        _show('state', feed=number, sequence=state.sequence)
    await client.cancel(flags.service, flags.path, feed)
    return True


async def _submit(
    client: Client, flags: argparse.Namespace, number: int
) -> bool:
    payload = f'{flags.payload}-{number}'.encode()
    packet = submission_to(flags.path, payload)
    outcome = await client.request_patiently(
        flags.service, packet, flags.attempts
    )
    _show('submitted', payload=payload.decode(), outcome=str(outcome))
    return isinstance(outcome, Answered)


async def _fetch(
    client: Client, flags: argparse.Namespace, number: int
) -> bool:
    fetched = await client.fetch(flags.service, flags.path, flags.attempts)
    if not isinstance(fetched, Whole):
        _show('not fetched', outcome=str(fetched))
        return False
    is_whole = etag_of(fetched.body) == fetched.etag
    _show('fetched', size=len(fetched.body), whole=is_whole)
    return is_whole


def _show(event: str, **fields: object) -> None:
    print(json.dumps({'event': event, **fields}), flush=True)  # noqa: WPS421


if __name__ == '__main__':
    processes.set_up_logs()
    sys.exit(0 if asyncio.run(run(read_flags())) else 1)
