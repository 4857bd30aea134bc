"""What an agent tells callers: answers, refusals, unknown outcomes."""

from aiocoap.message import Message

from redwingstream.agent.parts import AgentParts
from redwingstream.errors import ResultCode
from redwingstream.forwarding.messages import Answer, Packet
from redwingstream.requests.outcomes import NotRun, Unknown, told


class Replies:
    """Sends callers what became of their requests, through balancers.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    """

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts

    def send(self, packet: Packet, payload: bytes) -> None:
        """Answer through the balancer that handed the packet in."""
        self.send_through(
            packet.balancer, packet.caller, packet.service, payload
        )

    def send_through(
        self, balancer: str, caller: str, service: str, payload: bytes
    ) -> None:
        """Hand a packet for a caller to a balancer."""
        revision = self._parts.tables.revision
        answer = Answer(revision, caller, service, payload)
        self._parts.out.to_peer(balancer, answer)

    def not_run(
        self, request: Message, reason: ResultCode, now: float
    ) -> bytes:
        """Return the packet that refuses a request, with when to come back."""
        self._parts.metrics.count(f'refused_{reason.name.lower()}')
        self._parts.gauge.record_refused(now)
        overload = self._parts.gauge.overload(now)
        delay = self._parts.come_back.delay(reason, overload)
        return told(request, NotRun(reason, delay))

    def unknown(self, request: Message) -> bytes:
        """Return the packet that says that a request may have run."""
        self._parts.metrics.count('outcome_unknown')
        return told(request, Unknown())

    def refuse(
        self, packet: Packet, request: Message, reason: ResultCode, now: float
    ) -> None:
        """Refuse a request at once."""
        self.send(packet, self.not_run(request, reason, now))
