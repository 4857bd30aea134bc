"""Metrics that a process exports at its metrics address."""

from pathlib import Path

import attrs
import pytest

from redwingstream.telemetry.exposition import Exposition
from redwingstream.telemetry.families import (
    FAMILIES,
    FLOWS,
    OPENING_SECONDS,
    PACKETS,
    Sample,
    counters_sample,
)
from redwingstream.telemetry.histogram import BOUNDS, Histogram

PAGE = Path(__file__).parents[3] / 'docs' / 'metrics.md'


@attrs.define
class _Counters:
    opened: int = 3
    passed_on: int = 0


class TestExposition:
    """Families rendered in the Prometheus text format."""

    async def test_counters_have_a_series_for_each_field(self) -> None:
        text = await _render(counters_sample(PACKETS, _Counters()))
        assert 'redwingstream_packets_total{what="opened"} 3.0' in text
        assert 'redwingstream_packets_total{what="passed_on"} 0.0' in text

    async def test_gauges(self) -> None:
        text = await _render(Sample(FLOWS, {'held': 2}))
        assert 'redwingstream_flows{what="held"} 2.0' in text

    async def test_histograms(self) -> None:
        histogram = Histogram()
        histogram.record(0.003)
        histogram.record(99)
        sample = Sample(OPENING_SECONDS, histogram=histogram)
        text = await _render(sample)
        name = 'redwingstream_opening_to_answer_seconds'
        assert f'{name}_bucket{{le="0.005"}} 1.0' in text
        assert f'{name}_bucket{{le="+Inf"}} 2.0' in text
        assert f'{name}_count 2.0' in text


class TestHistogram:
    """Counts of durations by bucket."""

    @pytest.mark.parametrize('bound', BOUNDS)
    def test_a_bucket_includes_its_upper_bound(self, bound: float) -> None:
        histogram = Histogram()
        histogram.record(bound)
        count_by_bound = dict(histogram.cumulative_counts())
        assert count_by_bound[str(bound)] == 1
        assert histogram.count == 1


class TestPage:
    """The operators' page of metrics agrees with the families."""

    @pytest.mark.parametrize('family', FAMILIES, ids=lambda family: family.name)
    def test_lists_every_family(self, family) -> None:
        row = f'| `redwingstream_{family.name}` | {family.kind} |'
        assert f'{row} {family.meaning} |' in PAGE.read_text()


async def _render(*samples: Sample) -> str:
    return (await Exposition(lambda: samples).render()).decode()
