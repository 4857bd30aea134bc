"""How a packet ends that cannot be forwarded."""

from collections.abc import Callable
from typing import Any

import attrs

from redwingstream.packets.effects import Outgoing, ToCaller
from redwingstream.packets.events import FlowDropped, FlowRefused
from redwingstream.packets.flow import Head, PacketCodec, flow_text


@attrs.define
class RefusalCounters:
    """What was refused or dropped since the start."""

    refused: int = 0
    dropped: int = 0


class Refusing:
    """Refuses new flows at once, and drops what may not be refused.

    Parameters
    ----------
    codec : PacketCodec
        Writes resets.
    log : callable
        Takes events.
    """

    def __init__(self, codec: PacketCodec, log: Callable[[Any], None]) -> None:
        self.counters = RefusalCounters()
        self.revision = 0
        self._codec = codec
        self._log = log

    def refuse(self, head: Head, reason: str, visited: int) -> list[Outgoing]:
        """Refuse a new flow that no server has been given.

        Notes
        -----
        Only the first packet of a flow is answered with a reset.  A copy may
        meet a flow that another agent has just been given: the reset would
        reach the caller after the flow has opened, and break it.
        """
        if head.acknowledged:
            return self.drop(head, reason)
        self.counters.refused += 1
        flow = flow_text(head.inbound)
        self._log(FlowRefused(flow, reason, self.revision, visited))
        return [ToCaller(self._codec.reset_for(head), head.source)]

    def drop(self, head: Head, reason: str) -> list[Outgoing]:
        """Drop a packet, and say so in the log."""
        self.counters.dropped += 1
        flow = flow_text(head.inbound)
        self._log(FlowDropped(flow, reason, self.revision))
        return []
