"""Answers of a control instance to announcements and heartbeats."""

import random
from collections.abc import Callable

from absl import logging

from redwingstream.control.replica import Replica
from redwingstream.errors import CallFailedError, RedwingstreamError
from redwingstream.membership.checks import why_malformed
from redwingstream.membership.leases import (
    AdmissionGranted,
    Admitted,
    Challenged,
    HeldBack,
    Leases,
    NameTaken,
    leave_command,
)
from redwingstream.membership.messages import (
    Announce,
    Challenge,
    Heartbeat,
    HeartbeatAck,
)
from redwingstream.tables.machine.state_machine import CommandResult
from redwingstream.tables.machine.views import exclusion_reason
from redwingstream.tables.rows import Member

Reply = Callable[[object], None]


class MemberService:
    """Answers members, and decides on leases while its replica leads.

    Parameters
    ----------
    replica : Replica
        Proposes commands and holds the tables.
    lease : float
        Seconds of silence after which a member is removed.
    rng : random.Random
        Draws challenges.
    clock : callable
        Returns the current time in seconds, by the event loop's clock.
    """

    def __init__(
        self,
        replica: Replica,
        lease: float,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._replica = replica
        self._lease = lease
        self._rng = rng
        self._clock = clock
        self._leases: Leases | None = None
        self._pending_commands: set[object] = set()

    def on_announce(self, announce: Announce, boot: int, reply: Reply) -> None:
        """Answer an announcement."""
        fault = why_malformed(announce)
        if fault:
            reply(self._refusal(fault))
            return
        leases = self._current_leases()
        known = self._member(announce.host)
        if leases is None:
            reply(self._ack_as_follower(known, boot))
            return
        now = self._clock()
        match leases.on_announce(announce, boot, known, now):
            case Challenged(number=number):
                reply(Challenge(number))
            case Admitted(member=member):
                reply(self._ack(member))
            case HeldBack(seconds=seconds):
                reply(self._refusal(_held_back_text(announce, seconds)))
            case NameTaken(endpoint=endpoint):
                reply(self._refusal(_taken_text(announce, endpoint)))
            case AdmissionGranted(command=command):
                self._propose(command, reply)

    def on_heartbeat(self, beat: Heartbeat, boot: int, reply: Reply) -> None:
        """Answer a heartbeat."""
        leases = self._current_leases()
        known = self._member(beat.host)
        if leases is None:
            reply(self._ack_as_follower(known, boot))
            return
        if not leases.on_heartbeat(beat, boot, known, self._clock()):
            reply(self._refusal('no such run is a member; announce it'))
            return
        reply(self._ack(known))
        command = leave_command(known) if beat.leaving else None
        if command is not None:
            self._propose(command)

    def on_tick(self) -> None:
        """Propose to remove silent members and to settle views."""
        leases = self._current_leases()
        if leases is None:
            return
        state = self._replica.machine.state
        leases.retain_only(state.member_by_host)
        members = state.member_by_host.values()
        for removal in leases.due_removals(members, self._clock()):
            logging.info('control: member %s is silent.', removal.host)
            self._propose(removal)
        for settled in leases.due_settlements(state.view_by_pool.values()):
            self._propose(settled)

    def _current_leases(self) -> Leases | None:
        # Until its first entry is committed, a new leader may not know members
        # that its predecessor admitted, and would admit them again.
        if not self._replica.consensus.is_ready:
            self._leases = None
        elif self._leases is None:
            self._leases = Leases(self._lease, self._rng, self._clock())
        return self._leases

    def _member(self, host: str) -> Member | None:
        state = self._replica.machine.state
        return state.member_by_host.get(host)

    def _propose(self, command: object, reply: Reply | None = None) -> None:
        # A pending command is not proposed again at each tick: without a
        # majority, copies of it would fill the log.
        if command in self._pending_commands:
            return

        def done(outcome: CommandResult | RedwingstreamError) -> None:
            self._pending_commands.discard(command)
            if reply is not None and isinstance(outcome, Member):
                reply(self._ack(outcome))

        self._pending_commands.add(command)
        try:
            self._replica.propose(command, done)
        except CallFailedError:
            self._pending_commands.discard(command)

    def _ack(self, member: Member) -> HeartbeatAck:
        state = self._replica.machine.state
        return HeartbeatAck(
            member.incarnation,
            state.revision,
            self._replica.consensus.leader,
            exclusion_reason(state, member),
        )

    def _ack_as_follower(self, known: Member | None, boot: int) -> HeartbeatAck:
        # A follower may be behind; the leader knows members that it does not.
        same_run = known is not None and known.boot == boot
        incarnation = known.incarnation if same_run else 0
        state = self._replica.machine.state
        leader = self._replica.consensus.leader
        reason = '' if leader else 'no leader is known'
        return HeartbeatAck(incarnation, state.revision, leader, reason)

    def _refusal(self, reason: str) -> HeartbeatAck:
        state = self._replica.machine.state
        leader = self._replica.consensus.leader
        return HeartbeatAck(0, state.revision, leader, reason)


def _taken_text(announce: Announce, endpoint: str) -> str:
    return (
        f'{announce.host} is alive at {endpoint}, not {announce.endpoint}; '
        'give each process a host name of its own, or wait until that one is '
        'silent for its lease'
    )


def _held_back_text(announce: Announce, seconds: float) -> str:
    return (
        f'{announce.host} has returned too often; it is admitted again in '
        f'{seconds:.0f} s'
    )
