"""Tayside in small: brings it up, shows what it does, takes it down.

Prints one line for each check; exits with ``DEMONSTRATION_FAILED`` when one of
them failed.  With ``--keep`` it then waits for Ctrl-C, so that the operators'
tool can be tried.
"""

import argparse
import asyncio
import contextlib
import pathlib
import secrets
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator

import attrs

from demo.checks import (
    STATES_WANTED,
    Callers,
    Finding,
    LiveFeed,
    check_report,
    check_submission,
    zone_of,
)
from demo.layout import (
    BALANCERS,
    SERVERS,
    SWARD,
    ZONES,
    Layout,
    find_layout,
    tables_text,
)
from demo.operators import Operator
from demo.processes import Fleet, running
from redwingstream.errors import ResultCode

TIME_LIMIT = 58
MEMBERS_SECONDS = 15
FEEDS = 6
LONGEST_GAP = 3.0
OUT_SECONDS = 3
BACK_SECONDS = 6
POLL_SECONDS = 0.5


@attrs.define
class Report:
    """What was seen, printed as it comes."""

    findings: list[Finding] = attrs.field(factory=list)

    def add(self, finding: Finding) -> bool:
        """Print one line; return whether the check went well."""
        self.findings.append(finding)
        sign = 'ok    ' if finding.went_well else 'FAILED'
        print(f'{sign}  {finding.text}', flush=True)  # noqa: WPS421
        return finding.went_well

    @property
    def went_well(self) -> bool:
        """Whether every check did."""
        return all(finding.went_well for finding in self.findings)


class Demonstration:
    """The checks in their order.

    Parameters
    ----------
    layout : Layout
        Where everything is.
    report : Report
        Takes what was seen.
    """

    def __init__(self, layout: Layout, report: Report) -> None:
        self._layout = layout
        self._report = report
        self._operator = Operator(layout)
        self._callers = Callers(layout)

    async def show(self) -> None:
        """Run every check; stop early when nothing can work any more."""
        if not await self._load_tables():
            return
        if not await self._wait_for_members():
            return
        with self._callers.open():
            async with self._listening() as feeds:
                await self._show_traffic(feeds)
                await self._show_zone(feeds)

    async def _show_traffic(self, feeds: list[LiveFeed]) -> None:
        await self._show_feeds(feeds)
        self._report.add(await check_submission(self._callers))
        self._report.add(await check_report(self._callers))

    async def _load_tables(self) -> bool:
        path = self._layout.folder / 'tables.toml'
        path.write_text(tables_text(self._layout))
        applied = await self._operator.run('apply', str(path), '--yes')
        return self._report.add(
            Finding(applied.went_well, f'tables: {applied.first_line()}')
        )

    async def _wait_for_members(self) -> bool:
        wanted = {*BALANCERS, *(server.host for server in SERVERS)}
        found: set[str] = set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MEMBERS_SECONDS):
                while found != wanted:
                    found = await self._operator.members()
        missing = ', '.join(sorted(wanted - found))
        text = f'members: {len(found)} of {len(wanted)} in force'
        if missing:
            text = f'{text}; missing: {missing}'
        return self._report.add(Finding(found == wanted, text))

    @contextlib.asynccontextmanager
    async def _listening(self) -> AsyncIterator[list[LiveFeed]]:
        feeds = await asyncio.gather(
            *(self._callers.open_feed() for _ in range(FEEDS))
        )
        tasks = [asyncio.create_task(feed.listen()) for feed in feeds]
        try:
            yield feeds
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _show_feeds(self, feeds: list[LiveFeed]) -> None:
        flowing = await asyncio.gather(
            *(feed.wait_for(STATES_WANTED) for feed in feeds)
        )
        hosts = ', '.join(sorted({feed.host for feed in feeds} - {''}))
        self._report.add(
            Finding(
                all(flowing),
                f'live feeds: {sum(flowing)} of {len(feeds)} stream, from '
                f'{hosts}{_broken(feeds)}',
            )
        )

    async def _show_zone(self, feeds: list[LiveFeed]) -> None:
        alive = [feed for feed in feeds if not feed.broken]
        if not alive:
            self._report.add(Finding(False, 'zone: no feed is left to watch'))
            return
        stays = zone_of(alive[0].host)
        leaves = next(zone for zone in ZONES if zone != stays)
        watched = [feed for feed in alive if zone_of(feed.host) == stays]
        if await self._mark('out', leaves):
            await self._show_zone_out(leaves, watched)
        if await self._mark('in', leaves):
            await self._show_zone_back(leaves, watched)

    async def _mark(self, state: str, zone: str) -> bool:
        marked = await self._operator.run('zone', state, zone, '--wait')
        return self._report.add(
            Finding(
                marked.went_well,
                f'zone {zone} {state}: {marked.first_line()}',
            )
        )

    async def _show_zone_out(self, zone: str, watched: list[LiveFeed]) -> None:
        await asyncio.sleep(OUT_SECONDS)
        before = await self._taken_in(zone)
        answers = await asyncio.gather(
            *(self._callers.ask_host() for _ in range(FEEDS))
        )
        await asyncio.sleep(OUT_SECONDS)
        more = await self._taken_in(zone) - before
        elsewhere = [host for host in answers if host and zone_of(host) != zone]
        self._report.add(
            Finding(
                len(elsewhere) == FEEDS and more == 0,
                f'zone {zone} out: {len(elsewhere)} of {FEEDS} new flows '
                f'answered from elsewhere, work that still reached it: {more}',
            )
        )
        self._report_feeds('out', zone, watched)

    async def _show_zone_back(self, zone: str, watched: list[LiveFeed]) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + BACK_SECONDS
        is_back = False
        while not is_back and loop.time() < end:
            is_back = zone_of(await self._callers.ask_host()) == zone
            await asyncio.sleep(POLL_SECONDS)
        self._report.add(
            Finding(is_back, f'zone {zone} in: new flows reach it: {is_back}')
        )
        self._report_feeds('in', zone, watched)

    def _report_feeds(
        self, state: str, zone: str, watched: list[LiveFeed]
    ) -> None:
        going = [feed for feed in watched if not feed.broken]
        gap = max(feed.longest_gap for feed in watched)
        self._report.add(
            Finding(
                len(going) == len(watched) and gap < LONGEST_GAP,
                f'zone {zone} {state}: {len(going)} of {len(watched)} feeds '
                f'from elsewhere go on, longest gap {gap:.1f} s'
                f'{_broken(watched)}',
            )
        )

    async def _taken_in(self, zone: str) -> int:
        servers = [
            server
            for server in SERVERS
            if server.zone == zone and server.pool == SWARD
        ]
        counts = [self._callers.work_taken(server) for server in servers]
        return sum(await asyncio.gather(*counts))


