"""Who of the members is alive, as the leader sees it.

Kept by the leader in memory only.  Times only detect: what must not happen
twice is fenced by incarnations and view numbers.
"""

import random
from collections import OrderedDict
from collections.abc import Iterable, Iterator

import attrs

from redwingstream.membership.messages import Announce, Heartbeat
from redwingstream.membership.returns import Returns
from redwingstream.tables.machine.messages import (
    AdmitMember,
    LeaveMember,
    RemoveMember,
    SettleView,
)
from redwingstream.tables.rows import Member, PoolView

DEFAULT_LEASE = 3.0
"""Seconds of silence after which a member is removed."""

MAX_CHALLENGES = 8192
"""Hosts whose challenge is remembered at most; the oldest go first."""

_CHALLENGE_BITS = 63
# Part of the lease that may pass between two looks before this process counts
# as having been stopped itself.
_PAUSE_SHARE = 0.5


@attrs.frozen
class Challenged:
    """The process has to repeat its announcement with this number."""

    number: int


@attrs.frozen
class AdmissionGranted:
    """The announcement is good; this command makes it a member."""

    command: AdmitMember


@attrs.frozen
class Admitted:
    """This run is a member already."""

    member: Member


@attrs.frozen
class HeldBack:
    """The host returns too often; seconds until it may."""

    seconds: float


@attrs.frozen
class NameTaken:
    """Another process has this host name, and is alive at its endpoint."""

    endpoint: str


AnnounceOutcome = (
    Challenged | AdmissionGranted | Admitted | HeldBack | NameTaken
)


@attrs.frozen
class _Challenge:
    number: int
    boot: int
    expires_at: float


@attrs.define
class _Report:
    incarnation: int
    heard_at: float
    settled_view: int = 0


class Leases:
    """Leases of the members, for the time that this replica leads.

    Parameters
    ----------
    lease : float
        Seconds of silence after which a member is removed.
    rng : random.Random
        Draws challenges.
    now : float
        When this replica became leader.
    """

    def __init__(self, lease: float, rng: random.Random, now: float) -> None:
        self._lease = lease
        self._rng = rng
        self._since = now
        self._looked_at = now
        self._returns = Returns()
        self._report_by_host: dict[str, _Report] = {}
        self._challenge_by_host: OrderedDict[str, _Challenge] = OrderedDict()

    def on_announce(
        self, announce: Announce, boot: int, known: Member | None, now: float
    ) -> AnnounceOutcome:
        """Take an announcement.

        Parameters
        ----------
        announce : Announce
            What the process says of itself.
        boot : int
            Its run, from the frame.
        known : Member or None
            The member of its host's name.
        now : float
            Seconds.

        Notes
        -----
        Without the challenge an announcement that the network held back
        could replace the run that came after it: its frame is authentic and
        was never seen.  A challenge is good once, for one run and for the
        time of a lease, and the next run's challenge replaces it.

        A restarted process has the endpoint of its former run.  Another one
        that is alive under the same name was given it by mistake; the two
        would take each other's place for ever, and move their buckets each
        time.
        """
        if known is not None and known.boot == boot:
            self._hear(known.host, known.incarnation, now)
            return Admitted(known)
        if known is not None and self._is_elsewhere(known, announce, now):
            return NameTaken(known.endpoint)
        pending = self._challenge_by_host.get(announce.host)
        if not _is_met(pending, announce, boot, now):
            return Challenged(self._challenge(announce.host, boot, now))
        wait = self._returns.wait_of(announce.host, now)
        if wait > 0:
            return HeldBack(wait)
        self._challenge_by_host.pop(announce.host)
        self._returns.note(announce.host, now)
        return AdmissionGranted(_command(announce, boot))

    def on_heartbeat(
        self, beat: Heartbeat, boot: int, known: Member | None, now: float
    ) -> bool:
        """Take a sign of life; return False when it is of no member's run."""
        if known is None:
            return False
        if known.boot != boot or known.incarnation != beat.incarnation:
            return False
        report = self._hear(known.host, known.incarnation, now)
        report.settled_view = max(report.settled_view, beat.settled_view)
        return True

    def due_removals(
        self, members: Iterable[Member], now: float
    ) -> list[RemoveMember]:
        """Return the removals of members whose lease has run out.

        Notes
        -----
        Three things must not be taken for a member's silence: that this
        replica has led for less than a lease and could not have heard it;
        that this process was stopped itself; and that this replica is cut
        off from every member.  In the last case a removal of all would
        reach some by other ways and stop traffic that works.
        """
        paused = now - self._looked_at > self._lease * _PAUSE_SHARE
        self._looked_at = now
        if paused:
            self._since = now
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
        """Yield the views whose members all hold their buckets."""
        for view in views:
            if view.unsettled and view.members and self._all_settled(view):
                yield SettleView(view.pool, view.number)

    def retain_only(self, hosts: Iterable[str]) -> None:
        """Drop what is known of hosts that are no members any more."""
        for host in set(self._report_by_host).difference(hosts):
            self._report_by_host.pop(host)

    def _hear(self, host: str, incarnation: int, now: float) -> _Report:
        report = self._report_by_host.get(host)
        if report is None or report.incarnation != incarnation:
            report = _Report(incarnation, now)
            self._report_by_host[host] = report
        report.heard_at = now
        return report

    def _is_silent(self, member: Member, now: float) -> bool:
        report = self._report_by_host.get(member.host)
        if report is None or report.incarnation != member.incarnation:
            # Admitted, and not heard since: its lease begins when this is
            # first seen.
            self._hear_first(member, now)
            return False
        return now - max(report.heard_at, self._since) > self._lease

    def _is_elsewhere(
        self, known: Member, announce: Announce, now: float
    ) -> bool:
        """Whether the member of a name is alive at another endpoint."""
        if known.endpoint == announce.endpoint:
            return False
        heard_at = self._since
        report = self._report_by_host.get(known.host)
        if report is not None and report.incarnation == known.incarnation:
            heard_at = max(heard_at, report.heard_at)
        return now - heard_at <= self._lease

    def _hear_first(self, member: Member, now: float) -> None:
        report = self._hear(member.host, member.incarnation, now)
        report.heard_at = now

    def _all_settled(self, view: PoolView) -> bool:
        for member in view.members:
            report = self._report_by_host.get(member.host)
            if report is None or report.incarnation != member.incarnation:
                return False
            if report.settled_view < view.number:
                return False
        return True

    def _challenge(self, host: str, boot: int, now: float) -> int:
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


def _is_met(
    pending: _Challenge | None, announce: Announce, boot: int, now: float
) -> bool:
    if pending is None or pending.boot != boot:
        return False
    return pending.number == announce.challenge and now < pending.expires_at


def _command(announce: Announce, boot: int) -> AdmitMember:
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
    """Return the command that lets a member drain, unless it does."""
    if member.draining:
        return None
    return LeaveMember(member.host, member.incarnation)
