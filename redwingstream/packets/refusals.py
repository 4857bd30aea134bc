"""Refusing new flows and dropping packets that cannot be forwarded."""

from collections.abc import Callable
from typing import Any

import attrs

from redwingstream.packets.effects import Outgoing, ToCaller
from redwingstream.packets.events import FlowDropped, FlowRefused
from redwingstream.packets.flow import Head, PacketCodec, flow_text


@attrs.define
class RefusalCounters:
    """Counts of refused flows and dropped packets since the process started."""

    refused: int = 0
    dropped: int = 0


class Refusals:
    """Refuses new flows with a reset, and drops packets without an answer.

    Parameters
    ----------
    codec : PacketCodec
        Creates resets.
    log : callable
        Writes a log event.

    Attributes
    ----------
    revision : int
        Revision of the tables in force, for the log.
    """

    def __init__(self, codec: PacketCodec, log: Callable[[Any], None]) -> None:
        self.counters = RefusalCounters()
        self.revision = 0
        self._codec = codec
        self._log = log

    def refuse(self, head: Head, reason: str, visited: int) -> list[Outgoing]:
        """Refuse a new flow that no server has received.

        Parameters
        ----------
        head : Head
            Header of the opening packet.
        reason : str
            Reason for the log.
        visited : int
            Number of agents that have decided on the flow.

        Notes
        -----
        Only the first packet of a flow is answered with a reset.  When a copy
        arrives, another agent may just have opened the flow: the reset would
        reach the caller after that and break an open flow.
        """
        if head.acknowledged:
            return self.drop(head, reason)
        self.counters.refused += 1
        flow = flow_text(head.inbound)
        self._log(FlowRefused(flow, reason, self.revision, visited))
        return [ToCaller(self._codec.reset_for(head), head.source)]

    def drop(self, head: Head, reason: str) -> list[Outgoing]:
        """Drop a packet and log the reason."""
        self.counters.dropped += 1
        flow = flow_text(head.inbound)
        self._log(FlowDropped(flow, reason, self.revision))
        return []
