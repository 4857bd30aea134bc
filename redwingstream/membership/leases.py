"""Leases of the members, and the admission of announced processes.

The leader keeps them in memory only.  Leases only detect failures; safety does
not depend on time, because incarnations and view numbers fence whatever must
not happen twice.
"""

import random
from collections import OrderedDict
from collections.abc import Iterable, Iterator

import attrs

from redwingstream.membership.messages import Announce, Heartbeat
from redwingstream.membership.readmissions import ReadmissionDelays
from redwingstream.tables.machine.messages import (
    AdmitMember,
    LeaveMember,
    RemoveMember,
    SettleView,
)
from redwingstream.tables.rows import Member, PoolView

DEFAULT_LEASE = 3.0
"""Seconds without a heartbeat after which a member is removed."""

MAX_CHALLENGES = 8192
"""Maximum number of hosts with a stored challenge; the oldest is evicted."""

_CHALLENGE_BITS = 63
# Fraction of the lease; a longer time between two checks means that this
# process itself was stopped.
_PAUSE_FRACTION = 0.5


@attrs.frozen
class Challenged:
    """The process has to repeat its announcement with this challenge.

    Parameters
    ----------
    number : int
        Random number of the challenge.
    """

    number: int


@attrs.frozen
class AdmissionGranted:
    """The announcement is accepted; this command makes the process a member.

    Parameters
    ----------
    command : AdmitMember
        Command for the replicated state machine.
    """

    command: AdmitMember


@attrs.frozen
class Admitted:
    """This run is a member already.

    Parameters
    ----------
    member : Member
        Its row in the tables.
    """

    member: Member


@attrs.frozen
class HeldBack:
    """The host was admitted too often; it has to wait.

    Parameters
    ----------
    seconds : float
        Seconds until the host may be admitted.
    """

    seconds: float


@attrs.frozen
class NameTaken:
    """Another process has this host name and is alive.

    Parameters
    ----------
    endpoint : str
        ``IP:PORT`` of that process.
    """

    endpoint: str


AnnounceOutcome = (
    Challenged | AdmissionGranted | Admitted | HeldBack | NameTaken
)


@attrs.frozen
class _Challenge:
    """Challenge of a host that has announced itself once."""

    number: int
    boot: int
    expires_at: float


@attrs.define
class _MemberState:
    """What the heartbeats of one incarnation of a member have reported."""

    incarnation: int
    received_at: float
    settled_view: int = 0