def write_key(path: pathlib.Path) -> None:
    """Write a fresh key that only its owner can read."""
    path.touch(mode=0o600)  # noqa: WPS432
    path.write_text(secrets.token_hex(16))  # noqa: WPS432


async def run(folder: pathlib.Path, *, keep: bool) -> bool:
    """Run the demonstration; return whether every check went well."""
    _end_at_sigterm()
    layout = find_layout(folder)
    write_key(layout.key_file)
    report = Report()
    async with running(folder, layout.commands()) as fleet:
        try:
            async with asyncio.timeout(TIME_LIMIT):
                await Demonstration(layout, report).show()
        except TimeoutError:
            report.add(Finding(False, f'not done within {TIME_LIMIT} s'))
        _report_ended(fleet, report)
        if keep:
            await _wait_for_interrupt(layout)
    if not report.went_well:
        print(f'logs are in {folder}, kept with --folder')  # noqa: WPS421
    return report.went_well


def _broken(feeds: list[LiveFeed]) -> str:
    """Return why feeds are broken, for the end of a line."""
    causes = sorted({feed.broken for feed in feeds if feed.broken})
    return '; broken: {0}'.format(', '.join(causes)) if causes else ''


def _end_at_sigterm() -> None:
    """Turn SIGTERM into a cancellation.

    Without this the signal ends this process at once, and those that it has
    started go on without anyone who knows their ids.
    """
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)


def _report_ended(fleet: Fleet, report: Report) -> None:
    for name in fleet.ended():
        report.add(Finding(False, f'process {name} has ended on its own'))
        for line in fleet.last_words(name):
            print(f'        {line}', flush=True)  # noqa: WPS421


async def _wait_for_interrupt(layout: Layout) -> None:
    print('it goes on until Ctrl-C; for the tool:')  # noqa: WPS421
    for name, setting in Operator(layout).environ().items():
        print(f'export {name}={setting}', flush=True)  # noqa: WPS421
    await asyncio.Event().wait()


def read_flags() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog='demo/run')
    parser.add_argument(
        '--keep', action='store_true', help='go on until Ctrl-C'
    )
    parser.add_argument(
        '--folder',
        type=pathlib.Path,
        help='empty folder for data and logs, kept; a temporary one if absent',
    )
    return parser.parse_args()


@contextlib.contextmanager
def open_folder(chosen: pathlib.Path | None) -> Iterator[pathlib.Path]:
    """Return the folder that was chosen, or a temporary one."""
    if chosen is None:
        with tempfile.TemporaryDirectory(prefix='tayside-') as name:
            yield pathlib.Path(name)
        return
    chosen.mkdir(parents=True, exist_ok=True)
    yield chosen.resolve()


def main() -> None:
    """Run the demonstration and exit with a result code."""
    flags = read_flags()
    went_well = False
    with open_folder(flags.folder) as folder:
        with contextlib.suppress(KeyboardInterrupt, asyncio.CancelledError):
            went_well = asyncio.run(run(folder, keep=flags.keep))
    code = ResultCode.OK if went_well else ResultCode.DEMONSTRATION_FAILED
    sys.exit(code)


if __name__ == '__main__':
    main()
