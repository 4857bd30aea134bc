"""Limit on the uploads in progress on the link of a balancer."""

import attrs

from redwingstream.links.scheduler import HEADER_BYTES
from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.flow import FlowId, Head, host_number

WINDOW_PACKETS = 16
"""Number of packets that a caller sends at once."""

MAX_PACKET_BYTES = 1272
"""Maximum size of a packet of 1,232 bytes in an envelope of 40 bytes."""

WINDOW_BYTES = WINDOW_PACKETS * (MAX_PACKET_BYTES + HEADER_BYTES)
"""Bytes that the link carries for a caller's window."""

RETRANSMISSION_SECONDS = 0.2
"""Seconds after which a caller retransmits a packet."""

IDLE_SECONDS = 1
"""Seconds without data after which a flow is no longer in progress."""

MAX_FLOWS = 1024
"""Maximum number of flows that are counted; 16 packets of each within 0.2 s
take a link of 850 Mbit/s."""

DEFAULT_TIMEOUT = 10
"""Seconds for which a caller host is not refused again if the route has no
time-out."""

MAX_REFUSED_HOSTS = 1024
"""Maximum number of refused caller hosts that are remembered, in 0.3 MB.  A
host beyond that may be refused again."""

MAX_TIMEOUT = 60
"""Maximum seconds for which a refused caller host is remembered."""


@attrs.define
class AdmissionCounters:
    """Counts of uploads since the process started."""

    admitted: int = 0
    refused: int = 0


class BulkAdmission:
    """Decides whether a new upload is carried by this link.

    Parameters
    ----------
    link_rate : float
        Bytes per second that the link carries; finite.

    Attributes
    ----------
    limit : int
        Number of uploads that can each have a whole window sent before their
        callers retransmit it.
    """

    def __init__(self, link_rate: float) -> None:
        self.counters = AdmissionCounters()
        whole_windows = link_rate * RETRANSMISSION_SECONDS // WINDOW_BYTES
        self.limit = max(1, int(whole_windows))
        self._flows: BoundedTable[FlowId, bool] = BoundedTable(
            MAX_FLOWS, IDLE_SECONDS
        )
        self._refused_at: BoundedTable[int, float] = BoundedTable(
            MAX_REFUSED_HOSTS, MAX_TIMEOUT
        )

    def admit(self, head: Head, timeout: float, now: float) -> bool:
        """Whether to carry the upload that an opening packet begins.

        Copies are always admitted, and so is the first packet of a flow in
        progress, which the network has duplicated or delivered after a copy: a
        server may have been given the flow already.

        Parameters
        ----------
        head : Head
            Header of the opening packet.
        timeout : float
            Seconds after which callers give up a request; 0 if not known.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        if self._is_refusable(head, timeout, now):
            self.counters.refused += 1
            self._refused_at.put(host_number(head.source), now, now)
            return False
        self.counters.admitted += not head.acknowledged
        self.record_data(head.inbound, now)
        return True

    def record_data(self, flow: FlowId, now: float) -> None:
        """Record that a packet of an upload was received."""
        self._flows.put(flow, row=True, now=now)

    def in_progress(self, now: float) -> int:
        """Return the number of uploads in progress."""
        self._flows.evict_expired(now)
        return len(self._flows)

    def _is_refusable(self, head: Head, timeout: float, now: float) -> bool:
        if head.acknowledged or self.in_progress(now) < self.limit:
            return False
        if self._flows.get(head.inbound, now) is not None:
            return False
        # Each of the few attempts of a caller could reach this instance, and
        # its request would fail if all of them were refused.
        self._refused_at.evict_expired(now)
        refused_at = self._refused_at.get(host_number(head.source), now)
        return refused_at is None or (
            now - refused_at >= (timeout or DEFAULT_TIMEOUT)
        )
