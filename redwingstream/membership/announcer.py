"""How a process becomes a member and stays one: announce, then heartbeat."""

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
"""Seconds without an answer after which a member counts as cut off."""

LEADER_SILENCE = 1.5
"""Seconds without the leader after which all control instances are told."""


@attrs.frozen
class SendToControl:
    """Send a message to a control instance."""

    endpoint: Endpoint
    message: Announce | Heartbeat


@attrs.frozen
class Vitals:
    """What a heartbeat says of its sender; see :class:`Heartbeat`."""

    revision: int
    settled_view: int = 0
    in_flight: int = 0
    flows: int = 0
    limit: int = 0


class Announcer:
    """Decides what to say to which control instance, and when.

    Parameters
    ----------
    announcement : Announce
        What this process says of itself, without a challenge.
    control : tuple of Endpoint
        The control instances of its settings.

    Attributes
    ----------
    incarnation : int
        Of this run, as the leader has admitted it; 0 while it has not.
    leaving : bool
        Set by the role when it drains; each heartbeat says so.
    refusal : str
        Why the leader does not admit this run, or keeps it out of its pool;
        empty when it serves.

    Notes
    -----
    A leader that is silent for ``LEADER_SILENCE`` seconds is no longer
    believed: until one answers, every message goes to all control instances.
    This guards against a leader that was cut off or frozen without a word:
    heartbeats to it are lost, and this process would drop out of the view
    although it is well.  Asking the others in turn would take longer than a
    lease, and a follower may name the silent leader for a while.
    """

    def __init__(
        self, announcement: Announce, control: tuple[Endpoint, ...]
    ) -> None:
        self._announcement = announcement
        self._control = control
        self._leader: Endpoint | None = None
        self._led_at: float | None = None
        self._answered_at: float | None = None
        self._asks_all = False
        self._vitals = Vitals(0)
        self.incarnation = 0
        self.leaving = False
        self.refusal = ''

    @property
    def target(self) -> Endpoint:
        """The control instance that is spoken to now."""
        return self._leader or self._control[0]

    @property
    def is_member(self) -> bool:
        """Whether control has admitted this run of the process."""
        return self.incarnation > 0

    def is_cut_off(self, now: float) -> bool:
        """Whether no control instance that has a leader answered lately."""
        if self._answered_at is None:
            return False
        return now - self._answered_at > SILENCE_LIMIT

    def tick(self, now: float, vitals: Vitals) -> list[SendToControl]:
        """Return what to send now; called every ``HEARTBEAT_INTERVAL``."""
        self._vitals = vitals
        if self._led_at is None:
            self._led_at = now
            self._answered_at = now
        said: Announce | Heartbeat = self._announcement
        if self.incarnation:
            said = self._heartbeat(vitals)
        targets = (self.target,)
        if self._asks_all or now - self._led_at > LEADER_SILENCE:
            targets = self._control
        return [SendToControl(target, said) for target in targets]

    def on_challenge(
        self, challenge: Challenge, now: float
    ) -> list[SendToControl]:
        """Repeat the announcement with the leader's challenge."""
        self._led_at = now
        self._answered_at = now
        answer = attrs.evolve(self._announcement, challenge=challenge.challenge)
        return [SendToControl(self.target, answer)]

    def on_ack(
        self, ack: HeartbeatAck, source: Endpoint, now: float
    ) -> list[SendToControl]:
        """Note what a control instance answered.

        Only the leader's word on the incarnation counts: a replica that is
        behind may not have heard of this run yet.
        """
        if not ack.leader:
            # It may be cut off from the others, and answer all the same.
            self._asks_all = self._asks_all or source == self.target
            return []
        self._answered_at = now
        former = self._leader
        self._leader = parse_endpoint(ack.leader)
        if self._leader == source:
            self._led_at = now
            self._asks_all = False
            self.refusal = ack.reason
            self.incarnation = ack.incarnation
            return []
        if not self.incarnation:
            return [SendToControl(self._leader, self._announcement)]
        if self._leader == former:
            return []
        # The next beat may come after the lease that a new leader gave to a
        # member that it has not heard yet.
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
