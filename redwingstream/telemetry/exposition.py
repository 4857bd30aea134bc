"""Renders metric families in the Prometheus text format.

The Prometheus client library is imported at the first request, in a thread.
Importing it takes more processor time than everything else that a balancer
imports, and most processes get no request for metrics while callers wait for
them to start.
"""

import asyncio
import importlib
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from redwingstream.telemetry.families import Kind, Sample

PREFIX = 'redwingstream_'
LABEL = 'what'

SampleSource = Callable[[], Iterable[Sample]]


class Exposition:
    """Renders the metrics of a process.

    Parameters
    ----------
    samples : callable
        Returns the current samples of all families.
    """

    def __init__(self, samples: SampleSource) -> None:
        self._samples = samples
        self._library: Any = None

    async def render(self) -> bytes:
        """Return the current metrics in the Prometheus text format."""
        if self._library is None:
            loop = asyncio.get_running_loop()
            self._library = await loop.run_in_executor(None, _load_library)
        registry = self._library.CollectorRegistry(auto_describe=False)
        registry.register(_Collector(self._library, self._samples))
        text: bytes = self._library.generate_latest(registry)
        return text


class _Collector:
    """Converts samples to metric families of the Prometheus client library."""

    def __init__(self, library: Any, samples: SampleSource) -> None:
        self._core = library.core
        self._samples = samples

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; the library calls this method."""
        return map(self._build_family, self._samples())

    def _build_family(self, sample: Sample) -> Any:
        name = f'{PREFIX}{sample.family.name}'
        meaning = sample.family.meaning
        if sample.histogram is not None:
            family = self._core.HistogramMetricFamily(name, meaning)
            family.add_metric(
                (), sample.histogram.cumulative_counts(), sample.histogram.total
            )
            return family
        kind = self._core.GaugeMetricFamily
        if sample.family.kind is Kind.COUNTER:
            kind = self._core.CounterMetricFamily
        family = kind(name, meaning, labels=(LABEL,))
        for label, value in sample.value_by_label.items():
            family.add_metric((label,), value)
        return family


def _load_library() -> Any:
    # The programs in platform/ set the entry of ssl in sys.modules to None, so
    # that it is not imported.  The client library needs the module.
    if sys.modules.get('ssl', sys) is None:
        sys.modules.pop('ssl')
    library = importlib.import_module('prometheus_client')
    importlib.import_module('prometheus_client.core')
    return library
