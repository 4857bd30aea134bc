"""Announcements and heartbeats of a process."""

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
    """Return the answer of a control instance."""
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
    """A process announces itself, is admitted and sends heartbeats."""

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
        """A replica that lags behind would make a member announce itself again.

        A leader admits the process and fails.  A follower that has not applied
        the entry yet answers with incarnation 0.  If that counted, every
        change of leader would cause all members to announce themselves.
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
        """A healthy member would be removed from the view.

        The link to the leader fails, and the other instances elect a new
        leader.  If the member sent its heartbeats only to the old one, its
        lease would end and its buckets would move.
        """
        announcer.tick(0, Vitals(0))
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[0], 0)
        sends = announcer.tick(2, Vitals(0))
        assert [send.endpoint for send in sends] == list(CONTROL)
        assert all(isinstance(send.message, Heartbeat) for send in sends)
        announcer.on_ack(ack(7, CONTROL[2]), CONTROL[2], 2)
        assert_sends(announcer.tick(3, Vitals(0)), CONTROL[2], Heartbeat)

    def test_a_follower_that_names_a_dead_leader_does_not_count(
        self, announcer: Announcer
    ) -> None:
        """A healthy member would be removed when the leader is frozen.

        The followers answer its heartbeats and still name the frozen leader.
        If that counted as the leader's answer, the member would return to it
        again and again until the new leader removed the member.
        """
        announcer.tick(0, Vitals(0))
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[0], 0)
        announcer.tick(2, Vitals(0))
        announcer.on_ack(ack(7, CONTROL[0]), CONTROL[1], 2)
        sends = announcer.tick(3, Vitals(0))
        assert [send.endpoint for send in sends] == list(CONTROL)

    def test_does_not_wait_for_the_silent_leader_again(
        self, announcer: Announcer
    ) -> None:
        """A healthy member would lose its buckets when the leader is frozen.

        The leader is the second instance of the settings.  If the member tried
        the instances in turn, from the first one, it would come to the frozen
        leader again and wait for it a second time, longer than its lease.
        """
        announcer.tick(0, Vitals(0))
        announcer.on_ack(ack(7, CONTROL[1]), CONTROL[1], 0)
        sends = announcer.tick(SILENCE_LIMIT + 1, Vitals(0))
        assert [send.endpoint for send in sends] == list(CONTROL)

    def test_sends_a_heartbeat_at_once_to_a_newly_named_leader(
        self, announcer: Announcer
    ) -> None:
        """A healthy member would lose its buckets when the leader is frozen.

        The member detects the silence after 2.5 s, at its next heartbeat, and
        a follower names the new leader.  The lease that the new leader grants
        to a member without a heartbeat ends before the heartbeat after that.
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
        """All members would be removed while one instance is cut off.

        A partition cuts the first control instance off from the other two, but
        not from the members.  It steps down and answers each heartbeat without
        a leader.  If that counted as an answer, the new leader of the others
        would receive no heartbeat.
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
        """A balancer would go on sending to a zone that was taken out.

        The only control instance that it reaches is cut off from the others
        and still answers.  If that counted, the balancer would not fetch newer
        tables from its peers.
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
