"""What an agent tells the others of its pool without being asked."""

from redwingstream.agent.parts import AgentParts
from redwingstream.endpoints import parse_endpoint
from redwingstream.flows.records import FlowRecord
from redwingstream.forwarding.messages import CarriedFeeds, LoadReport
from redwingstream.membership.messages import Probe
from redwingstream.tables.rows import ViewMember

LOAD_INTERVAL = 0.3
REPORTED_PEERS = 8
"""How many peers hear a load report; in a larger pool they take turns."""

ASSERT_INTERVAL = 10.0
FIRST_ASSERT_INTERVAL = 2.0
"""After a change of view, which the new home may hear of later."""

RECORDS_IN_MESSAGE = 64
HOMES_INTERVAL = 0.5


class Reports:
    """Load reports, carried feeds and probes.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    """

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts
        self._load_at = float()
        self._assert_at = float()
        self._homes_at = float()
        self._is_first_assert = True
        self._turn = 0

    def assert_soon(self) -> None:
        """Tell the homes of the feeds carried here: the view changed."""
        self._assert_at = float()
        self._is_first_assert = True

    def tick(self, now: float) -> None:
        """Send what is due."""
        if now >= self._load_at:
            self._load_at = now + LOAD_INTERVAL
            self._report_load()
        if now >= self._assert_at:
            interval = ASSERT_INTERVAL
            if self._is_first_assert:
                interval = FIRST_ASSERT_INTERVAL
            self._is_first_assert = False
            self._assert_at = now + interval
            self._report_feeds()
        if now >= self._homes_at:
            self._homes_at = now + HOMES_INTERVAL
            self._await_homes(now)
        revision = self._parts.tables.revision
        for peer in self._parts.links.due_probes(now):
            self._parts.out.to_peer(str(peer), Probe(revision))

    def _await_homes(self, now: float) -> None:
        """Expect a sign of life of the homes whose heir this agent is.

        Otherwise the first packets that balancers turn to the heir would still
        be passed on to the dead home.
        """
        parts = self._parts
        homes = {
            home.endpoint
            for bucket in range(parts.identity.buckets)
            if parts.is_this_agent(parts.heir_of(bucket))
            and (home := parts.home_of(bucket)) is not None
        }
        for endpoint in homes:
            parts.links.sent(parse_endpoint(endpoint), now)

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
        if len(others) <= REPORTED_PEERS:
            return others
        start = self._turn % len(others)
        self._turn += REPORTED_PEERS
        return (others + others)[start : start + REPORTED_PEERS]

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
        for start in range(0, len(records), RECORDS_IN_MESSAGE):
            part = tuple(records[start : start + RECORDS_IN_MESSAGE])
            message = CarriedFeeds(self._parts.identity.pool, part)
            self._parts.out.to_peer(endpoint, message)
