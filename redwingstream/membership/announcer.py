"""Member side of membership: announce the process, then send heartbeats."""

import attrs

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.membership.messages import (
    Announce,
    Challenge,
    Heartbeat,
    HeartbeatAck,
)

HEARTBEAT_INTERVAL = 1.0
"""Seconds between two heartbeats of a member."""

SILENCE_LIMIT = 2.5
"""Seconds without an answer after which a process counts as cut off."""

LEADER_TIMEOUT = 1.5
"""Seconds without a leader's answer after which all instances get messages."""


@attrs.frozen
class SendToControl:
    """Send a message to a control instance.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint of the control instance.
    message : Announce or Heartbeat
        Message to send.
    """

    endpoint: Endpoint
    message: Announce | Heartbeat


@attrs.frozen
class Vitals:
    """State of a member that its heartbeats report; see :class:`Heartbeat`."""

    revision: int
    settled_view: int = 0
    in_flight: int = 0
    flows: int = 0
    limit: int = 0


class Announcer:
    """Decides which message to send to which control instance, and when.

    Parameters
    ----------
    announcement : Announce
        Announcement of this process, without a challenge.
    control : tuple of Endpoint
        Control instances from the settings.

    Attributes
    ----------
    incarnation : int
        Incarnation under which the leader has admitted this run; 0 before.
    leaving : bool
        True while the process drains; part of each heartbeat.
    refusal : str
        Why the leader does not admit this run, or keeps it out of its pool;
        empty when it serves.

    Notes
    -----
    When the leader has not answered for ``LEADER_TIMEOUT`` seconds, every
    message goes to all control instances until a leader answers.  This guards
    against a leader that is cut off or frozen: heartbeats to it are lost, and
    this process would be removed from the view although it is healthy.  Trying
    the other instances one after another would take longer than a lease, and a
    follower may name the silent leader for a while.
    """

    def __init__(
        self, announcement: Announce, control: tuple[Endpoint, ...]
    ) -> None:
        self._announcement = announcement
        self._control = control
        self._leader: Endpoint | None = None
        self._leader_answered_at: float | None = None
        self._answered_at: float | None = None
        self._sends_to_all = False
        self._vitals = Vitals(0)
        self.incarnation = 0
        self.leaving = False
        self.refusal = ''

    @property
    def target(self) -> Endpoint:
        """The control instance to which messages go now."""
        return self._leader or self._control[0]

    @property
    def is_member(self) -> bool:
        """Whether the leader has admitted this run of the process."""
        return self.incarnation > 0

    def is_cut_off(self, now: float) -> bool:
        """Whether no instance that knows a leader has answered recently."""
        if self._answered_at is None:
            return False
        return now - self._answered_at > SILENCE_LIMIT

    def tick(self, now: float, vitals: Vitals) -> list[SendToControl]:
        """Return the messages to send now.

        Parameters
        ----------
        now : float
            Current time in seconds, by the event loop's clock.  Called every
            ``HEARTBEAT_INTERVAL`` seconds.
        vitals : Vitals
            Current state of the process, for its heartbeat.

        Returns
        -------
        list of SendToControl
            The messages.
        """
        self._vitals = vitals
        if self._leader_answered_at is None:
            self._leader_answered_at = now
            self._answered_at = now
        message: Announce | Heartbeat = self._announcement
        if self.incarnation:
            message = self._heartbeat(vitals)
        targets = (self.target,)
        if (
            self._sends_to_all
            or now - self._leader_answered_at > LEADER_TIMEOUT
        ):
            targets = self._control
        return [SendToControl(target, message) for target in targets]

    def on_challenge(
        self, challenge: Challenge, now: float
    ) -> list[SendToControl]:
        """Handle a challenge: repeat the announcement with its number."""
        self._leader_answered_at = now
        self._answered_at = now
        answer = attrs.evolve(self._announcement, challenge=challenge.challenge)
        return [SendToControl(self.target, answer)]

    def on_ack(
        self, ack: HeartbeatAck, source: Endpoint, now: float
    ) -> list[SendToControl]:
        """Handle a control instance's answer.

        Only the leader's answer sets the incarnation: a replica that lags
        behind may not know this run yet.

        Parameters
        ----------
        ack : HeartbeatAck
            The answer.
        source : Endpoint
            Endpoint of the control instance that sent it.
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        list of SendToControl
            Messages to send at once.
        """
        if not ack.leader:
            # The instance may be cut off from the others and still answer.
            self._sends_to_all = self._sends_to_all or source == self.target
            return []
        self._answered_at = now
        former_leader = self._leader
        self._leader = parse_endpoint(ack.leader)
        if self._leader == source:
            self._leader_answered_at = now
            self._sends_to_all = False
            self.refusal = ack.reason
            self.incarnation = ack.incarnation
            return []
        if not self.incarnation:
            return [SendToControl(self._leader, self._announcement)]
        if self._leader == former_leader:
            return []
        # The next regular heartbeat may come after the end of the lease that a
        # new leader grants to a member from which it has received nothing yet.
        return [SendToControl(self._leader, self._heartbeat(self._vitals))]

    def _heartbeat(self, vitals: Vitals) -> Heartbeat:
        return Heartbeat(
            host=self._announcement.host,
            incarnation=self.incarnation,
            revision=vitals.revision,
            leaving=self.leaving,
            settled_view=vitals.settled_view,
            in_flight=vitals.in_flight,
            flows=vitals.flows,
            limit=vitals.limit,
        )
