"""Envelopes in which callers' packets and answers travel between processes."""

from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.requests.records import RequestKey, RequestState
from redwingstream.wire.messages import message


@message(kind=48)
class Packet:
    """A caller's packet on its way to the agent that carries its flow.

    Parameters
    ----------
    pool : str
        Pool that the sender's route table gave.
    revision : int
        Revision of the sender's tables; a receiver that is behind fetches.
    caller : str
        ``IP:PORT`` of the caller.
    service : str
        ``IP:PORT`` that the caller sent to.
    balancer : str
        ``IP:PORT`` of the balancer that the fabric handed it to.
    payload : bytes
        The packet.
    hops : int
        How often an agent has passed it on.
    """

    pool: str
    revision: int
    caller: str
    service: str
    balancer: str
    payload: bytes
    hops: int = 0


@message(kind=49)
class Answer:
    """A packet for a caller on its way to a balancer.

    Parameters
    ----------
    revision : int
        Revision of the agent's tables.
    caller, service : str
        As in :class:`Packet`.
    payload : bytes
        The packet.
    """

    revision: int
    caller: str
    service: str
    payload: bytes


@message(kind=50)
class Assigned:
    """A home tells an agent to carry a packet's flow on its server.

    Parameters
    ----------
    packet : Packet
        What the caller sent.
    home : str
        ``IP:PORT`` of the home, which wants the outcome.
    generation : int
        Generation of the flow's record; see
        :class:`~redwingstream.flows.records.FlowRecord`.
    carrier_incarnation : int
        Run of the carrier that is meant.  A later run does not know what the
        former one has run, so it must not run a repeated assignment.
    wants_outcome : bool
        True for a non-idempotent request: the home's ledger waits for
        :class:`RunOutcome`, and the home answers the caller.
    """

    packet: Packet
    home: str
    generation: int
    carrier_incarnation: int
    wants_outcome: bool = False


@message(kind=51)
class RunOutcome:
    """What became of an assigned non-idempotent request.

    Parameters
    ----------
    key : RequestKey
        Which request.
    state : RequestState
        ``ANSWERED``, ``NOT_RUN`` or ``UNKNOWN``.
    answer : bytes
        The packet for the caller.
    checksum : bytes
        Of the request: its key alone may have been used for another one.
    """

    key: RequestKey
    state: RequestState
    answer: bytes
    checksum: bytes = b''


@message(kind=52)
class LoadReport:
    """An agent tells others of its pool how much room its server has.

    Parameters
    ----------
    host : str
        Name of its host.
    incarnation : int
        Which run of the agent.
    in_flight : int
        Requests that its server is running.
    limit : int
        Requests that it may run at once; 0 takes no new work.
    flows : int
        Feeds that it carries.
    latency : float
        Seconds that a request takes on it, as the agent has measured; 0 when
        it is cold or nothing is known.
    """

    host: str
    incarnation: int
    in_flight: int
    limit: int
    flows: int
    latency: float = 0


@message(kind=53)
class FeedMove:
    """A carrier that leaves asks the home to place a feed elsewhere.

    Parameters
    ----------
    pool : str
        Pool of the feed.
    record : FlowRecord
        The feed as it stands.
    observe : int
        Last sequence number that the caller was sent (RFC 7641).
    """

    pool: str
    record: FlowRecord
    observe: int


@message(kind=54)
class FeedMoved:
    """The home has placed the feed; its former carrier lets go of it.

    Parameters
    ----------
    key : FlowKey
        Which feed.
    generation : int
        Generation of its new record.
    """

    key: FlowKey
    generation: int


@message(kind=55)
class TakeFeed:
    """A home tells an agent to go on with an established feed.

    Parameters
    ----------
    record : FlowRecord
        The feed's new record; it names the receiver as carrier.
    observe : int
        Last sequence number that the caller may have been sent.
    former : str
        ``IP:PORT`` of the carrier that lets go of it; empty when it is gone.
    """

    record: FlowRecord
    observe: int
    former: str


@message(kind=56)
class FeedEnd:
    """A carrier tells the home that a feed has ended.

    Parameters
    ----------
    pool : str
        Pool of the feed.
    record : FlowRecord
        The closed record.
    """

    pool: str
    record: FlowRecord


@message(kind=57)
class CarriedFeeds:
    """A carrier tells a home which of its feeds it carries.

    Sent to each new home of a bucket: after both home and heir were lost, the
    new home learns the flows from those who carry them.

    Parameters
    ----------
    pool : str
        Pool of the feeds.
    records : tuple of FlowRecord
        The feeds, a datagram's worth at most.
    """

    pool: str
    records: tuple[FlowRecord, ...]
