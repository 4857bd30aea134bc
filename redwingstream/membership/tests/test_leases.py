"""Announcements, leases and delayed readmissions."""

import random

import attrs
import pytest

from redwingstream.membership.leases import (
    AdmissionGranted,
    Admitted,
    Challenged,
    HeldBack,
    Leases,
    NameTaken,
)
from redwingstream.membership.messages import Announce, Heartbeat
from redwingstream.membership.readmissions import (
    HISTORY_TIMEOUT,
    ReadmissionDelays,
)
from redwingstream.tables.machine.messages import RemoveMember, SettleView
from redwingstream.tables.rows import (
    EarlierView,
    Member,
    PoolView,
    Role,
    ViewMember,
)

LEASE = 3.0
ANNOUNCE = Announce('h1', Role.AGENT, '127.0.0.1:1', 'carse', 'p', 100)


def make_member(host: str, incarnation: int = 5, boot: int = 1) -> Member:
    """Return a member."""
    return Member(host, Role.AGENT, incarnation, boot, '127.0.0.1:1', 'carse')


ONE = make_member('h1')
TWO = make_member('h2')


@pytest.fixture
def leases() -> Leases:
    """Return leases of a replica that became leader at 100 s."""
    return Leases(LEASE, random.Random(0), now=100)


def announce(leases: Leases, boot: int, now: float) -> object:
    """Announce a run in two steps and return the second outcome."""
    outcome = leases.on_announce(ANNOUNCE, boot, None, now)
    repeated = attrs.evolve(ANNOUNCE, challenge=outcome.number)
    return leases.on_announce(repeated, boot, None, now)


def run_until(leases: Leases, end: float, alive: tuple[Member, ...]) -> list:
    """Return the removals, checked every 0.1 s from 100 s on.

    The members in `alive` send a heartbeat before each check.
    """
    removals = []
    for step in range(int((end - 100) * 10) + 1):
        now = 100 + step / 10
        for member in alive:
            beat = Heartbeat(member.host, member.incarnation, 0)
            assert leases.on_heartbeat(beat, member.boot, member, now)
        removals += leases.due_removals((ONE, TWO), now)
    return removals


class TestAnnouncing:
    """Only a run that is alive at the time becomes a member."""

    def test_takes_two_steps(self, leases: Leases) -> None:
        outcome = announce(leases, boot=7, now=101)
        assert isinstance(outcome, AdmissionGranted)
        assert outcome.command.boot == 7

    def test_a_lost_challenge_is_repeated(self, leases: Leases) -> None:
        first = leases.on_announce(ANNOUNCE, 7, None, 101)
        assert leases.on_announce(ANNOUNCE, 7, None, 101.5) == first

    def test_a_late_announcement_does_not_replace_the_next_run(
        self, leases: Leases
    ) -> None:
        """Packets would be sent to a run that has ended.

        The network delays the second announcement of a run.  The process
        restarts, and the next run requests its challenge.  Then the delayed
        announcement arrives.
        """
        old = leases.on_announce(ANNOUNCE, 7, None, 101)
        leases.on_announce(ANNOUNCE, 8, None, 101.5)
        late = attrs.evolve(ANNOUNCE, challenge=old.number)
        outcome = leases.on_announce(late, 7, None, 102)
        assert isinstance(outcome, Challenged)

    def test_a_challenge_expires_after_a_lease(self, leases: Leases) -> None:
        old = leases.on_announce(ANNOUNCE, 7, None, 101)
        late = attrs.evolve(ANNOUNCE, challenge=old.number)
        outcome = leases.on_announce(late, 7, None, 101 + LEASE)
        assert isinstance(outcome, Challenged)

    def test_a_run_that_is_a_member_needs_no_challenge(
        self, leases: Leases
    ) -> None:
        assert leases.on_announce(ANNOUNCE, 1, ONE, 101) == Admitted(ONE)

    def test_a_flapping_host_waits_longer_each_time(self) -> None:
        """The load of healthy servers would change every few seconds.

        A process starts and dies repeatedly; each time buckets of its pool
        move to it and back.
        """
        leases = Leases(LEASE, random.Random(0), now=0)
        now: float = 0
        admitted_at = []
        for boot in range(4000):
            if isinstance(announce(leases, boot, now), AdmissionGranted):
                admitted_at.append(now)
            now += 0.25
        gaps = [
            late - early for early, late in zip(admitted_at, admitted_at[1:])
        ]
        assert gaps[:6] == [0.25, 0.25, 2, 4, 8, 16]
        assert max(gaps) == 120

    def test_a_name_in_use_is_not_taken_over(self, leases: Leases) -> None:
        """All feeds of two servers would break again and again.

        A second process is configured with the host name of another one.  If
        each replaced the other, the other's next heartbeat would be refused
        and it would announce itself again; operators would not be told.
        """
        beat = Heartbeat(ONE.host, ONE.incarnation, 0)
        leases.on_heartbeat(beat, ONE.boot, ONE, 110)
        other = attrs.evolve(ANNOUNCE, endpoint='127.0.0.9:1')
        taken = leases.on_announce(other, 7, ONE, 110 + LEASE)
        assert taken == NameTaken(ONE.endpoint)
        restarted = leases.on_announce(ANNOUNCE, 7, ONE, 110 + LEASE)
        assert isinstance(restarted, Challenged)

    def test_a_host_may_move_once_its_former_run_is_silent(
        self, leases: Leases
    ) -> None:
        beat = Heartbeat(ONE.host, ONE.incarnation, 0)
        leases.on_heartbeat(beat, ONE.boot, ONE, 110)
        moved = attrs.evolve(ANNOUNCE, endpoint='127.0.0.9:1')
        outcome = leases.on_announce(moved, 7, ONE, 110.1 + LEASE)
        assert isinstance(outcome, Challenged)

    def test_history_expires(self) -> None:
        delays = ReadmissionDelays()
        for now in range(10):
            delays.record_admission('h1', now)
        assert delays.admission_delay('h1', 10) > 0
        assert delays.admission_delay('h1', 10 + HISTORY_TIMEOUT) == 0

    def test_a_delayed_host_is_told_the_remaining_seconds(
        self, leases: Leases
    ) -> None:
        for boot in range(3):
            announce(leases, boot, 101)
        assert announce(leases, 9, 101) == HeldBack(2)