class Leases:
    """Leases of the members while this replica is the leader.

    Parameters
    ----------
    lease : float
        Seconds without a heartbeat after which a member is removed.
    rng : random.Random
        Source of the challenges.
    now : float
        When this replica became leader, in seconds by the event loop's clock.
    """

    def __init__(self, lease: float, rng: random.Random, now: float) -> None:
        self._lease = lease
        self._rng = rng
        # Silence of members before this time does not count.
        self._counted_from = now
        self._last_check_at = now
        self._readmission_delays = ReadmissionDelays()
        self._state_by_host: dict[str, _MemberState] = {}
        self._challenge_by_host: OrderedDict[str, _Challenge] = OrderedDict()

    def on_announce(
        self, announce: Announce, boot: int, known: Member | None, now: float
    ) -> AnnounceOutcome:
        """Handle an announcement.

        Parameters
        ----------
        announce : Announce
            The announcement.
        boot : int
            Random number of the process's run, from the frame.
        known : Member or None
            The member that has the same host name.
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        AnnounceOutcome
            Whether the process is challenged, admitted, delayed or refused.

        Notes
        -----
        Without the challenge, an announcement that the network delayed could
        replace the run that came after it: its frame is authentic and is not a
        duplicate.  A challenge is valid once, for one run and for the duration
        of a lease; the challenge of the next run replaces it.

        A restarted process has the endpoint of its former run.  A process at
        another endpoint whose namesake is alive was given the name by mistake.
        If both were admitted, they would replace each other without end, and
        their buckets would move each time.
        """
        if known is not None and known.boot == boot:
            self._record_sign_of_life(known.host, known.incarnation, now)
            return Admitted(known)
        if known is not None and self._is_alive_elsewhere(known, announce, now):
            return NameTaken(known.endpoint)
        pending = self._challenge_by_host.get(announce.host)
        if not _answers_challenge(pending, announce, boot, now):
            return Challenged(self._challenge_number(announce.host, boot, now))
        delay = self._readmission_delays.admission_delay(announce.host, now)
        if delay > 0:
            return HeldBack(delay)
        self._challenge_by_host.pop(announce.host)
        self._readmission_delays.record_admission(announce.host, now)
        return AdmissionGranted(_admit_command(announce, boot))

    def on_heartbeat(
        self, beat: Heartbeat, boot: int, known: Member | None, now: float
    ) -> bool:
        """Handle a heartbeat; return False when its run is no member."""
        if known is None:
            return False
        if known.boot != boot or known.incarnation != beat.incarnation:
            return False
        state = self._record_sign_of_life(known.host, known.incarnation, now)
        state.settled_view = max(state.settled_view, beat.settled_view)
        return True

    def due_removals(
        self, members: Iterable[Member], now: float
    ) -> list[RemoveMember]:
        """Return the removals of members whose lease has expired.

        Parameters
        ----------
        members : iterable of Member
            All current members.
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        list of RemoveMember
            Commands for the replicated state machine.

        Notes
        -----
        In three cases missing heartbeats do not show that a member has failed:
        this replica has led for less than a lease and may not have received
        any; this process was stopped itself; or this replica is cut off from
        every member.  In the last case a removal of all members would reach
        some of them by other paths and stop traffic that works.
        """
        paused = now - self._last_check_at > self._lease * _PAUSE_FRACTION
        self._last_check_at = now
        if paused:
            self._counted_from = now
        silent: list[RemoveMember] = []
        alive = 0
        for member in members:
            if self._is_silent(member, now):
                silent.append(RemoveMember(member.host, member.incarnation))
            else:
                alive += 1
        return silent if alive else []

    def due_settlements(
        self, views: Iterable[PoolView]
    ) -> Iterator[SettleView]:
        """Yield settle commands for views whose members have all settled.

        Parameters
        ----------
        views : iterable of PoolView
            The newest view of each pool.
        """
        for view in views:
            if view.unsettled and view.members and self._all_settled(view):
                yield SettleView(view.pool, view.number)

    def retain_only(self, hosts: Iterable[str]) -> None:
        """Drop the leases of all hosts but these, the current members."""
        for host in set(self._state_by_host).difference(hosts):
            self._state_by_host.pop(host)

    def _record_sign_of_life(
        self, host: str, incarnation: int, now: float
    ) -> _MemberState:
        state = self._state_by_host.get(host)
        if state is None or state.incarnation != incarnation:
            state = _MemberState(incarnation, now)
            self._state_by_host[host] = state
        state.received_at = now
        return state

    def _is_silent(self, member: Member, now: float) -> bool:
        state = self._state_by_host.get(member.host)
        if state is None or state.incarnation != member.incarnation:
            # The member was admitted and has sent no heartbeat since; its lease
            # begins at the first check that finds this.
            self._start_lease(member, now)
            return False
        return now - max(state.received_at, self._counted_from) > self._lease

    def _is_alive_elsewhere(
        self, known: Member, announce: Announce, now: float
    ) -> bool:
        """Whether a member is alive at another endpoint than the announced."""
        if known.endpoint == announce.endpoint:
            return False
        received_at = self._counted_from
        state = self._state_by_host.get(known.host)
        if state is not None and state.incarnation == known.incarnation:
            received_at = max(received_at, state.received_at)
        return now - received_at <= self._lease

    def _start_lease(self, member: Member, now: float) -> None:
        state = self._record_sign_of_life(member.host, member.incarnation, now)
        state.received_at = now

    def _all_settled(self, view: PoolView) -> bool:
        for member in view.members:
            state = self._state_by_host.get(member.host)
            if state is None or state.incarnation != member.incarnation:
                return False
            if state.settled_view < view.number:
                return False
        return True

    def _challenge_number(self, host: str, boot: int, now: float) -> int:
        pending = self._challenge_by_host.get(host)
        same_run = pending is not None and pending.boot == boot
        if same_run and pending.expires_at > now:
            return pending.number
        number = self._rng.getrandbits(_CHALLENGE_BITS) | 1
        fresh = _Challenge(number, boot, now + self._lease)
        self._challenge_by_host[host] = fresh
        self._challenge_by_host.move_to_end(host)
        if len(self._challenge_by_host) > MAX_CHALLENGES:
            self._challenge_by_host.popitem(last=False)
        return number


def _answers_challenge(
    pending: _Challenge | None, announce: Announce, boot: int, now: float
) -> bool:
    if pending is None or pending.boot != boot:
        return False
    return pending.number == announce.challenge and now < pending.expires_at


def _admit_command(announce: Announce, boot: int) -> AdmitMember:
    return AdmitMember(
        announce.host,
        announce.role,
        announce.endpoint,
        announce.zone,
        announce.pool,
        announce.weight,
        boot,
    )


def leave_command(member: Member) -> LeaveMember | None:
    """Return the command to drain a member; None when it drains already."""
    if member.draining:
        return None
    return LeaveMember(member.host, member.incarnation)
