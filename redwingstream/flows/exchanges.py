"""Requests that an agent's server is working on, by what names them."""

from collections import OrderedDict
from collections.abc import Hashable, Iterator

import attrs

from redwingstream.flows.message_ids import EXCHANGE_LIFETIME

MAX_FINISHED = 4096
"""Ended exchanges whose tokens are kept at most."""


@attrs.frozen
class UpstreamLimits:
    """Bounds and times, in seconds, of the exchanges with a server.

    Parameters
    ----------
    sources : int
        Sockets to the server.  Message ids of one socket allow 65536 requests
        in 247 s, which is 265 a second.
    max_exchanges : int
        Requests and feeds open at once.
    ack_timeout, max_repeats
        As ``ACK_TIMEOUT`` and ``MAX_RETRANSMIT`` of RFC 7252.
    repeat_non_idempotent : bool
        Whether a non-idempotent request is repeated under its message id.  A
        server that restarts between both copies has forgotten the id and runs
        the request twice, hence False.
    refresh_after : float
        A feed without a notification for so long is registered again; a
        shorter Max-Age of its last notification goes before.
    refresh_timeout : float
        How long the answer to that may take.
    check_interval : float
        How often the feed that was silent for longest is registered again, to
        find out whether the server has restarted.
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
    """What happened between an agent and its server."""

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
        Names it towards the agent.
    owner : hashable
        What it is for.
    packet : bytes
        The request as sent; a repeat is the same bytes.
    token, message_id, source
        What names it towards the server.
    sent_at : float
        When the request, or its latest refresh, was first sent.
    deadline : float
        When its answer is of no use any more.
    timeout : float
        Seconds until the next repeat.
    idempotent : bool
        Whether it may be repeated.
    is_feed : bool
        Whether it asks for notifications.
    copies : int
        How often it was sent.
    acknowledged : bool
        Whether the server is known to have it.
    settled : bool
        True for a feed while no answer is awaited.
    observe, refresh_floor : int or None
        Number of the last notification, and the one when it was refreshed.
    observed_at : float
        When the last notification came.
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
    settled: bool = False
    observe: int | None = None
    observed_at: float = 0
    refresh_floor: int | None = None


@attrs.frozen
class _Ended:
    """When an exchange ended, and whether it was answered."""

    at: float
    answered: bool


class Exchanges:
    """Open exchanges by number, token, message id and owner of the feed.

    Notes
    -----
    Tokens of ended exchanges are kept for a while: a repeated answer is then
    acknowledged, where an unknown one is rejected.
    """

    def __init__(self) -> None:
        self._by_number: dict[int, Exchange] = {}
        self._by_token: dict[bytes, Exchange] = {}
        self._by_message_id: dict[tuple[int, int], Exchange] = {}
        self._feed_by_owner: OrderedDict[Hashable, Exchange] = OrderedDict()
        # Those that ended first stand first.
        self._ended_by_token: OrderedDict[bytes, _Ended] = OrderedDict()

    def __len__(self) -> int:
        """Return how many exchanges are open."""
        return len(self._by_number)

    def add(self, exchange: Exchange) -> None:
        """Keep an open exchange."""
        self._by_number[exchange.number] = exchange
        self._by_token[exchange.token] = exchange
        self._by_message_id[exchange.source, exchange.message_id] = exchange
        if exchange.is_feed:
            self._feed_by_owner[exchange.owner] = exchange

    def rename(self, exchange: Exchange, message_id: int) -> None:
        """Give an exchange another message id."""
        self._by_message_id.pop((exchange.source, exchange.message_id), None)
        exchange.message_id = message_id
        self._by_message_id[exchange.source, message_id] = exchange

    def finish(self, exchange: Exchange, now: float, *, answered: bool) -> None:
        """Forget an exchange but for its token."""
        self._by_number.pop(exchange.number, None)
        self._by_token.pop(exchange.token, None)
        self._by_message_id.pop((exchange.source, exchange.message_id), None)
        if self._feed_by_owner.get(exchange.owner) is exchange:
            self._feed_by_owner.pop(exchange.owner)
        self._ended_by_token[exchange.token] = _Ended(now, answered)
        oldest = next(iter(self._ended_by_token.values()))
        full = len(self._ended_by_token) > MAX_FINISHED
        if full or now - oldest.at > EXCHANGE_LIFETIME:
            self._ended_by_token.popitem(last=False)

    def was_answered(self, token: bytes) -> bool | None:
        """Return whether an ended exchange was answered; None if unknown."""
        ended = self._ended_by_token.get(token)
        return None if ended is None else ended.answered

    def by_number(self, number: int) -> Exchange | None:
        """Find an open exchange by its number."""
        return self._by_number.get(number)

    def by_token(self, token: bytes, source: int) -> Exchange | None:
        """Find an open exchange by the token of its answer."""
        exchange = self._by_token.get(token)
        if exchange is None or exchange.source != source:
            return None
        return exchange

    def by_message_id(self, message_id: int, source: int) -> Exchange | None:
        """Find an open exchange by the message id of its request."""
        return self._by_message_id.get((source, message_id))

    def feed_of(self, owner: Hashable) -> Exchange | None:
        """Find a feed by its owner."""
        return self._feed_by_owner.get(owner)

    def feeds(self) -> Iterator[Exchange]:
        """Iterate over the feeds, those silent for longest first."""
        return iter(tuple(self._feed_by_owner.values()))

    def longest_silent(self) -> Exchange | None:
        """Return the feed whose last notification is the oldest."""
        return next(iter(self._feed_by_owner.values()), None)

    def heard(self, exchange: Exchange) -> None:
        """Move a feed behind all others: it was heard last."""
        self._feed_by_owner.move_to_end(exchange.owner)

    def requests(self) -> Iterator[Exchange]:
        """Iterate over the exchanges that are no feeds."""
        for exchange in tuple(self._by_number.values()):
            if not exchange.is_feed:
                yield exchange
