"""Sends the periodic messages of an agent to the other agents of its pool.

These are load reports, by which agents choose where to place work, reports of
carried feeds to their homes, and probes of agents that have been silent.
"""

from redwingstream.agent.parts import AgentParts
from redwingstream.endpoints import parse_endpoint
from redwingstream.flows.records import FlowRecord
from redwingstream.forwarding.messages import CarriedFeeds, LoadReport
from redwingstream.membership.messages import Probe
from redwingstream.tables.rows import ViewMember

LOAD_INTERVAL = 0.3
"""Seconds between two load reports."""

MAX_PEERS_PER_REPORT = 8
"""Maximum count of peers that get one load report; in a larger pool the reports
go to the peers in rotation."""

FEED_REPORT_INTERVAL = 10.0
"""Seconds between two reports of carried feeds to their homes."""

FIRST_FEED_REPORT_INTERVAL = 2.0
"""Seconds until the second report after a change of view.

The new home may learn of the view after the first report has arrived.
"""

MAX_RECORDS_PER_MESSAGE = 64
HOME_PROBE_INTERVAL = 0.5
"""Seconds between two checks of the homes of which this agent is heir."""


class PeerReports:
    """Sends load reports, reports of carried feeds, and probes.

    Parameters
    ----------
    parts : AgentParts
        State and decision objects of the agent.
    """

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts
        self._load_report_at = float()
        self._feed_report_at = float()
        self._home_probe_at = float()
        self._is_first_feed_report = True
        self._next_peer_index = 0

    def schedule_feed_report(self) -> None:
        """Report carried feeds at the next tick, as the view changed."""
        self._feed_report_at = float()
        self._is_first_feed_report = True

    def tick(self, now: float) -> None:
        """Send all messages that are due."""
        if now >= self._load_report_at:
            self._load_report_at = now + LOAD_INTERVAL
            self._report_load()
        if now >= self._feed_report_at:
            interval = FEED_REPORT_INTERVAL
            if self._is_first_feed_report:
                interval = FIRST_FEED_REPORT_INTERVAL
            self._is_first_feed_report = False
            self._feed_report_at = now + interval
            self._report_feeds()
        if now >= self._home_probe_at:
            self._home_probe_at = now + HOME_PROBE_INTERVAL
            self._schedule_home_probes(now)
        revision = self._parts.tables.revision
        for peer in self._parts.links.due_probes(now):
            self._parts.out.to_peer(str(peer), Probe(revision))

    def _schedule_home_probes(self, now: float) -> None:
        """Have the homes probed for whose buckets this agent is heir.

        Otherwise the first packets that balancers send to the heir would still
        be forwarded to a dead home.
        """
        parts = self._parts
        homes = {
            home.endpoint
            for bucket in range(parts.identity.buckets)
            if parts.is_this_agent(parts.heir_of(bucket))
            and (home := parts.home_of(bucket)) is not None
        }
        for endpoint in homes:
            parts.links.record_sent(parse_endpoint(endpoint), now)

    def _report_load(self) -> None:
        parts = self._parts
        takes_work = not (
            parts.is_leaving or parts.is_zone_out() or parts.server_is_silent
        )
        report = LoadReport(
            host=parts.identity.host,
            incarnation=parts.identity.incarnation,
            in_flight=parts.limit.in_flight,
            limit=parts.limit.limit if takes_work else 0,
            flows=len(parts.feeds),
            latency=self._warm_latency(),
        )
        for peer in self._next_peers():
            parts.out.to_peer(peer.endpoint, report)

    def _warm_latency(self) -> float:
        limit = self._parts.limit
        return 0 if limit.is_cold else limit.expected_latency or 0

    def _next_peers(self) -> list[ViewMember]:
        view = self._parts.tables.view_by_pool.get(self._parts.identity.pool)
        members = () if view is None else view.members
        others = [
            peer for peer in members if not self._parts.is_this_agent(peer)
        ]
        if len(others) <= MAX_PEERS_PER_REPORT:
            return others
        start = self._next_peer_index % len(others)
        self._next_peer_index += MAX_PEERS_PER_REPORT
        return (others + others)[start : start + MAX_PEERS_PER_REPORT]

    def _report_feeds(self) -> None:
        parts = self._parts
        records_by_home: dict[str, list[FlowRecord]] = {}
        for record in parts.feeds.records():
            key = record.key
            home = parts.home_of(parts.bucket_of(key.caller, key.service))
            if home is not None and not parts.is_this_agent(home):
                records_by_home.setdefault(home.endpoint, []).append(record)
        for endpoint, records in records_by_home.items():
            self._send_feeds(endpoint, records)

    def _send_feeds(self, endpoint: str, records: list[FlowRecord]) -> None:
        for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
            part = tuple(records[start : start + MAX_RECORDS_PER_MESSAGE])
            message = CarriedFeeds(self._parts.identity.pool, part)
            self._parts.out.to_peer(endpoint, message)
