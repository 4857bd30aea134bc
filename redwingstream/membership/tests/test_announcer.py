"""How a process becomes a member and stays one."""

import attrs
import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.membership.announcer import (
    SILENCE_LIMIT,
    Announcer,
    SendToControl,
    Vitals,
)
from redwingstream.membership.messages import (
    Announce,
    Challenge,
    Heartbeat,
    HeartbeatAck,
)
from redwingstream.tables.rows import Role

CONTROL = tuple(Endpoint('127.0.0.1', port) for port in (1, 2, 3))
ANNOUNCEMENT = Announce(
    host='carse-1',
    role=Role.AGENT,
    endpoint='127.0.0.2:7000',
    zone='carse',
    pool='sward-live',
    weight=100,
)


def ack(incarnation: int, leader: Endpoint | None) -> HeartbeatAck:
    """Return what a control instance answers."""
    text = '' if leader is None else str(leader)
    return HeartbeatAck(incarnation, 1, text)


def assert_sends(
    sends: list[SendToControl], target: Endpoint, message_class: type
) -> None:
    """Check that one message of a class goes to one control instance."""
    assert [send.endpoint for send in sends] == [target]
    assert isinstance(sends[0].message, message_class)


@pytest.fixture
def announcer() -> Announcer:
    """Return the announcer of a process that has just started."""
    return Announcer(ANNOUNCEMENT, CONTROL)


