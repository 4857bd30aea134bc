"""Performs the effects of the server's side of an agent.

The server's side (:class:`~redwingstream.flows.upstream.Upstream`) decides on
the exchanges with the backend server without I/O and returns effects.
"""

from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.request_executor import RequestExecutor
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
    """Passes each effect to the object that handles it.

    Parameters
    ----------
    parts : AgentParts
        State and decision objects of the agent.

    Attributes
    ----------
    executor : RequestExecutor
        Handles requests; set by the assembly.
    feeds : FeedRelay
        Handles feeds; set by the assembly.
    """

    executor: RequestExecutor
    feeds: FeedRelay

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts

    def perform(self, effects: list[UpstreamEffect], now: float) -> None:
        """Perform effects in their order."""
        for effect in effects:
            self._perform_one(effect, now)

    def _perform_one(self, effect: UpstreamEffect, now: float) -> None:
        match effect:
            case SendToServer(packet, source):
                self._parts.out.to_server(packet, source)
            case Responded(owner, response):
                self.executor.handle_response(owner, response, now)
            case Failed(owner, state, reason):
                self.executor.handle_failure(owner, state, reason, now)
            case FeedUpdate(owner, notification):
                self.feeds.handle_notification(owner, notification, now)
            case FeedEnded(owner, reason, response):
                self.feeds.handle_end(owner, reason, response, now)
            case ServerRestarted():
                self._handle_restart(now)
            case ServerSilent(source, probe_answered):
                self._handle_silence(
                    source, now, is_socket_fault=probe_answered
                )

    def _handle_restart(self, now: float) -> None:
        self._parts.metrics.count('server_restarted')
        self._parts.limit.server_restarted(now)
        self.feeds.openings.handle_server_restart(now)

    def _handle_silence(
        self, source: int, now: float, *, is_socket_fault: bool
    ) -> None:
        """Replace a silent socket, or mark the server as silent.

        While the server is silent, new work is placed at other agents.

        Notes
        -----
        Something between both ends can lose the state of an open socket, so
        that requests on it get no answer although the server works.  A probe
        from a fresh socket distinguishes the two cases.
        """
        if not is_socket_fault:
            self._parts.metrics.count('server_silent')
            self._parts.server_is_silent = True
            return
        self._parts.metrics.count('server_link_replaced')
        self._parts.out.replace_source(source)
        self.perform(
            self._parts.upstream.handle_socket_replaced(source, now), now
        )
