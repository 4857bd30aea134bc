"""What a carrier knows of each feed that it carries."""

import attrs

from redwingstream.flows.effects import RegistrationId
from redwingstream.flows.observe import sequence_number
from redwingstream.flows.records import FlowKey, FlowRecord


@attrs.frozen
class FeedLimits:
    """Bounds and times, in seconds, of the feeds of a carrier.

    Parameters
    ----------
    capacity : int
        Feeds carried at most.
    ack_timeout : float
        How long the first copy of a notification waits for its ACK; each
        repeat waits twice as long.
    max_ack_timeout : float
        Longest wait of a repeat.  Without it one unlucky notification keeps a
        live feed silent for as long as all its repeats took together.
    max_repeats : int
        Repeats without an ACK after which the caller counts as gone.
    come_back : int
        Least number of seconds in a Max-Age; up to as many again are added
        at random, so that callers do not come back in step.
    first_backoff, max_backoff : float
        Between two tries to register a feed at the server.
    """

    capacity: int = 8192
    ack_timeout: float = 0.4
    max_ack_timeout: float = 2.0
    max_repeats: int = 12
    come_back: int = 5
    first_backoff: float = 0.25
    max_backoff: float = 30.0


@attrs.define
class FeedCounters:
    """What became of the feeds and notifications of a carrier."""

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
    """How far the newest state of a feed has come towards its caller.

    Parameters
    ----------
    counter : int
        Notifications sent under the present generation.
    message_id : int or None
        Of the notification that waits for its ACK.
    packet : bytes
        The last notification sent.
    held : bytes
        A newer one that waits; empty when there is none.
    tried : list of str
        Balancers through which went what waits for its ACK.
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
        As the home has it.
    delivery : Delivery
        The caller's side.
    source : FeedSource or None
        The server's side; None while the feed is not registered there.
    waiting_since : float
        Since when it is not.
    asked_at : float or None
        When its home was last asked to place it elsewhere.
    failures : int
        Registrations that failed since the last notification.
    established : bool
        Whether the caller counts on it: it has had a notification.
    closing : bool
        True while the final answer waits for its ACK.
    """

    record: FlowRecord
    delivery: Delivery
    source: RegistrationId | None = None
    waiting_since: float = 0
    asked_at: float | None = None
    failures: int = 0
    established: bool = False
    closing: bool = False

    @property
    def key(self) -> FlowKey:
        """Name of the feed."""
        return self.record.key

    @property
    def observe(self) -> int:
        """Number of the last notification sent."""
        last = max(0, self.delivery.counter - 1)
        return sequence_number(self.record.generation, last)