class TestAnnouncer:
    """From the first word to steady heartbeats."""

    def test_announces_itself_until_admitted(
        self, announcer: Announcer
    ) -> None:
        assert_sends(announcer.tick(0, Vitals(0)), CONTROL[0], Announce)
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[0], 0.5)
        assert_sends(announcer.tick(1, Vitals(0)), CONTROL[0], Heartbeat)

    def test_repeats_the_challenge(self, announcer: Announcer) -> None:
        sends = announcer.on_challenge(Challenge(99), 0)
        expected = attrs.evolve(ANNOUNCEMENT, challenge=99)
        assert sends == [SendToControl(CONTROL[0], expected)]

    def test_goes_to_the_leader_that_a_follower_names(
        self, announcer: Announcer
    ) -> None:
        sends = announcer.on_ack(ack(0, CONTROL[2]), CONTROL[0], 0)
        assert_sends(sends, CONTROL[2], Announce)
        assert announcer.target == CONTROL[2]

    def test_a_follower_does_not_undo_the_membership(
        self, announcer: Announcer
    ) -> None:
        """A replica that is behind makes a member announce itself again.

        A leader admits the process and fails.  The process asks a follower
        that has not applied the entry yet; it says incarnation 0.  If that
        counted, every change of leader would cost a wave of announcements.
        """
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[0], 0)
        announcer.on_ack(ack(0, CONTROL[2]), CONTROL[1], 1)
        assert announcer.incarnation == 7

    def test_announces_itself_again_when_the_leader_has_removed_it(
        self, announcer: Announcer
    ) -> None:
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[0], 0)
        announcer.on_ack(ack(0, CONTROL[0]), CONTROL[0], 1)
        assert_sends(announcer.tick(2, Vitals(0)), CONTROL[0], Announce)

    def test_leaves_a_leader_that_has_gone_silent(
        self, announcer: Announcer
    ) -> None:
        """A leader cut off without a word drags its members out of the view.

        The link to the leader goes silent; the others elect a new one.  The
        member goes on sending heartbeats to the old one, its lease ends, and
        its buckets move although it is well.
        """
        announcer.tick(0, Vitals(0))
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[0], 0)
        sends = announcer.tick(2, Vitals(0))
        assert [send.endpoint for send in sends] == list(CONTROL)
        assert all(isinstance(send.message, Heartbeat) for send in sends)
        announcer.on_ack(ack(7, CONTROL[2]), CONTROL[2], 2)
        assert_sends(announcer.tick(3, Vitals(0)), CONTROL[2], Heartbeat)

    def test_a_follower_that_names_a_dead_leader_is_no_sign_of_life(
        self, announcer: Announcer
    ) -> None:
        """A member drops out of the view when the leader is frozen.

        The followers answer its heartbeats and still name the frozen leader.
        Taken for a sign of life that sent it back there, again and again,
        until the new leader had removed it.
        """
        announcer.tick(0, Vitals(0))
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[0], 0)
        announcer.tick(2, Vitals(0))
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[1], 2)
        sends = announcer.tick(3, Vitals(0))
        assert [send.endpoint for send in sends] == list(CONTROL)

    def test_does_not_try_the_silent_leader_next(
        self, announcer: Announcer
    ) -> None:
        """Healthy servers lose their buckets after a leader was frozen.

        The leader is the second instance of the settings.  The member counts
        on from the first one, comes to the frozen leader again and waits for
        it a second time, longer than its lease.
        """
        announcer.tick(0, Vitals(0))
        announcer.on_ack(ack(7, CONTROL[1]), CONTROL[1], 0)
        sends = announcer.tick(SILENCE_LIMIT + 1, Vitals(0))
        assert [send.endpoint for send in sends] == list(CONTROL)

    def test_speaks_at_once_to_a_leader_that_it_hears_of(
        self, announcer: Announcer
    ) -> None:
        """Healthy servers lose their buckets after a leader was frozen.

        A member notices the silence after 2.5 s, at its next beat, and asks a
        follower.  That one names the new leader, whose lease for a member that
        it has never heard ended before the beat after.
        """
        announcer.tick(0, Vitals(0))
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[0], 0)
        announcer.tick(SILENCE_LIMIT + 0.5, Vitals(revision=5))
        sends = announcer.on_ack(ack(7, CONTROL[2]), CONTROL[1], 3)
        assert_sends(sends, CONTROL[2], Heartbeat)
        assert sends[0].message.revision == 5
        again = announcer.on_ack(ack(7, CONTROL[2]), CONTROL[1], 3)
        assert not again

    def test_leaves_a_control_instance_that_knows_no_leader(
        self, announcer: Announcer
    ) -> None:
        """Every server drops out of its pool while one instance is cut off.

        A partition cuts the first control instance off from the other two,
        but not from the members.  It steps down and answers each heartbeat
        without a leader; the others elect one, which hears of no member, as
        an answer of any kind counted as a sign of a working control group.
        """
        announcer.tick(0, Vitals(0))
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[0], 0)
        announcer.tick(1, Vitals(0))
        assert not announcer.on_ack(ack(7, None), CONTROL[0], 1)
        sends = announcer.tick(2, Vitals(0))
        assert [send.endpoint for send in sends] == list(CONTROL)
        announcer.on_ack(ack(7, CONTROL[2]), CONTROL[1], 2)
        assert announcer.target == CONTROL[2]

    def test_is_cut_off_while_nobody_knows_a_leader(
        self, announcer: Announcer
    ) -> None:
        """A zone taken out goes on being served by a balancer.

        The only control instance that it reaches is cut off from the others.
        It answers, so that the balancer does not ask its peers, which know
        of the zone.
        """
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[0], 0)
        now = float()
        while now <= SILENCE_LIMIT + 1:
            now += 1
            announcer.tick(now, Vitals(0))
            announcer.on_ack(ack(7, None), announcer.target, now)
        assert announcer.is_cut_off(now)

    def test_heartbeat_carries_the_vitals(self, announcer: Announcer) -> None:
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[0], 0)
        announcer.leaving = True
        vitals = Vitals(
            revision=5, settled_view=4, in_flight=3, flows=2, limit=1
        )
        sends = announcer.tick(1, vitals)
        assert sends[0].message == Heartbeat(
            host='carse-1',
            incarnation=7,
            leaving=True,
            **attrs.asdict(vitals),
        )
