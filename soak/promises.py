"""What must hold, checked from what callers, servers and operators saw."""

import itertools
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

import attrs

from soak.inject import Span, Spans
from soak.load import BrokenFlow, Seen
from standins.packets.servers import COLD_SECONDS, PacketServer, Run
from standins.packets.site import PacketSite

COLD_WITHIN = 1.0
"""Seconds over which new flows of a cold server are counted."""

COLD_FLOWS = 5
"""New flows that a cold server bears within any second: the slack that the
site's settings name."""


DRAIN_SECONDS = 3.0
ZONE_SECONDS = 5.0
"""Seconds after the acknowledgement from which a draining server and a zone
that is out get no new flow; the users' figures."""

IN_TOUCH_SECONDS = 4.0
"""Promises with a time bound hold for processes that were not disturbed for so
long."""


@attrs.frozen
class Broken:
    """A promise that did not hold."""

    promise: str
    what: str


def broken_promises(site: PacketSite, seen: Seen, spans: Spans) -> list[Broken]:
    """Return what did not hold during a run.

    Parameters
    ----------
    site : PacketSite
        Its servers and callers.
    seen : Seen
        What callers and operators saw.
    spans : Spans
        What was out, drained and disturbed, and when.
    """
    ended_at_by_name = ended_runs(site.servers)
    return [
        *_ran_twice(site.runs),
        *_ran_elsewhere(site.runs),
        *_not_as_written(site),
        *_reset(seen.broken, ended_at_by_name),
        *(Broken('answers', what) for what in seen.wrong_answers),
        *(Broken('configuration', what) for what in seen.older_reads),
        *_flooded(site.servers),
        *_opened_late(site.servers, spans),
    ]


def _ran_twice(runs: Iterable[Run]) -> Iterator[Broken]:
    for request, count in Counter(run.request for run in runs).items():
        if count > 1:
            yield Broken('at most once', f'{request} ran {count} times')


def _ran_elsewhere(runs: Iterable[Run]) -> Iterator[Broken]:
    for run in runs:
        wanted = run.request.partition('-')[0]
        if run.service != wanted:
            yield Broken('service', f'{run.request} ran at {run.service}')


def _not_as_written(site: PacketSite) -> Iterator[Broken]:
    for server in site.servers:
        if server.forged:
            yield Broken('packets', f'{server.forged} at {server.name}')
    for caller in site.callers:
        if caller.counters.forged:
            yield Broken(
                'packets', f'{caller.counters.forged} at {caller.host}'
            )


def ended_runs(servers: Iterable[PacketServer]) -> dict[str, float]:
    """Return when runs of servers ended, by their names."""
    return {
        start.name: following.at
        for server in servers
        for start, following in itertools.pairwise(server.starts)
    }


def idle_resets(
    flows: Iterable[BrokenFlow], ended_at_by_name: Mapping[str, float]
) -> int:
    """Count the idle flows that were reset after their server had ended."""
    return sum(
        flow.is_idle and not _is_held(flow, ended_at_by_name) for flow in flows
    )


def _reset(
    flows: Iterable[BrokenFlow], ended_at_by_name: Mapping[str, float]
) -> Iterator[Broken]:
    for flow in flows:
        if _is_held(flow, ended_at_by_name):
            yield Broken('open flows', f'{flow.flow} at {flow.server}')


def _is_held(flow: BrokenFlow, ended_at_by_name: Mapping[str, float]) -> bool:
    # A flow without an answer names no server.
    ended_at = ended_at_by_name.get(flow.server, float('inf'))
    return flow.server != '' and flow.at < ended_at


def _flooded(servers: Iterable[PacketServer]) -> Iterator[Broken]:
    for server in servers:
        for start in server.starts:
            count = _most_within_a_second(server, start.at)
            if count > COLD_FLOWS:
                yield Broken('cold', f'{count} flows at {server.name}')


def _most_within_a_second(server: PacketServer, began_at: float) -> int:
    opened = [
        at
        for at, _ in server.opened
        if began_at <= at < began_at + COLD_SECONDS
    ]
    counts = (
        sum(first <= at < first + COLD_WITHIN for at in opened)
        for first in opened
    )
    return max(counts, default=0)


def _opened_late(
    servers: Iterable[PacketServer], spans: Spans
) -> Iterator[Broken]:
    opened = [
        (server, at)
        for server in servers
        for at, _ in server.opened
        if not _is_disturbed(at, spans)
    ]
    for server, at in opened:
        zone = server.machine.zone
        if _is_within(at, ZONE_SECONDS, zone, spans.zones_out):
            yield Broken('zone out', f'a flow at {server.name}')
        if _is_within(at, DRAIN_SECONDS, server.name, spans.draining):
            yield Broken('drain', f'a flow at {server.name}')


def _is_within(
    at: float, after: float, name: str, spans: Iterable[Span]
) -> bool:
    return any(
        span.name == name and span.begun_at + after < at < span.ended_at
        for span in spans
    )


def _is_disturbed(at: float, spans: Spans) -> bool:
    return any(
        span.begun_at <= at <= span.ended_at + IN_TOUCH_SECONDS
        for span in spans.disturbed
    )
