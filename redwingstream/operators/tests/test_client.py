"""Tests of finding the leader, changing the tables and waiting."""

import pytest

from redwingstream.errors import (
    CallFailedError,
    ChangeRefusedError,
    ResultCode,
)
from redwingstream.operators.client import ControlClient, LaggingProcess
from redwingstream.operators.tests.fakes import AGENT, CONTROL, FakeFleet
from redwingstream.tables.edits import (
    Edits,
    SetZone,
)
from redwingstream.tables.rows import ZoneMark

EDITS = Edits(set_zones=(SetZone(ZoneMark('carse', out=True)),))


def make_client(fleet):
    return ControlClient(fleet, CONTROL, timeout=10)


@pytest.mark.looptime
class TestLeader:
    async def test_asks_leader_named_in_refusal(self):
        fleet = FakeFleet(leader=CONTROL[2], named=CONTROL[2])
        read = await make_client(fleet).read_tables()
        assert read.config_revision == 7
        assert fleet.asked == [CONTROL[0], CONTROL[2]]

    async def test_finds_leader_in_the_middle_of_a_refusal(self):
        # A replica names the leader in the middle of its refusal.  A search
        # at the end of the text only would cost one attempt more.
        text = f'this replica does not lead; {CONTROL[2]} does'
        fleet = FakeFleet(leader=CONTROL[2], refusal=text)
        await make_client(fleet).read_tables()
        assert fleet.asked == [CONTROL[0], CONTROL[2]]

    async def test_asks_next_instance_if_no_leader_is_named(self):
        fleet = FakeFleet(leader=CONTROL[2], named=None)
        await make_client(fleet).read_tables()
        assert fleet.asked == list(CONTROL)

    async def test_former_leader_named(self):
        # One instance is cut off, and those that answer still name it as the
        # leader; the real leader is the third.  The tool must not alternate
        # between the first two.
        fleet = FakeFleet(
            leader=CONTROL[2], named=CONTROL[1], silent={CONTROL[1]}
        )
        await make_client(fleet).read_tables()
        assert fleet.asked[-1] == CONTROL[2]

    async def test_gives_up_after_timeout(self):
        fleet = FakeFleet(silent=set(CONTROL))
        with pytest.raises(CallFailedError) as caught:
            await make_client(fleet).read_tables()
        assert caught.value.code is ResultCode.TIMED_OUT
        assert set(fleet.asked) == set(CONTROL)


@pytest.mark.looptime
class TestChange:
    async def test_answer_names_the_revision(self):
        fleet = FakeFleet()
        answer = await make_client(fleet).change(EDITS, based_on=7)
        assert answer.revision == 8
        assert fleet.accepted[0].edits == EDITS

    async def test_lost_answer_makes_no_second_change(self):
        # The change is accepted, its answer is lost, and the tool repeats it.
        # With a new request id the repeat would conflict with the change
        # itself, and look like a conflict with another operator's change.
        fleet = FakeFleet(lost_answers=2)
        answer = await make_client(fleet).change(EDITS, based_on=7)
        assert answer.revision == 8
        assert len(fleet.accepted) == 1

    async def test_names_the_request_id_when_it_gives_up(self):
        fleet = FakeFleet(lost_answers=100)
        with pytest.raises(CallFailedError) as caught:
            await make_client(fleet).change(EDITS, 7, request_id='abc')
        assert '--request-id abc --based-on 7' in str(caught.value)

    async def test_conflict_names_the_current_revision(self):
        fleet = FakeFleet()
        with pytest.raises(ChangeRefusedError, match='revision 7') as caught:
            await make_client(fleet).change(EDITS, based_on=6)
        assert caught.value.code is ResultCode.CONFLICT


@pytest.mark.looptime
class TestWaitInForce:
    async def test_no_process_lags(self):
        client = make_client(FakeFleet())
        assert await client.wait_in_force(7, (*CONTROL, AGENT)) == ()

    async def test_returns_lagging_and_silent_processes(self):
        fleet = FakeFleet(silent={CONTROL[1]}, agent_revision=6)
        lagging = await make_client(fleet).wait_in_force(7, (*CONTROL, AGENT))
        assert lagging == (
            LaggingProcess(CONTROL[1], None),
            LaggingProcess(AGENT, 6),
        )