class TestExpiry:
    """A silent member is distinguished from faults of this replica."""

    def test_removes_a_silent_member(self, leases: Leases) -> None:
        assert set(run_until(leases, 104, alive=(TWO,))) == {
            RemoveMember('h1', 5),
        }

    def test_keeps_members_until_it_has_led_for_a_lease(
        self, leases: Leases
    ) -> None:
        """All feeds would break after each change of leader.

        A new leader has received no heartbeat yet, which does not mean that
        the members are silent.
        """
        assert run_until(leases, 103, alive=(TWO,)) == []

    def test_keeps_members_after_it_was_stopped_itself(
        self, leases: Leases
    ) -> None:
        """A single control instance would remove all members after a pause.

        The instance is stopped for a minute.  By its clock all members were
        silent for that minute, although all kept sending heartbeats.
        """
        run_until(leases, 110, alive=(ONE, TWO))
        assert leases.due_removals((ONE, TWO), 170) == []
        beat = Heartbeat('h2', TWO.incarnation, 0)
        leases.on_heartbeat(beat, TWO.boot, TWO, 170.1)
        assert leases.due_removals((ONE, TWO), 170.2) == []

    def test_keeps_members_when_all_are_silent(self, leases: Leases) -> None:
        """Working traffic would stop because the leader is cut off.

        The leader's own link fails, so that it receives no heartbeat at all.
        """
        assert run_until(leases, 130, alive=()) == []

    def test_a_former_run_does_not_renew_the_lease(
        self, leases: Leases
    ) -> None:
        old_run = Heartbeat('h1', 4, 0)
        assert not leases.on_heartbeat(old_run, 1, ONE, 101)
        other_boot = Heartbeat('h1', 5, 0)
        assert not leases.on_heartbeat(other_boot, 2, ONE, 101)


class TestSettling:
    """A view is settled when each of its members has reported it settled."""

    def test_waits_for_every_member(self, leases: Leases) -> None:
        members = tuple(
            ViewMember(host, 5, '127.0.0.1:1', 'carse') for host in ('h1', 'h2')
        )
        earlier = EarlierView(3, members[:1])
        view = PoolView('p', 9, members, (earlier,))
        for member, settled in ((ONE, 9), (TWO, 8)):
            beat = Heartbeat(member.host, 5, 0, settled_view=settled)
            leases.on_heartbeat(beat, 1, member, 101)
        assert list(leases.due_settlements([view])) == []
        beat = Heartbeat('h2', 5, 0, settled_view=9)
        leases.on_heartbeat(beat, 1, TWO, 102)
        assert list(leases.due_settlements([view])) == [SettleView('p', 9)]
