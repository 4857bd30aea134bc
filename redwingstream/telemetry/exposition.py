"""The families as text, in the format of Prometheus.

The library is loaded with the first request and in a thread of its own: most
processes are never asked while callers wait for them to start, and loading it
takes more processor time than everything else that a balancer loads.
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
    """Renders a process's samples.

    Parameters
    ----------
    samples : callable
        Returns the samples as of now.
    """

    def __init__(self, samples: SampleSource) -> None:
        self._samples = samples
        self._library: Any = None

    async def render(self) -> bytes:
        """Return the text."""
        if self._library is None:
            loop = asyncio.get_running_loop()
            self._library = await loop.run_in_executor(None, _load)
        registry = self._library.CollectorRegistry(auto_describe=False)
        registry.register(_Collector(self._library, self._samples))
        text: bytes = self._library.generate_latest(registry)
        return text


class _Collector:
    def __init__(self, library: Any, samples: SampleSource) -> None:
        self._core = library.core
        self._samples = samples

    def collect(self) -> Iterator[Any]:
        """Yield the families as the library wants them."""
        return map(self._family, self._samples())

    def _family(self, sample: Sample) -> Any:
        name = f'{PREFIX}{sample.family.name}'
        meaning = sample.family.meaning
        if sample.histogram is not None:
            family = self._core.HistogramMetricFamily(name, meaning)
            family.add_metric(
                (), sample.histogram.cumulative(), sample.histogram.total
            )
            return family
        kind = self._core.GaugeMetricFamily
        if sample.family.kind is Kind.COUNTER:
            kind = self._core.CounterMetricFamily
        family = kind(name, meaning, labels=(LABEL,))
        for label, level in sample.value_by_label.items():
            family.add_metric((label,), level)
        return family


def _load() -> Any:
    # The programs of the platform run without this module; the library needs
    # it to be there.
    if sys.modules.get('ssl', sys) is None:
        sys.modules.pop('ssl')
    library = importlib.import_module('prometheus_client')
    importlib.import_module('prometheus_client.core')
    return library
