"""The link of a balancer that carries uploads."""

import math
from collections.abc import Callable
from typing import Any

from redwingstream.links.bulk_admission import BulkAdmission
from redwingstream.links.scheduler import LinkScheduler
from redwingstream.packets.effects import BulkToPeer, ToPeer
from redwingstream.packets.flow import Address, Head
from redwingstream.tables.rows import FlowKind, Route


class UploadLink:
    """Scheduler and admission of one link, and the routes they apply to.

    Parameters
    ----------
    link_rate : float
        Bytes per second that the link carries; finite.
    log : callable
        Writes a log event.

    Attributes
    ----------
    scheduler : LinkScheduler
        Decides when packets are sent.
    admission : BulkAdmission
        Decides which new uploads are carried.
    """

    def __init__(self, link_rate: float, log: Callable[[Any], None]) -> None:
        self.scheduler = LinkScheduler(link_rate, log)
        self.admission = BulkAdmission(link_rate)
        self._services: frozenset[Address] = frozenset()

    def apply_routes(self, route_by_service: dict[Address, Route]) -> bool:
        """Apply newer routes; return whether any of them is for uploads."""
        self._services = frozenset(
            service
            for service, route in route_by_service.items()
            if route.rules.kind is FlowKind.UPLOAD
        )
        return bool(self._services)

    def admits(self, head: Head, timeout: float, now: float) -> bool:
        """Whether to carry the flow that an opening packet begins."""
        if head.target not in self._services:
            return True
        return self.admission.admit(head, timeout, now)

    def classify(
        self, datagram: ToPeer, head: Head, now: float
    ) -> ToPeer | BulkToPeer:
        """Return a datagram with a packet of an open flow as bulk if it is."""
        if head.target not in self._services:
            return datagram
        if head.size:
            self.admission.record_data(head.inbound, now)
        elif not self._follows_queued_data(head):
            return datagram
        return BulkToPeer(
            datagram.payload,
            datagram.target,
            head.inbound,
            head.sequence,
            head.size,
        )

    def _follows_queued_data(self, head: Head) -> bool:
        """Whether a packet without data must not overtake data of its flow.

        A server that has closed a flow returns data that arrives later, and its
        agent takes that for the loss of the flow.  An end therefore waits for
        the queued data; after a reset, nobody needs the data.
        """
        queue = self.scheduler.queue
        if head.is_reset:
            queue.drop_flow(head.inbound)
        return head.is_end and queue.holds(head.inbound)


def make_upload_link(
    link_rate: float, log: Callable[[Any], None]
) -> UploadLink | None:
    """Return the link, or None if its rate is not known.

    Parameters
    ----------
    link_rate : float
        Bytes per second that the link carries; infinite if not known.
    log : callable
        Writes a log event.
    """
    return None if math.isinf(link_rate) else UploadLink(link_rate, log)
