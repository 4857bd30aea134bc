"""Choice of another agent for work that this one cannot take."""

import random
import statistics
from collections import deque

import attrs

from redwingstream.admission.concurrency_limit import COLD_LIMIT
from redwingstream.forwarding.messages import LoadReport

# Age in seconds above which a load report is ignored.
REPORT_EXPIRY = 1.5
# Work sent to a host within this many seconds before the arrival of its report
# may be missing in the report: the round trip between zones, and the time that
# the report waited to be sent.
REPORT_LAG = 0.05


@attrs.define
class _Peer:
    """Latest report of a host, and the times of the work sent to it since."""

    report: LoadReport
    reported_at: float
    sent_at: deque[float] = attrs.field(factory=deque)

    @property
    def free_capacity(self) -> int:
        """Number of further requests that the host can take."""
        return self.report.limit - self.report.in_flight - len(self.sent_at)

    @property
    def load(self) -> float:
        """Fraction of the host's limit that is in use."""
        return 1 - self.free_capacity / self.report.limit

    def has_measured(self, now: float) -> bool:
        """Whether the reported latency was measured on a warm server."""
        return self.is_warm(now) and self.report.latency > 0

    def evict_sent(self, before: float) -> None:
        """Evict work sent before a point in time, which has ended by now."""
        while self.sent_at and self.sent_at[0] < before:
            self.sent_at.popleft()

    def is_fresh(self, now: float) -> bool:
        """Whether the report is recent enough to be used."""
        return now - self.reported_at <= REPORT_EXPIRY

    def is_warm(self, now: float) -> bool:
        """Whether the report is fresh and states more than the cold limit."""
        return self.is_fresh(now) and self.report.limit > COLD_LIMIT


class PeerLoads:
    """Latest load reports of the other agents of a pool.

    Parameters
    ----------
    rng : random.Random
        Source of randomness for the choice of candidates.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._by_host: dict[str, _Peer] = {}

    def handle_report(self, report: LoadReport, now: float) -> None:
        """Handle a report; one from an earlier run of its agent is ignored.

        Parameters
        ----------
        report : LoadReport
            Load report of the agent.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        previous = self._by_host.get(report.host)
        peer = _Peer(report, now)
        if previous is not None:
            if previous.report.incarnation > report.incarnation:
                return
            # Work sent too recently to be contained in the report.
            recent = (at for at in previous.sent_at if now - at < REPORT_LAG)
            peer.sent_at.extend(recent)
        self._by_host[report.host] = peer

    def remove(self, host: str) -> None:
        """Remove a host that has left the pool."""
        self._by_host.pop(host, None)

    def choose(
        self,
        exclude: frozenset[str],
        now: float,
        run_time: float = REPORT_EXPIRY,
    ) -> str | None:
        """Return the less loaded of two random hosts with free capacity.

        Work sent is counted until the next report.  With the report alone,
        all agents would send to the same host until its next report.

        Cold servers are candidates only while no server is warm; otherwise
        they get the little work that they can handle from the buckets that
        their own agents own.  If they were never candidates, a server without
        any work would stay cold, and an agent whose own server is dead would
        refuse all requests of its buckets although other servers are idle.
        The agent beside a cold server protects it from overload.

        Parameters
        ----------
        exclude : frozenset of str
            Hosts that must not be chosen.
        now : float
            Current time in seconds, by the event loop's clock.
        run_time : float, optional
            Duration of a run in seconds; work sent earlier no longer counts.

        Returns
        -------
        str or None
            None when no host has reported free capacity.
        """
        for known in self._by_host.values():
            known.evict_sent(now - run_time)
        # Sorted, so that a seed gives one outcome in whatever order reports
        # arrived.
        candidates = sorted(
            host
            for host, peer in self._by_host.items()
            if host not in exclude and self._is_candidate(peer, now)
        )
        if not candidates:
            return None
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        return self._record_sent(min(drawn, key=self._load_of), now)

    def expected_latency(self, now: float) -> float | None:
        """Return the median latency of warm servers in seconds, or None.

        Parameters
        ----------
        now : float
            Current time in seconds, by the event loop's clock.
        """
        latencies = [
            peer.report.latency
            for peer in self._by_host.values()
            if peer.has_measured(now)
        ]
        return statistics.median(latencies) if latencies else None

    def choose_for_open_feed(
        self, exclude: frozenset[str], now: float
    ) -> str | None:
        """Return the host with the fewest feeds that accepts work at all.

        Used for a feed that is open and must be moved.  In a pool that carries
        only feeds, every server counts as cold for requests, so that no host
        would have free capacity and the feed would break.

        Parameters
        ----------
        exclude : frozenset of str
            Hosts that must not be chosen.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        candidates = sorted(
            host
            for host, peer in self._by_host.items()
            if host not in exclude
            and now - peer.reported_at <= REPORT_EXPIRY
            and peer.report.limit
        )
        if not candidates:
            return None
        return self._record_sent(min(candidates, key=self._feeds_of), now)

    def _is_candidate(self, peer: _Peer, now: float) -> bool:
        """Whether a host has free capacity; a draining one has limit 0."""
        is_asked = peer.is_warm(now) or not self._is_any_warm(now)
        return is_asked and peer.is_fresh(now) and peer.free_capacity > 0

    def _is_any_warm(self, now: float) -> bool:
        return any(peer.is_warm(now) for peer in self._by_host.values())

    def _record_sent(self, chosen: str, now: float) -> str:
        self._by_host[chosen].sent_at.append(now)
        return chosen

    def _feeds_of(self, host: str) -> int:
        peer = self._by_host[host]
        return peer.report.flows + len(peer.sent_at)

    def _load_of(self, host: str) -> tuple[float, int]:
        peer = self._by_host[host]
        return (peer.load, peer.report.flows)
