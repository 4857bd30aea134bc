"""Open requests and feeds at an agent's server, with several indexes."""

from collections import OrderedDict
from collections.abc import Hashable, Iterator

import attrs

from redwingstream.flows.message_ids import EXCHANGE_LIFETIME

MAX_FINISHED = 4096
"""Maximum count of ended exchanges whose tokens are remembered."""


@attrs.frozen
class UpstreamLimits:
    """Limits of the exchanges with a server; times are in seconds.

    Parameters
    ----------
    sources : int
        Number of sockets to the server.  The message ids of one socket allow
        65536 requests in 247 s, which is 265 per second.
    max_exchanges : int
        Maximum count of open requests and feeds.
    ack_timeout : float
        ``ACK_TIMEOUT`` of RFC 7252.
    max_repeats : int
        ``MAX_RETRANSMIT`` of RFC 7252.
    repeat_non_idempotent : bool
        Whether a non-idempotent request is retransmitted under its message id.
        A server that restarts between two copies has lost the id and would run
        the request twice, hence False.
    refresh_after : float
        Maximum time without a notification after which a feed is registered
        again; a shorter Max-Age of its last notification takes precedence.
    refresh_timeout : float
        Maximum time for the answer to that registration.
    check_interval : float
        Interval at which the longest silent feed is registered again, to
        detect a restart of the server.
    """

    sources: int = 4
    max_exchanges: int = 16384
    ack_timeout: float = 2.0
    max_repeats: int = 4
    repeat_non_idempotent: bool = False
    refresh_after: float = 60.0
    refresh_timeout: float = 10.0
    check_interval: float = 2.0


@attrs.define
class UpstreamCounters:
    """Counts of the exchanges between an agent and its server.

    Parameters
    ----------
    requests, repeats : int
        Requests and registrations sent, and their retransmissions.
    refused : int
        Requests not sent because of a limit or their deadline.
    timed_out : int
        Exchanges without an answer before their deadline.
    resets : int
        Exchanges that the server ended with an RST.
    duplicates : int
        Answers and notifications received again or out of order.
    late, unknown_tokens : int
        Answers to exchanges that ended without one; answers whose token is
        not known.
    malformed : int
        Packets that are not valid CoAP, or requests.
    restarts : int
        Detected restarts of the server.
    """

    requests: int = 0
    repeats: int = 0
    refused: int = 0
    timed_out: int = 0
    resets: int = 0
    duplicates: int = 0
    late: int = 0
    unknown_tokens: int = 0
    malformed: int = 0
    restarts: int = 0


@attrs.define(eq=False)
class Exchange:
    """A request or a feed at the server.

    Parameters
    ----------
    number : int
        Number by which the agent refers to it.
    owner : hashable
        Object for which it was opened.
    packet : bytes
        The request as sent; a retransmission has the same bytes.
    token : bytes
        Token towards the server.
    message_id : int
        Message id of the request towards the server.
    source : int
        Index of the socket on which it was sent.
    sent_at : float
        When the request, or its latest refresh, was first sent.
    deadline : float
        Time after which its answer is of no use.
    timeout : float
        Seconds until the next retransmission.
    idempotent : bool
        Whether the request may be run twice.
    is_feed : bool
        Whether it registers a feed.
    copies : int
        Number of times it was sent.
    acknowledged : bool
        Whether the server is known to have received it.
    registered : bool
        For a feed, whether the server has answered the latest registration.
    observe : int or None
        Sequence number of the last notification.
    observed_at : float
        When the last notification arrived.
    refresh_floor : int or None
        Value of ``observe`` at the latest refresh.  A lower number in the
        answer shows that the server has restarted.
    """

    number: int
    owner: Hashable
    packet: bytes
    token: bytes
    message_id: int
    source: int
    sent_at: float
    deadline: float
    timeout: float
    idempotent: bool
    is_feed: bool
    copies: int = 1
    acknowledged: bool = False
    registered: bool = False
    observe: int | None = None
    observed_at: float = 0
    refresh_floor: int | None = None


