"""Service for members: they are admitted, kept, drained and removed."""

import random

import attrs
import pytest

from redwingstream.control.members import MemberService
from redwingstream.control.tests.fakes import Fleet
from redwingstream.membership.leases import DEFAULT_LEASE
from redwingstream.membership.messages import (
    Announce,
    Challenge,
    Heartbeat,
    HeartbeatAck,
)
from redwingstream.tables.edits import (
    ChangeRequest,
    Edits,
    SetPool,
)
from redwingstream.tables.machine.state import MachineState
from redwingstream.tables.rows import Pool, Role

MANY = 300
POOL = SetPool(Pool('sward-live', ('sward-*',)))


class LeaderHarness:
    """A group of replicas, and the service for members at its leader."""

    def __init__(self) -> None:
        self.fleet = Fleet(seed=5).form_group()
        self.leader = self.fleet.leader()
        request = ChangeRequest('r', 0, Edits(set_pools=(POOL,)))
        self.fleet.propose(self.leader.name, request)
        self.fleet.pass_ticks(5)
        self.service = self.make_service(self.leader)

    def make_service(self, node) -> MemberService:
        """Return a service for members at a replica."""
        return MemberService(
            node.replica,
            DEFAULT_LEASE,
            random.Random(0),
            lambda: self.fleet.now,
        )

    def announce(self, announce: Announce, boot: int) -> list[object]:
        """Announce once; return a list that later answers are added to."""
        answers: list[object] = []
        self.service.on_announce(announce, boot, answers.append)
        return answers

    def admit(self, host: str, boot: int = 1) -> HeartbeatAck:
        """Announce, answer the challenge and wait for the admission."""
        announce = Announce(
            host, Role.AGENT, '127.0.0.1:1', 'carse', 'sward-live', 100
        )
        challenge = self.announce(announce, boot)[0]
        assert isinstance(challenge, Challenge)
        again = attrs.evolve(announce, challenge=challenge.challenge)
        answers = self.announce(again, boot)
        self.fleet.pass_ticks(4)
        return answers[0]

    def send_heartbeat(self, beat: Heartbeat, boot: int = 1) -> HeartbeatAck:
        """Send a heartbeat."""
        answers: list[HeartbeatAck] = []
        self.service.on_heartbeat(beat, boot, answers.append)
        return answers[0]

    def run_for(self, seconds: float, *beats: Heartbeat) -> None:
        """Let time pass while some members send heartbeats."""
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            for beat in beats:
                self.send_heartbeat(beat)
            self.service.on_tick()
            self.fleet.pass_ticks(2)

    def state(self) -> MachineState:
        """Return the state that the leader has applied."""
        return self.leader.replica.machine.state

    def last_index(self) -> int:
        """Return the index of the leader's last entry."""
        consensus = self.leader.replica.consensus
        return consensus.log.last_index

    @property
    def members(self) -> set[str]:
        """Hosts that are members."""
        return set(self.state().member_by_host)


@pytest.fixture
def harness() -> LeaderHarness:
    """A leader whose pool admits sward-*."""
    return LeaderHarness()


