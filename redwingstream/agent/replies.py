"""Builds and sends callers their responses, refusals, unknown outcomes."""

from aiocoap.message import Message

from redwingstream.agent.parts import AgentParts
from redwingstream.errors import ResultCode
from redwingstream.forwarding.messages import Answer, Packet
from redwingstream.requests.outcomes import NotRun, Unknown, outcome_packet


class Replies:
    """Sends callers the outcomes of their requests, through balancers.

    Parameters
    ----------
    parts : AgentParts
        State that the modules of the agent share.
    """

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts

    def send(self, packet: Packet, payload: bytes) -> None:
        """Send a packet to a caller through the balancer of its request."""
        self.send_through(
            packet.balancer, packet.caller, packet.service, payload
        )

    def send_through(
        self, balancer: str, caller: str, service: str, payload: bytes
    ) -> None:
        """Send a packet for a caller to a balancer.

        Parameters
        ----------
        balancer : str
            ``IP:PORT`` of the balancer.
        caller : str
            ``IP:PORT`` of the caller.
        service : str
            ``IP:PORT`` that the caller has sent its request to.
        payload : bytes
            The encoded CoAP message.
        """
        revision = self._parts.tables.revision
        answer = Answer(revision, caller, service, payload)
        self._parts.out.to_peer(balancer, answer)

    def not_run(
        self, request: Message, reason: ResultCode, now: float
    ) -> bytes:
        """Return the packet that refuses a request and says when to retry."""
        self._parts.metrics.count(f'refused_{reason.name.lower()}')
        self._parts.gauge.record_refused(now)
        overload = self._parts.gauge.overload(now)
        delay = self._parts.come_back.delay(reason, overload)
        return outcome_packet(request, NotRun(reason, delay))

    def unknown(self, request: Message) -> bytes:
        """Return the packet that says that a request may have run."""
        self._parts.metrics.count('outcome_unknown')
        return outcome_packet(request, Unknown())

    def refuse(
        self, packet: Packet, request: Message, reason: ResultCode, now: float
    ) -> None:
        """Send the refusal of a request to its caller."""
        self.send(packet, self.not_run(request, reason, now))
