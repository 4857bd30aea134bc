"""Which processes did not run for a while, as their own logs say."""

import json
from collections.abc import Iterator
from typing import Any

from standins.packets.site import PacketSite


def longest_delay(site: PacketSite, since: float) -> float:
    """Return the longest pause in which a process did not run.

    Parameters
    ----------
    site : PacketSite
        Whose processes.
    since : float
        Time of the machine's clock in seconds; pauses that began before it do
        not count.

    Notes
    -----
    A run that fails on a starved machine and one that fails by a fault of the
    programs look alike from outside; this tells them apart.
    """
    return max(_delays(site, since), default=0)


def _delays(site: PacketSite, since: float) -> Iterator[float]:
    for name in site.fleet.process_by_name:
        for line in _lines(site.log(name)):
            if line.get('event') != 'process_delayed':
                continue
            if line['clock'] - line['late_by'] >= since:
                yield line['late_by']


def _lines(log: str) -> Iterator[dict[str, Any]]:
    for text in log.splitlines():
        if text.startswith('{') and text.endswith('}'):
            yield json.loads(text)
