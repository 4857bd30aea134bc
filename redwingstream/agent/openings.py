"""Registers feeds at the server, at the pace that it can bear."""

from aiocoap.message import Message

from redwingstream.admission.concurrency_limit import RunResult
from redwingstream.agent.effects import PerformServerEffects
from redwingstream.agent.parts import AgentParts
from redwingstream.flows.effects import FeedSource, OpenFeed
from redwingstream.wire import coap

UNSERVED_FEED_TIMEOUT = 2.0
"""Seconds after which a feed that its server does not take moves elsewhere."""


class FeedOpenings:
    """The feeds at the server, as admission counts them.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    perform : callable
        Carries out what the server's side asks for.
    """

    def __init__(
        self, parts: AgentParts, perform: PerformServerEffects
    ) -> None:
        self._parts = parts
        self._perform = perform
        self._opening_at: dict[FeedSource, float] = {}
        self._open: set[FeedSource] = set()

    def open_waiting(self, now: float) -> None:
        """Register waiting feeds, as many as the server can bear."""
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

    def handle_notification(self, source: FeedSource, now: float) -> bool:
        """Take a notification; True when it is the first one."""
        started_at = self._opening_at.pop(source, None)
        if started_at is None:
            return False
        self._finish(started_at, RunResult.COMPLETED, now)
        self._parts.feed_limit.record_opened()
        self._open.add(source)
        return True

    def handle_end(
        self, source: FeedSource, response: Message | None, now: float
    ) -> None:
        """Take the end of a feed at the server.

        Notes
        -----
        An answer that is no refusal, such as 4.04, says that the server works:
        one caller that asks for what is not there must not turn it cold.
        """
        run_result = RunResult.TIMED_OUT
        if response is not None:
            is_refusal = response.code is coap.SERVICE_UNAVAILABLE
            run_result = (
                RunResult.REFUSED if is_refusal else RunResult.COMPLETED
            )
        self._give_back(source, run_result, now)

    def close(self, source: FeedSource, now: float) -> None:
        """Deregister a feed at the server."""
        self._give_back(source, RunResult.CANCELLED, now)
        self._perform(self._parts.upstream.close_feed(source, now), now)

    def handle_server_restart(self, now: float) -> None:
        """Forget what the server has forgotten; admission starts cold."""
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

    def _give_back(
        self, source: FeedSource, run_result: RunResult, now: float
    ) -> None:
        started_at = self._opening_at.pop(source, None)
        if started_at is not None:
            self._finish(started_at, run_result, now)
            self._end_opening(run_result)
        elif source in self._open:
            self._open.discard(source)
            self._parts.feed_limit.record_closed()

    def _end_opening(self, run_result: RunResult) -> None:
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
