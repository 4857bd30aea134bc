"""Messages that carry packets, answers and feeds between processes.

The home of a flow is the agent that owns its bucket; the carrier is the agent
whose server serves the flow.  Message classes and their attributes are encoded
under their own names.
"""

from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.requests.records import RequestKey, RequestState
from redwingstream.wire.messages import message


@message(kind=48)
class Packet:
    """A caller's packet on its way to the agent that carries its flow.

    Parameters
    ----------
    pool : str
        Pool that the sender's route table gives.
    revision : int
        Revision of the sender's tables; a receiver with older tables fetches
        newer ones.
    caller : str
        ``IP:PORT`` of the caller.
    service : str
        ``IP:PORT`` to which the caller sent it.
    balancer : str
        ``IP:PORT`` of the balancer that received it from the network fabric.
    payload : bytes
        The CoAP message.
    hops : int
        Number of times that an agent has forwarded it.
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
        The CoAP message.
    """

    revision: int
    caller: str
    service: str
    payload: bytes


@message(kind=50)
class Assigned:
    """A home tells an agent to carry a packet's flow.

    Parameters
    ----------
    packet : Packet
        The caller's packet.
    home : str
        ``IP:PORT`` of the home, to which the outcome is sent.
    generation : int
        Generation of the flow's record; see
        :class:`~redwingstream.flows.records.FlowRecord`.
    carrier_incarnation : int
        Incarnation of the carrier to which it is assigned.  A later
        incarnation does not know which requests the former one has run, so it
        must not run an assignment that is sent again.
    wants_outcome : bool
        True for a non-idempotent request: the home's ledger waits for a
        :class:`RunOutcome`, and the home answers the caller.
    """

    packet: Packet
    home: str
    generation: int
    carrier_incarnation: int
    wants_outcome: bool = False


@message(kind=51)
class RunOutcome:
    """Outcome of an assigned non-idempotent request.

    Parameters
    ----------
    key : RequestKey
        Key of the request.
    state : RequestState
        ``ANSWERED``, ``NOT_RUN`` or ``UNKNOWN``.
    answer : bytes
        The packet for the caller.
    checksum : bytes
        Checksum of the request, because a caller may reuse the key for another
        request.
    """

    key: RequestKey
    state: RequestState
    answer: bytes
    checksum: bytes = b''


@message(kind=52)
class LoadReport:
    """An agent tells the others of its pool the load of its server.

    Parameters
    ----------
    host : str
        Name of its host.
    incarnation : int
        Incarnation of the agent.
    in_flight : int
        Number of requests that its server is running.
    limit : int
        Maximum count of requests that it may run at once; 0 if it accepts no
        new work.
    flows : int
        Number of feeds that it carries.
    latency : float
        Latency of a request in seconds, as measured by the agent; 0 if the
        server is cold or no latency is known.
    """

    host: str
    incarnation: int
    in_flight: int
    limit: int
    flows: int
    latency: float = 0


@message(kind=53)
class FeedMove:
    """A carrier asks the home to place a feed at another carrier.

    Parameters
    ----------
    pool : str
        Pool of the feed.
    record : FlowRecord
        The feed's current record.
    observe : int
        Last sequence number that the caller was sent (RFC 7641).
    """

    pool: str
    record: FlowRecord
    observe: int


@message(kind=54)
class FeedMoved:
    """The home has placed a feed; its former carrier has to release it.

    Parameters
    ----------
    key : FlowKey
        Key of the feed.
    generation : int
        Generation of its new record.
    """

    key: FlowKey
    generation: int


@message(kind=55)
class TakeFeed:
    """A home tells an agent to take over an established feed.

    Parameters
    ----------
    record : FlowRecord
        The feed's new record; it names the receiver as carrier.
    observe : int
        Last sequence number that the caller may have been sent.
    former : str
        ``IP:PORT`` of the carrier that has to release it; empty if that
        carrier no longer runs.
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
    """A carrier tells a home which of the home's feeds it carries.

    It is sent to each new home of a bucket.  If both home and heir were lost,
    the new home learns the flows from their carriers.

    Parameters
    ----------
    pool : str
        Pool of the feeds.
    records : tuple of FlowRecord
        Records of the feeds, as many as fit one datagram.
    """

    pool: str
    records: tuple[FlowRecord, ...]
