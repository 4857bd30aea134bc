"""State of each feed that an agent carries, with its limits and counters."""

import attrs

from redwingstream.flows.effects import RegistrationId
from redwingstream.flows.observe import sequence_number
from redwingstream.flows.records import FlowKey, FlowRecord


@attrs.frozen
class FeedLimits:
    """Limits of the feeds of a carrier; times are in seconds.

    Parameters
    ----------
    capacity : int
        Maximum count of feeds carried.
    ack_timeout : float
        Time to wait for the ACK of the first copy of a notification; the time
        doubles with each retransmission.
    max_ack_timeout : float
        Maximum time to wait for the ACK of a retransmission.  Without it, a
        notification that is lost repeatedly would keep a live feed silent for
        as long as all its retransmissions took together.
    max_repeats : int
        Retransmissions without an ACK after which the caller counts as gone.
    min_max_age : int
        Minimum Max-Age of a final answer, after which the caller may try
        again.  Up to as many seconds are added at random, so that callers do
        not return at the same time.
    initial_backoff, max_backoff : float
        Minimum and maximum delay between two attempts to register a feed at
        the server, before the random spread.
    """

    capacity: int = 8192
    ack_timeout: float = 0.4
    max_ack_timeout: float = 2.0
    max_repeats: int = 12
    min_max_age: int = 5
    initial_backoff: float = 0.25
    max_backoff: float = 30.0


@attrs.define
class FeedCounters:
    """Counts of the events of a carrier's feeds and notifications.

    Parameters
    ----------
    opened, taken : int
        Feeds that callers registered here; those taken over from another
        carrier.
    notified, repeats : int
        Notifications sent, and their retransmissions.
    superseded : int
        Notifications that were replaced by a newer one before an ACK.
    late : int
        Notifications of an earlier registration, which are dropped.
    rejected : int
        Feeds that a caller ended with an RST.
    unanswered : int
        Feeds ended because the caller acknowledged no retransmission.
    refused : int
        Feeds not accepted: the carrier is full, or the record has no
        registration.
    given_up : int
        Feeds ended early by their agent.
    moved_away : int
        Feeds that their home placed at another carrier.
    """

    opened: int = 0
    taken: int = 0
    notified: int = 0
    repeats: int = 0
    superseded: int = 0
    late: int = 0
    rejected: int = 0
    unanswered: int = 0
    refused: int = 0
    given_up: int = 0
    moved_away: int = 0


@attrs.define(eq=False)
class Delivery:
    """Delivery of a feed's notifications to its caller.

    Parameters
    ----------
    counter : int
        Notifications sent under the current generation.
    message_id : int or None
        Message id of the notification that waits for its ACK.
    packet : bytes
        The last notification sent.
    held : bytes
        A newer notification that waits for that ACK; empty if there is none.
    tried : list of str
        Balancers through which copies of the unacknowledged notification were
        sent, in order.
    """

    counter: int = 0
    message_id: int | None = None
    packet: bytes = b''
    held: bytes = b''
    tried: list[str] = attrs.Factory(list)


@attrs.define(eq=False)
class Feed:
    """A feed between a caller and the server.

    Parameters
    ----------
    record : FlowRecord
        The record that the feed's home has stored.
    delivery : Delivery
        Delivery of notifications to the caller.
    source : RegistrationId or None
        Current registration at the server; None while the feed is not
        registered there.
    unregistered_at : float
        Start of the time without a registration at the server, in seconds, by
        the event loop's clock.
    relocation_requested_at : float or None
        When the home was last asked to place the feed at another carrier.
    failures : int
        Registrations that failed since the last notification.
    established : bool
        Whether the server has sent a notification, here or at a former
        carrier, so that the caller relies on the feed.
    closing : bool
        Whether the final answer has been sent and waits for its ACK.
    """

    record: FlowRecord
    delivery: Delivery
    source: RegistrationId | None = None
    unregistered_at: float = 0
    relocation_requested_at: float | None = None
    failures: int = 0
    established: bool = False
    closing: bool = False

    @property
    def key(self) -> FlowKey:
        """Key of the feed."""
        return self.record.key

    @property
    def observe(self) -> int:
        """Sequence number of the last notification sent."""
        last = max(0, self.delivery.counter - 1)
        return sequence_number(self.record.generation, last)