class TestMemberService:
    """Answers to members, and the commands that follow."""

    def test_a_silent_member_is_removed(self, harness: LeaderHarness) -> None:
        first = harness.admit('sward-1')
        harness.admit('sward-2')
        beat = Heartbeat('sward-1', first.incarnation, 0)
        harness.run_for(DEFAULT_LEASE + 1, beat)
        assert harness.members == {'sward-1'}

    def test_a_leaving_member_drains(self, harness: LeaderHarness) -> None:
        ack = harness.admit('sward-1')
        beat = Heartbeat('sward-1', ack.incarnation, 0, leaving=True)
        harness.run_for(1, beat)
        state = harness.state()
        assert state.member_by_host['sward-1'].draining
        assert state.view_by_pool['sward-live'].members == ()

    def test_views_settle(self, harness: LeaderHarness) -> None:
        one, two = harness.admit('sward-1'), harness.admit('sward-2')
        state = harness.state()
        number = state.view_by_pool['sward-live'].number
        assert state.view_by_pool['sward-live'].unsettled
        harness.run_for(
            1,
            Heartbeat('sward-1', one.incarnation, 0, settled_view=number),
            Heartbeat('sward-2', two.incarnation, 0, settled_view=number),
        )
        assert not state.view_by_pool['sward-live'].unsettled

    def test_a_host_that_is_not_admitted_is_told_why(
        self, harness: LeaderHarness
    ) -> None:
        ack = harness.admit('cover-1')
        assert ack.incarnation > 0
        assert 'sward-*' in ack.reason

    @pytest.mark.parametrize(
        ('field', 'met'),
        [
            ({'host': 'h' * 50000}, '50000'),
            ({'weight': 0}, '0'),
            ({'endpoint': 'nowhere:1'}, 'nowhere'),
            ({'endpoint': '0.0.0.0:7000'}, '0.0.0.0'),
        ],
    )
    def test_a_malformed_announcement_is_no_entry(
        self, harness: LeaderHarness, field: dict[str, object], met: str
    ) -> None:
        """A wrong setting of one process must not block all changes.

        A process announces itself with a name that fits its own frame, but not
        the frame in which the entry is sent to the other replicas.
        """
        announce = attrs.evolve(
            Announce('h', Role.AGENT, '127.0.0.1:1', 'carse', 'p', 100),
            **field,
        )
        answers = harness.announce(announce, boot=1)
        assert answers[0].incarnation == 0
        assert met in answers[0].reason

    def test_an_unknown_run_has_to_announce_itself(
        self, harness: LeaderHarness
    ) -> None:
        ack = harness.admit('sward-1')
        beat = Heartbeat('sward-1', ack.incarnation, 0)
        assert harness.send_heartbeat(beat, boot=2).incarnation == 0
        assert (
            harness.send_heartbeat(Heartbeat('sward-9', 3, 0)).incarnation == 0
        )

    def test_a_follower_names_the_leader(self, harness: LeaderHarness) -> None:
        ack = harness.admit('sward-1')
        harness.fleet.pass_ticks(4)
        follower = next(
            node for node in harness.fleet.nodes if node is not harness.leader
        )
        harness.service = harness.make_service(follower)
        answer = harness.send_heartbeat(
            Heartbeat('sward-1', ack.incarnation, 0)
        )
        assert answer.leader == harness.leader.name
        assert answer.incarnation == ack.incarnation

    def test_a_new_leader_keeps_hundreds_of_members(
        self, harness: LeaderHarness
    ) -> None:
        """A change of leader must neither drop nor readmit the members.

        Hundreds of members send heartbeats to a leader that has just been
        elected.  They keep their incarnations, and nothing is proposed.
        """
        acks = [harness.admit(f'sward-{number}') for number in range(MANY)]
        harness.leader.crash()
        harness.fleet.pass_ticks(60)
        harness.leader = harness.fleet.leader()
        harness.service = harness.make_service(harness.leader)
        before = harness.last_index()
        for number, ack in enumerate(acks):
            beat = Heartbeat(f'sward-{number}', ack.incarnation, 0)
            assert harness.send_heartbeat(beat).incarnation == ack.incarnation
        harness.service.on_tick()
        assert harness.last_index() == before
        assert len(harness.members) == MANY

    def test_without_a_majority_commands_do_not_accumulate(
        self, harness: LeaderHarness
    ) -> None:
        """A leader without followers must not fill its disk with removals.

        It has lost its followers but has not noticed it yet, and a member is
        silent.  The removal is proposed once, not at each tick.
        """
        first = harness.admit('sward-1')
        harness.admit('sward-2')
        beat = Heartbeat('sward-1', first.incarnation, 0)
        harness.run_for(DEFAULT_LEASE - 0.5, beat)
        before = harness.last_index()
        for _ in range(30):
            harness.fleet.now += 0.05
            harness.send_heartbeat(beat)
            harness.service.on_tick()
        assert harness.last_index() == before + 1
