"""What an agent that has started does about the flows of its earlier run."""

from collections.abc import Iterable

import attrs

from redwingstream.directory.messages import FlowSnapshot
from redwingstream.lost_flows.recorded_flows import (
    RecordedFlow,
    is_later_run,
    unpack_flows,
)
from redwingstream.packets.flow import Address, FlowId

QUERY_INTERVAL = 0.1
"""Seconds after which an unanswered query is repeated.  Callers send their next
request within a second or two after a loss of power."""

REPEAT_AFTER = QUERY_INTERVAL / 2
"""Seconds after which a control instance may be queried again: a timer that
fires early, or a run for a newly known instance, does not shift the others."""

QUERY_SECONDS = 3.0
"""Seconds after the first query in which snapshots are queried and accepted."""

PENDING_SECONDS = 90.0
"""Seconds for which a snapshot waits for the first report of the server."""


@attrs.frozen
class _Pending:
    """A snapshot that waits for the report of the server."""

    snapshot: FlowSnapshot
    flows: tuple[RecordedFlow, ...]
    received_at: float


class FlowRecovery:
    """Queries snapshots of an earlier run and decides which flows are lost.

    Parameters
    ----------
    address : Address
        Address of the agent.
    boot : int
        Random number of this run of the agent.

    Notes
    -----
    A flow is lost when a later run of the server reports than the one that held
    it.  The snapshot and the report arrive in either order.
    """

    def __init__(self, address: Address, boot: int) -> None:
        self._address = address
        self._boot = boot
        self._first_query_at: float | None = None
        self._asked_at_by_control: dict[Address, float] = {}
        self._answered: set[Address] = set()
        self._pending: list[_Pending] = []
        self._newest_born = 0
        self._decided: set[FlowId] = set()

    def begin(self, now: float) -> None:
        """Begin to query, once in a run."""
        if self._first_query_at is None:
            self._first_query_at = now

    def is_querying(self, now: float) -> bool:
        """Whether snapshots are queried and accepted.

        Until then, this run sends none that would replace those of the earlier
        one.
        """
        first_at = self._first_query_at
        return first_at is not None and now - first_at <= QUERY_SECONDS

    def due_targets(
        self, controls: Iterable[Address], now: float
    ) -> list[Address]:
        """Return the control instances to query now, and record the queries."""
        if not self.is_querying(now):
            return []
        asked_at = self._asked_at_by_control
        due = [
            control
            for control in controls
            if control not in self._answered
            and now - asked_at.get(control, float('-inf')) >= REPEAT_AFTER
        ]
        asked_at.update(dict.fromkeys(due, now))
        return due

    def handle_snapshot(
        self, snapshot: FlowSnapshot, control: Address, now: float
    ) -> bool:
        """Handle an answer; return whether it is taken.

        Raises
        ------
        WireError
            When its flows cannot be decoded.
        """
        is_foreign = snapshot.address != self._address
        if is_foreign or snapshot.boot == self._boot:
            return False
        if not self.is_querying(now):
            return False
        flows = unpack_flows(snapshot.flows)
        self._answered.add(control)
        self._pending.append(_Pending(snapshot, flows, now))
        return True

    def pop_decided(
        self, born: int, now: float
    ) -> tuple[list[RecordedFlow], list[FlowSnapshot]]:
        """Decide on the snapshots received so far.

        Parameters
        ----------
        born : int
            Start of the server's run that reports.
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        list of RecordedFlow
            Flows that are lost, each once in a run of the agent.
        list of FlowSnapshot
            Snapshots whose server still runs or cannot be shown to have ended.
        """
        lost: dict[FlowId, RecordedFlow] = {}
        surviving = []
        for pending in self._pending:
            if now - pending.received_at > PENDING_SECONDS:
                continue
            snapshot = pending.snapshot
            if not is_later_run(born, snapshot.born):
                surviving.append(snapshot)
            elif snapshot.born >= self._newest_born:
                # An older run than another snapshot's had ended before, so its
                # callers are likely to use their ports for other flows.
                self._newest_born = snapshot.born
                lost.update((one.flow, one) for one in pending.flows)
        self._pending.clear()
        new = [one for flow, one in lost.items() if flow not in self._decided]
        self._decided.update(lost)
        return new, surviving
