"""Callers' ACKs and RSTs to notifications, on their way to the carrier."""

import attrs
from aiocoap.message import Message

from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.parts import AgentParts
from redwingstream.endpoints import parse_endpoint
from redwingstream.forwarding.messages import Packet


class AckRelay:
    """Finds who waits for a caller's reaction.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    feeds : FeedRelay
        Feeds of the own server.

    Notes
    -----
    A reaction names a message id and no token, so the home cannot tell which
    feed it is for; those who did not send that id ignore it.
    """

    def __init__(self, parts: AgentParts, feeds: FeedRelay) -> None:
        self._parts = parts
        self._feeds = feeds

    def take(
        self, packet: Packet, reaction: Message, bucket: int, now: float
    ) -> None:
        """Take a reaction, and pass it on to others who may wait for it."""
        parts = self._parts
        effects = parts.feeds.reply(
            packet.caller, packet.service, reaction, now
        )
        self._feeds.perform(effects, now)
        following = attrs.evolve(packet, hops=packet.hops + 1)
        home = parts.home_of(bucket)
        if parts.is_this_agent(home) or self._stands_in(bucket, now):
            self._pass_to_carriers(following)
        elif home is not None and not packet.hops:
            parts.out.to_peer(home.endpoint, following)

    def _stands_in(self, bucket: int, now: float) -> bool:
        """Whether this agent is heir of a home that is silent."""
        parts = self._parts
        home = parts.home_of(bucket)
        if home is None or not parts.is_this_agent(parts.heir_of(bucket)):
            return False
        return parts.links.is_silent(parse_endpoint(home.endpoint), now)

    def _pass_to_carriers(self, packet: Packet) -> None:
        flows = self._parts.store.flows
        carriers = flows.carriers(packet.caller, packet.service)
        for carrier in carriers - {self._parts.identity.carrier}:
            endpoint = self._parts.endpoint_of_carrier(carrier)
            if endpoint is not None:
                self._parts.out.to_peer(endpoint, packet)
