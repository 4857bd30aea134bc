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
SILENCE_LIMIT = 2.5


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

    Notes
    -----
    A control instance that is silent for ``SILENCE_LIMIT`` seconds is replaced
    by the next one of the settings.  This guards against a leader that was cut
    off without a word: heartbeats to it would be lost for as long as the cut
    lasts, and this process would drop out of the view although it is well.
    """

    def __init__(
        self, announcement: Announce, control: tuple[Endpoint, ...]
    ) -> None:
        self._announcement = announcement
        self._control = control
        self._target = 0
        self._leader: Endpoint | None = None
        self._heard_at: float | None = None
        self._answered_at: float | None = None
        self._vitals = Vitals(0)
        self.incarnation = 0
        self.leaving = False
        self.refusal = ''

    @property
    def target(self) -> Endpoint:
        """The control instance that is spoken to now."""
        return self._leader or self._control[self._target]

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
        if self._heard_at is None:
            self._heard(now)
        elif now - self._heard_at > SILENCE_LIMIT:
            self._try_next(now)
        if self.incarnation:
            return [SendToControl(self.target, self._heartbeat(vitals))]
        return [SendToControl(self.target, self._announcement)]

    def on_challenge(
        self, challenge: Challenge, now: float
    ) -> list[SendToControl]:
        """Repeat the announcement with the leader's challenge."""
        self._heard(now)
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
            if source == self.target:
                self._try_next(now)
            return []
        self._heard(now)
        former = self._leader
        self._leader = parse_endpoint(ack.leader)
        if self._leader == source:
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

    def _heard(self, now: float) -> None:
        self._heard_at = now
        self._answered_at = now

    def _try_next(self, now: float) -> None:
        silent = self.target
        self._heard_at = now
        self._leader = None
        if silent in self._control:
            # Not the silent leader again, wherever it stands in the settings.
            self._target = self._control.index(silent)
        self._target = (self._target + 1) % len(self._control)

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
