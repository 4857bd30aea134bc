"""Which other agent is to take work that this one cannot."""

import random
import statistics
from collections import deque

import attrs

from redwingstream.admission.limit import COLD_LIMIT
from redwingstream.forwarding.messages import LoadReport

# Seconds after which a report says nothing any more.
REPORT_EXPIRY = 1.5
# Seconds before a report's arrival in which work sent to its host may not be
# in it yet: both ways between zones, and the time that it waited to be sent.
REPORT_LAG = 0.05


@attrs.define
class _Peer:
    """Latest report of a host, and the times of what it was sent since."""

    report: LoadReport
    reported_at: float
    sent_at: deque[float] = attrs.field(factory=deque)

    @property
    def room(self) -> int:
        """Requests that it can still take."""
        return self.report.limit - self.report.in_flight - len(self.sent_at)

    @property
    def load(self) -> float:
        """Fraction of its limit that is in use."""
        return 1 - self.room / self.report.limit

    def has_measured(self, now: float) -> bool:
        """Whether its latency is that of a warm server."""
        return self.is_warm(now) and self.report.latency > 0

    def forget_sent(self, before: float) -> None:
        """Forget what was sent before a time: it has ended."""
        while self.sent_at and self.sent_at[0] < before:
            self.sent_at.popleft()

    def is_fresh(self, now: float) -> bool:
        """Whether its report still says something."""
        return now - self.reported_at <= REPORT_EXPIRY

    def is_warm(self, now: float) -> bool:
        """Whether its report is fresh and gives more than the cold limit."""
        return self.is_fresh(now) and self.report.limit > COLD_LIMIT


class PeerLoads:
    """Latest load reports of the other agents of a pool.

    Parameters
    ----------
    rng : random.Random
        Where candidates are drawn from.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._by_host: dict[str, _Peer] = {}

    def handle_report(self, report: LoadReport, now: float) -> None:
        """Take a report, unless it is from an earlier run of its agent.

        Parameters
        ----------
        report : LoadReport
            What the agent says.
        now : float
            Seconds.
        """
        former = self._by_host.get(report.host)
        peer = _Peer(report, now)
        if former is not None:
            if former.report.incarnation > report.incarnation:
                return
            # Sent so lately that the report cannot know of it.
            recent = (at for at in former.sent_at if now - at < REPORT_LAG)
            peer.sent_at.extend(recent)
        self._by_host[report.host] = peer

    def forget(self, host: str) -> None:
        """Remove a host that has left."""
        self._by_host.pop(host, None)

    def choose(
        self,
        exclude: frozenset[str],
        now: float,
        run_time: float = REPORT_EXPIRY,
    ) -> str | None:
        """Return the less loaded of two random hosts with room.

        What is sent is counted until the next report: with the report alone
        everybody would send to the same host until it is heard again.

        A cold server gets the little that it can bear from its own home
        buckets, as long as any other one is warm.  Where all are cold they are
        asked as well: a server that nobody gives anything to stays cold, and a
        home whose own server is dead would refuse everything beside idle ones.
        The agent there keeps its server from getting more than it bears.

        Parameters
        ----------
        exclude : frozenset of str
            Hosts that are no choice.
        now : float
            Seconds.
        run_time : float, optional
            Seconds that a run takes; what was sent longer ago counts no more.

        Returns
        -------
        str or None
            None when nobody has said that it has room.
        """
        for known in self._by_host.values():
            known.forget_sent(now - run_time)
        # Sorted, so that a seed gives one outcome in whatever order reports
        # arrived.
        candidates = sorted(
            host
            for host, peer in self._by_host.items()
            if host not in exclude and self._may_take(peer, now)
        )
        if not candidates:
            return None
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        return self._note_sent(min(drawn, key=self._load_of), now)

    def expected_latency(self, now: float) -> float | None:
        """Return the median latency of warm servers, or None.

        Parameters
        ----------
        now : float
            Seconds.
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
        """Return the host with the fewest feeds that takes work at all.

        For a feed that must go on.  In a pool that carries feeds only, every
        server counts as cold for requests; chosen among those with room, no
        host would be found and the feed would break.

        Parameters
        ----------
        exclude : frozenset of str
            Hosts that are no choice.
        now : float
            Seconds.
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
        return self._note_sent(min(candidates, key=self._feeds_of), now)

    def _may_take(self, peer: _Peer, now: float) -> bool:
        """Whether a host has room; a draining one reports a limit of 0."""
        is_asked = peer.is_warm(now) or not self._is_any_warm(now)
        return is_asked and peer.is_fresh(now) and peer.room > 0

    def _is_any_warm(self, now: float) -> bool:
        return any(peer.is_warm(now) for peer in self._by_host.values())

    def _note_sent(self, chosen: str, now: float) -> str:
        self._by_host[chosen].sent_at.append(now)
        return chosen

    def _feeds_of(self, host: str) -> int:
        peer = self._by_host[host]
        return peer.report.flows + len(peer.sent_at)

    def _load_of(self, host: str) -> tuple[float, int]:
        peer = self._by_host[host]
        return (peer.load, peer.report.flows)
