"""Relays callers' ACKs and RSTs of notifications to the feeds' carriers."""

import attrs
from aiocoap.message import Message

from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.parts import AgentParts
from redwingstream.endpoints import parse_endpoint
from redwingstream.forwarding.messages import Packet


class AckRelay:
    """Passes callers' ACKs and RSTs to each agent that may wait for them.

    Parameters
    ----------
    parts : AgentParts
        State that the modules of the agent share.
    feeds : FeedRelay
        Feeds of the server beside this agent.

    Notes
    -----
    ACK and RST carry a message id but no token, so the home cannot tell which
    feed they belong to.  Carriers that did not send that id ignore them.
    """

    def __init__(self, parts: AgentParts, feeds: FeedRelay) -> None:
        self._parts = parts
        self._feeds = feeds

    def relay(
        self, packet: Packet, message: Message, bucket: int, now: float
    ) -> None:
        """Handle an ACK or RST here and pass it on.

        The home, or its heir while the home is silent, passes it to the
        carriers of the caller's flows; any other agent passes it to the home.
        """
        parts = self._parts
        effects = parts.feeds.handle_reply(
            packet.caller, packet.service, message, now
        )
        self._feeds.perform(effects, now)
        forwarded = attrs.evolve(packet, hops=packet.hops + 1)
        home = parts.home_of(bucket)
        if parts.is_this_agent(home) or self._is_heir_of_silent_home(
            bucket, now
        ):
            self._pass_to_carriers(forwarded)
        elif home is not None and not packet.hops:
            parts.out.to_peer(home.endpoint, forwarded)

    def _is_heir_of_silent_home(self, bucket: int, now: float) -> bool:
        """Whether this agent is the heir and the home is silent."""
        parts = self._parts
        home = parts.home_of(bucket)
        if home is None or not parts.is_this_agent(parts.heir_of(bucket)):
            return False
        return parts.links.is_silent(parse_endpoint(home.endpoint), now)

    def _pass_to_carriers(self, packet: Packet) -> None:
        flows = self._parts.store.flows
        carriers = flows.feed_carriers(packet.caller, packet.service)
        for carrier in carriers - {self._parts.identity.carrier}:
            endpoint = self._parts.endpoint_of_carrier(carrier)
            if endpoint is not None:
                self._parts.out.to_peer(endpoint, packet)
