"""Registers feeds at the server, at the rate that admission allows."""

from aiocoap.message import Message

from redwingstream.admission.concurrency_limit import RunResult
from redwingstream.agent.effects import PerformServerEffects
from redwingstream.agent.parts import AgentParts
from redwingstream.flows.effects import OpenFeed, RegistrationId
from redwingstream.wire import coap

UNSERVED_FEED_TIMEOUT = 2.0
"""Seconds after which a feed that the server does not accept moves to another
agent."""


class FeedOpenings:
    """Opens and closes feeds at the server and counts them for admission.

    Parameters
    ----------
    parts : AgentParts
        State that the modules of the agent share.
    perform : callable
        Carries out the effects of the link to the server.
    """

    def __init__(
        self, parts: AgentParts, perform: PerformServerEffects
    ) -> None:
        self._parts = parts
        self._perform = perform
        self._opening_at: dict[RegistrationId, float] = {}
        self._open: set[RegistrationId] = set()

    def open_waiting(self, now: float) -> None:
        """Register waiting feeds, as many as admission allows."""
        parts = self._parts
        if parts.server_is_silent or parts.is_zone_out():
            return
        while (
            parts.limit.can_start(now)
            and parts.feed_limit.available_registrations(now) > 0
        ):
            opens = parts.feeds.next_registrations(now, 1)
            if not opens:
                return
            self._open_one(opens[0], now)

    def handle_notification(self, source: RegistrationId, now: float) -> bool:
        """Handle a notification; return True if it is the feed's first."""
        started_at = self._opening_at.pop(source, None)
        if started_at is None:
            return False
        self._finish(started_at, RunResult.COMPLETED, now)
        self._parts.feed_limit.record_opened()
        self._open.add(source)
        return True

    def handle_end(
        self, source: RegistrationId, response: Message | None, now: float
    ) -> None:
        """Handle that the server has ended a feed.

        Parameters
        ----------
        source : RegistrationId
            The feed.
        response : Message, optional
            The response that ended it; None when the server did not answer.
        now : float
            Current time in seconds, by the event loop's clock.

        Notes
        -----
        A response other than a refusal, such as 4.04 (Not Found), shows that
        the server works.  It counts as completed: otherwise one caller that
        asks for a missing resource would make admission treat the server as
        cold.
        """
        run_result = RunResult.TIMED_OUT
        if response is not None:
            is_refusal = response.code is coap.SERVICE_UNAVAILABLE
            run_result = (
                RunResult.REFUSED if is_refusal else RunResult.COMPLETED
            )
        self._release(source, run_result, now)

    def close(self, source: RegistrationId, now: float) -> None:
        """Deregister a feed at the server."""
        self._release(source, RunResult.CANCELLED, now)
        self._perform(self._parts.upstream.close_feed(source, now), now)

    def handle_server_restart(self, now: float) -> None:
        """Drop all feeds, which a restarted server has lost; start cold."""
        for started_at in self._opening_at.values():
            self._finish(started_at, RunResult.CANCELLED, now)
        self._opening_at.clear()
        self._open.clear()
        self._parts.feed_limit.server_restarted(now)

    def _open_one(self, opening: OpenFeed, now: float) -> None:
        parts = self._parts
        source = opening.source
        parts.feed_limit.try_open(now)
        parts.limit.try_start(now)
        self._opening_at[source] = now
        _, effects = parts.upstream.open_feed(
            opening.request, source, now, now + UNSERVED_FEED_TIMEOUT
        )
        self._perform(effects, now)

    def _release(
        self, source: RegistrationId, run_result: RunResult, now: float
    ) -> None:
        started_at = self._opening_at.pop(source, None)
        if started_at is not None:
            self._finish(started_at, run_result, now)
            self._record_opening_end(run_result)
        elif source in self._open:
            self._open.discard(source)
            self._parts.feed_limit.record_closed()

    def _record_opening_end(self, run_result: RunResult) -> None:
        feed_limit = self._parts.feed_limit
        if run_result in {RunResult.TIMED_OUT, RunResult.REFUSED}:
            feed_limit.record_failed()
        else:
            feed_limit.record_opened()
            feed_limit.record_closed()

    def _finish(
        self, started_at: float, run_result: RunResult, now: float
    ) -> None:
        self._parts.limit.record_finished(now - started_at, run_result, now)