@attrs.frozen
class _Ended:
    """When an exchange ended, and whether it was answered."""

    ended_at: float
    answered: bool


class Exchanges:
    """Open exchanges by number, token and message id, and feeds by owner.

    Notes
    -----
    Tokens of ended exchanges are remembered for ``EXCHANGE_LIFETIME``, up to
    ``MAX_FINISHED`` of them.  A retransmitted answer is then acknowledged; an
    answer with an unknown token is rejected.
    """

    def __init__(self) -> None:
        self._by_number: dict[int, Exchange] = {}
        self._by_token: dict[bytes, Exchange] = {}
        self._by_message_id: dict[tuple[int, int], Exchange] = {}
        self._feed_by_owner: OrderedDict[Hashable, Exchange] = OrderedDict()
        # Oldest first.
        self._ended_by_token: OrderedDict[bytes, _Ended] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of open exchanges."""
        return len(self._by_number)

    def add(self, exchange: Exchange) -> None:
        """Add an open exchange."""
        self._by_number[exchange.number] = exchange
        self._by_token[exchange.token] = exchange
        self._by_message_id[exchange.source, exchange.message_id] = exchange
        if exchange.is_feed:
            self._feed_by_owner[exchange.owner] = exchange

    def set_message_id(self, exchange: Exchange, message_id: int) -> None:
        """Change the message id of an exchange."""
        self._by_message_id.pop((exchange.source, exchange.message_id), None)
        exchange.message_id = message_id
        self._by_message_id[exchange.source, message_id] = exchange

    def finish(self, exchange: Exchange, now: float, *, answered: bool) -> None:
        """Remove an exchange, but remember its token."""
        self._by_number.pop(exchange.number, None)
        self._by_token.pop(exchange.token, None)
        self._by_message_id.pop((exchange.source, exchange.message_id), None)
        if self._feed_by_owner.get(exchange.owner) is exchange:
            self._feed_by_owner.pop(exchange.owner)
        self._ended_by_token[exchange.token] = _Ended(now, answered)
        oldest = next(iter(self._ended_by_token.values()))
        full = len(self._ended_by_token) > MAX_FINISHED
        if full or now - oldest.ended_at > EXCHANGE_LIFETIME:
            self._ended_by_token.popitem(last=False)

    def was_answered(self, token: bytes) -> bool | None:
        """Return whether an ended exchange was answered; None if unknown."""
        ended = self._ended_by_token.get(token)
        return None if ended is None else ended.answered

    def find_by_number(self, number: int) -> Exchange | None:
        """Find an open exchange by its number."""
        return self._by_number.get(number)

    def find_by_token(self, token: bytes, source: int) -> Exchange | None:
        """Find an open exchange by the token of its answer."""
        exchange = self._by_token.get(token)
        if exchange is None or exchange.source != source:
            return None
        return exchange

    def find_by_message_id(
        self, message_id: int, source: int
    ) -> Exchange | None:
        """Find an open exchange by the message id of its request."""
        return self._by_message_id.get((source, message_id))

    def find_feed(self, owner: Hashable) -> Exchange | None:
        """Find a feed by its owner."""
        return self._feed_by_owner.get(owner)

    def feeds(self) -> Iterator[Exchange]:
        """Iterate over the feeds, longest silent first."""
        return iter(tuple(self._feed_by_owner.values()))

    def longest_silent_feed(self) -> Exchange | None:
        """Return the feed whose notification or refresh is the oldest."""
        return next(iter(self._feed_by_owner.values()), None)

    def move_to_end(self, exchange: Exchange) -> None:
        """Move a feed behind all others in the order of silence."""
        self._feed_by_owner.move_to_end(exchange.owner)

    def requests(self) -> Iterator[Exchange]:
        """Iterate over the exchanges that are not feeds."""
        for exchange in tuple(self._by_number.values()):
            if not exchange.is_feed:
                yield exchange
