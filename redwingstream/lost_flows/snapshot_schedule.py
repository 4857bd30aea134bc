"""When an agent records the flows of its server, and at which instances."""

from collections.abc import Iterable

import attrs

from redwingstream.lost_flows.recorded_flows import RecordedFlow
from redwingstream.packets.agent_flows import CarriedFlow
from redwingstream.packets.flow import Address, service_of

SNAPSHOT_INTERVAL = 1.0
"""Minimum time in seconds between two snapshots."""

REFRESH_INTERVAL = 10.0
"""Seconds after which an unchanged snapshot is sent again, in case a datagram
was lost or a control instance without a disk has restarted; well within the
90 s for which control instances keep it."""

TARGETS = 2
"""Number of control instances that a snapshot is sent to; one may be lost."""


@attrs.define
class SnapshotSchedule:
    """Decides when a snapshot is sent.

    Parameters
    ----------
    services : frozenset of Address
        Service addresses of the pool's routes whose requests cannot be
        repeated.
    has_reuse : bool
        True once a flow of such a route has carried a second request.
    sequence : int
        Number of snapshots sent since the start.
    sent : frozenset of RecordedFlow
        Flows of the last snapshot.
    """

    services: frozenset[Address] = frozenset()
    has_reuse: bool = False
    sequence: int = 0
    sent: frozenset[RecordedFlow] = frozenset()
    _targets: tuple[Address, ...] = ()
    _born: int = 0
    _sent_at: float = float('-inf')

    @property
    def is_enabled(self) -> bool:
        """Whether flows are recorded and their callers notified."""
        return bool(self.services) and self.has_reuse

    def observe(self, carried_flows: Iterable[CarriedFlow]) -> None:
        """Look for a flow that has carried a second request."""
        if self.services and not self.has_reuse:
            self.has_reuse = any(
                carried.is_reused and service_of(carried.flow) in self.services
                for carried in carried_flows
            )

    def may_send(self, now: float) -> bool:
        """Whether the minimum time since the last snapshot has passed."""
        return now - self._sent_at >= SNAPSHOT_INTERVAL

    def is_due(
        self,
        flows: frozenset[RecordedFlow],
        born: int,
        targets: tuple[Address, ...],
        now: float,
    ) -> bool:
        """Whether a snapshot is to be sent now.

        A flow that has ended makes none due: the reset of it reaches nobody.

        Parameters
        ----------
        flows : frozenset of RecordedFlow
            Flows that the server holds, rounded.
        born : int
            Start of the server's run.
        targets : tuple of Address
            Control instances that it would be sent to.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        if not flows or not targets or not self.may_send(now):
            return False
        is_other = born != self._born or targets != self._targets
        is_old = now - self._sent_at >= REFRESH_INTERVAL
        return is_other or is_old or not flows <= self.sent

    def record_sent(
        self,
        flows: frozenset[RecordedFlow],
        born: int,
        targets: tuple[Address, ...],
        now: float,
    ) -> None:
        """Record that a snapshot is sent; see :meth:`is_due`."""
        self.sequence += 1
        self.sent = flows
        self._born = born
        self._targets = targets
        self._sent_at = now
