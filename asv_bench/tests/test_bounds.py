"""Regression bounds: counts that are the same in each run.

Times are ratios and stay in the benchmarks.  Each bound is the count measured
when it was written plus room for longer numbers; a change that needs more says
in its commit why.
"""

import pytest

from asv_bench import control_changes, fitting, handoff, heartbeats, memory
from asv_bench.fleets import Fleet, FleetShape
from redwingstream.forwarding.messages import Answer, LoadReport, Packet
from redwingstream.placement.messages import BucketContents, Record
from redwingstream.requests.records import (
    LedgerEntry,
    RequestKey,
    RequestState,
)
from redwingstream.wire.frames import FrameCodec

KEY = b'k' * 32
CALLER = '10.77.200.100:40000'
SERVICE = '10.9.100.100:5683'
PAYLOAD = bytes(40)


def frame_bytes(message: object) -> int:
    """Return the bytes of the frame that carries a message."""
    return len(FrameCodec(KEY).seal(message))


class TestFrames:
    """Bytes on the wire."""

    def test_a_packet_adds_at_most_190_bytes(self) -> None:
        packet = Packet(
            'cover-reports',
            1 << 20,
            CALLER,
            SERVICE,
            '10.2.0.100:7000',
            PAYLOAD,
        )
        assert frame_bytes(packet) - len(PAYLOAD) <= 190

    def test_an_answer_adds_at_most_130_bytes(self) -> None:
        answer = Answer(1 << 20, CALLER, SERVICE, PAYLOAD)
        assert frame_bytes(answer) - len(PAYLOAD) <= 130

    def test_a_load_report_has_at_most_120_bytes(self) -> None:
        report = LoadReport('cover-reports-12', 1 << 20, 8, 8, 2000)
        assert frame_bytes(report) <= 120

    def test_a_record_of_one_request_has_at_most_380_bytes(self) -> None:
        key = RequestKey(CALLER, SERVICE, 65535, bytes(8))
        entry = LedgerEntry(key, bytes(16), RequestState.STARTED)
        record = Record(
            'cover-reports',
            1 << 20,
            63,
            1 << 20,
            1 << 20,
            BucketContents(entries=(entry,)),
        )
        assert frame_bytes(record) <= 380

    def test_a_heartbeat_and_its_answer_do_not_grow_with_the_fleet(
        self,
    ) -> None:
        costs = [heartbeats.measure(agents) for agents in (20, 80, 320)]
        assert max(cost.bytes_in for cost in costs) <= 140
        assert max(cost.bytes_out for cost in costs) <= 100


@pytest.fixture(scope='module')
def costs() -> dict[int, dict[str, control_changes.ChangeCost]]:
    """Changes at three sizes, by the number of agents."""
    return {size: control_changes.measure(size) for size in (40, 80, 160)}


class TestChanges:
    """Rows and bytes that every process fetches for a change."""

    @pytest.mark.parametrize(
        ('change', 'rows', 'most'),
        [
            ('route set', 1, 180),
            ('pool set', 1, 170),
            ('balancer restarted', 1, 250),
            ('agent restarted', 2, 1000),
            ('agent removed', 2, 800),
        ],
    )
    def test_the_change_of_a_row_does_not_grow_with_the_fleet(
        self,
        costs: dict[int, dict[str, control_changes.ChangeCost]],
        change: str,
        rows: int,
        most: int,
    ) -> None:
        for by_change in costs.values():
            assert by_change[change].rows == rows
            assert by_change[change].update_bytes <= most

    def test_a_zone_mark_changes_each_pool_of_the_zone_once(
        self, costs: dict[int, dict[str, control_changes.ChangeCost]]
    ) -> None:
        for agents, by_change in costs.items():
            pools = FleetShape.of_agents(agents).pools
            assert by_change['zone out'].rows <= pools + 1
            assert by_change['zone out'].update_bytes <= 100 + 640 * pools

    def test_a_process_that_is_up_to_date_fetches_no_row(self) -> None:
        fleet = Fleet(FleetShape.of_agents(20))
        follower = control_changes.Follower()
        follower.take(fleet.machine.update_since(0))
        update = fleet.machine.update_since(follower.tables.revision)
        assert frame_bytes(update) <= 120


class TestHandoff:
    """Work in proportion to the buckets that move."""

    def test_one_of_eight_that_joins_takes_its_share_of_buckets(self) -> None:
        assert handoff.measure(7, 8, 100).moved <= handoff.BUCKETS // 5

    def test_one_of_eight_that_leaves_gives_only_its_own(self) -> None:
        assert handoff.measure(8, 7, 100).moved <= handoff.BUCKETS // 5

    def test_frames_are_two_a_bucket_and_two_a_taken_one(self) -> None:
        count = handoff.measure(7, 8, 100)
        both = 2 * handoff.BUCKETS + 2 * count.moved
        assert count.frames <= both

    def test_bytes_grow_with_the_contents_by_at_most_150_a_flow(self) -> None:
        sizes = (100, 200, 400)
        levels = [handoff.measure(7, 8, size).frame_bytes for size in sizes]
        assert fitting.fit(sizes, levels).per_item <= 150


class TestMemory:
    """Bytes that are held for one more of a thing."""

    @pytest.mark.parametrize(
        ('make', 'most'),
        [
            (memory.placements, 480),
            (memory.feeds, 720),
            (memory.ledger, 800),
            (memory.routes, 360),
            (memory.windows, 260),
            (memory.full_windows, 900),
        ],
    )
    def test_one_more_takes_at_most(
        self, make: memory.Maker, most: int
    ) -> None:
        sizes = (250, 500, 1000)
        levels = [memory.bytes_of(make, size) for size in sizes]
        assert fitting.fit(sizes, levels).per_item <= most

    def test_a_balancer_keeps_nothing_of_callers(self) -> None:
        """Memory of a balancer must not grow with the flows that it meets.

        The fabric sprays, so each balancer meets every flow.  Caches of
        headers and endpoints grew to 43 MB before they were full, and were
        of no use then.
        """
        sizes = (500, 1000, 2000)
        memory.callers_met(sizes[0])
        levels = [memory.bytes_of(memory.callers_met, size) for size in sizes]
        assert fitting.fit(sizes, levels).per_item <= 1


class TestFit:
    """Slopes by least squares."""

    def test_finds_the_line(self) -> None:
        line = fitting.fit((1, 2, 4), (5, 7, 11))
        assert line.per_item == pytest.approx(2)
        assert line.at(10) == pytest.approx(23)
        assert line.r_squared == pytest.approx(1)

    def test_two_sizes_are_no_slope(self) -> None:
        with pytest.raises(ValueError, match='3 or more'):
            fitting.fit((1, 2, 2), (5, 7, 7))
