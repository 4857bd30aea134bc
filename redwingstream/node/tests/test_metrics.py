"""Tests of the counters: sums, sending and the list in the documentation."""

import pathlib
import re
import socket

from redwingstream.endpoints import Endpoint
from redwingstream.node.metrics import Metrics
from redwingstream.telemetry.exposition import PREFIX
from redwingstream.telemetry.families import FAMILIES

PACKAGE = pathlib.Path(__file__).parents[2]
PAGE = PACKAGE.parent / 'docs' / 'metrics.md'
COUNTED = re.compile(r"\.(?:count|gauge)\(\s*f?'([a-z_]+)")
LISTED = re.compile(r'^\| `([a-z_]+)', re.MULTILINE)


class TestMetrics:
    """Counters of one process."""

    def test_sends_what_was_counted_since_the_last_flush(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(('127.0.0.1', 0))
            metrics = Metrics('test', Endpoint(*sock.getsockname()))
            metrics.count('run', 3)
            metrics.flush()
            metrics.flush()
            metrics.count('run')
            metrics.flush()
            sent = [sock.recv(100) for _ in range(2)]
        assert sent == [b'test.run:3|c', b'test.run:1|c']

    def test_sends_to_an_ipv6_address(self) -> None:
        """A daemon must start with an IPv6 address of statsd."""
        with socket.socket(socket.AF_INET6, socket.SOCK_DGRAM) as sock:
            sock.bind(('::1', 0))
            metrics = Metrics('test', Endpoint(*sock.getsockname()[:2]))
            metrics.count('run')
            metrics.flush()
            assert sock.recv(100) == b'test.run:1|c'

    def test_counts_without_a_target(self) -> None:
        metrics = Metrics('test', None)
        metrics.count('run')
        metrics.flush()
        assert metrics.total_by_name == {'run': 1}


class TestMetricsPage:
    """The list of metrics in the documentation is complete."""

    def test_names_every_metric_and_no_other(self) -> None:
        counted = set()
        for path in PACKAGE.rglob('*.py'):
            if 'tests' not in path.parts:
                counted |= set(COUNTED.findall(path.read_text()))
        shown = {f'{PREFIX}{family.name}' for family in FAMILIES}
        assert set(LISTED.findall(PAGE.read_text())) == counted | shown
