"""Carries out what the server's side of an agent asks for."""

from redwingstream.agent.request_executor import RequestExecutor
from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.parts import AgentParts
from redwingstream.flows.effects import (
    Failed,
    FeedEnded,
    FeedUpdate,
    Responded,
    SendToServer,
    ServerRestarted,
    ServerSilent,
    UpstreamEffect,
)


class ServerEffectHandler:
    """Hands each effect to who it concerns.

    Parameters
    ----------
    parts : AgentParts
        The agent.

    Attributes
    ----------
    carrier : Carrier
        Requests; set by the core.
    feeds : FeedRelay
        Feeds; set by the core.
    """

    executor: RequestExecutor
    feeds: FeedRelay

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts

    def perform(self, effects: list[UpstreamEffect], now: float) -> None:
        """Carry out effects in their order."""
        for effect in effects:
            self._perform_one(effect, now)

    def _perform_one(self, effect: UpstreamEffect, now: float) -> None:
        match effect:
            case SendToServer(packet, source):
                self._parts.out.to_server(packet, source)
            case Responded(owner, response):
                self.executor.handle_response(owner, response, now)
            case Failed(owner, state, why):
                self.executor.handle_failure(owner, state, why, now)
            case FeedUpdate(owner, notification):
                self.feeds.updated(owner, notification, now)
            case FeedEnded(owner, why, response):
                self.feeds.ended(owner, why, response, now)
            case ServerRestarted():
                self._restarted(now)
            case ServerSilent(source, probe_answered):
                self._silent(source, now, is_link=probe_answered)

    def _restarted(self, now: float) -> None:
        self._parts.metrics.count('server_restarted')
        self._parts.limit.server_restarted(now)
        self.feeds.openings.handle_server_restart(now)

    def _silent(self, source: int, now: float, *, is_link: bool) -> None:
        """Replace a silent link; place new work elsewhere if it is the server.

        Notes
        -----
        Something between both ends can lose track of an open socket: requests
        on it go unanswered while the server is well.  The probe from a fresh
        socket tells the two cases apart.
        """
        if not is_link:
            self._parts.metrics.count('server_silent')
            self._parts.server_is_silent = True
            return
        self._parts.metrics.count('server_link_replaced')
        self._parts.out.replace_source(source)
        self.perform(self._parts.upstream.replaced(source, now), now)
