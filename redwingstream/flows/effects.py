"""What the flow logic asks its agent to carry out.

The flow logic does no input or output itself.  It returns these data classes,
and the agent distinguishes them with ``match``.
"""

from collections.abc import Hashable

import attrs
from aiocoap.message import Message

from redwingstream.errors import ResultCode
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.requests.records import RequestState

FRESH_SOURCE = -1
"""Socket number of a probe: a new socket is opened for it."""


@attrs.frozen
class SendToServer:
    """Send a packet to the backend server.

    Parameters
    ----------
    packet : bytes
        The CoAP message.
    source : int
        Index of the agent's socket to the server; ``FRESH_SOURCE`` asks for a
        new one, whose answers are handed in under the same number.
    """

    packet: bytes
    source: int = 0


@attrs.frozen
class Responded:
    """The server's answer to a request.

    Parameters
    ----------
    owner : hashable
        Object for which the request was sent.
    response : Message
        The answer, with the token and message id used towards the server.
    latency : float
        Seconds since the request was first sent.
    """

    owner: Hashable
    response: Message
    latency: float


@attrs.frozen
class Failed:
    """A request got no answer.

    Parameters
    ----------
    owner : hashable
        Object for which the request was sent.
    state : RequestState
        ``NOT_RUN`` only when the server has certainly not run the request,
        else ``UNKNOWN``.
    reason : ResultCode
        Reason for logs and for the caller's answer.
    """

    owner: Hashable
    state: RequestState
    reason: ResultCode


@attrs.frozen
class FeedUpdate:
    """A notification of the server, newer than all earlier ones of its feed.

    Parameters
    ----------
    owner : hashable
        Object for which the feed was registered.
    notification : Message
        The notification, with the token and message id used towards the
        server.
    """

    owner: Hashable
    notification: Message


@attrs.frozen
class FeedEnded:
    """The server no longer serves a feed.

    Parameters
    ----------
    owner : hashable
        Object for which the feed was registered.
    reason : ResultCode
        ``OK`` when the server ended it with a response.
    response : Message or None
        That response.
    """

    owner: Hashable
    reason: ResultCode
    response: Message | None = None


@attrs.frozen
class ServerRestarted:
    """The server has restarted: its state is lost and it is cold."""


@attrs.frozen
class ServerSilent:
    """Several requests in a row timed out on one socket.

    Parameters
    ----------
    source : int
        Index of the socket on which no packet arrives.
    probe_answered : bool
        True when a new socket gets an answer: the socket is at fault, not the
        server, and has to be replaced.
    """

    source: int
    probe_answered: bool


@attrs.frozen
class SendToCaller:
    """Hand a packet for a caller to a balancer.

    Parameters
    ----------
    balancer : str
        ``IP:PORT`` of the balancer.
    caller, service : str
        ``IP:PORT`` of both endpoints of the flow.
    payload : bytes
        The CoAP message.
    """

    balancer: str
    caller: str
    service: str
    payload: bytes


@attrs.frozen
class RegistrationId:
    """Identifies one registration of a feed at the server.

    It is the ``owner`` of the feed's exchange with the server.

    Parameters
    ----------
    key : FlowKey
        Key of the feed.
    generation : int
        Generation of the feed's record.
    attempt : int
        Number of the registration; a carrier uses each number once.

    Notes
    -----
    The attempt distinguishes notifications of an earlier registration from
    those of the current one, also when a feed is ended and opened again.
    """

    key: FlowKey
    generation: int
    attempt: int


@attrs.frozen
class OpenFeed:
    """Register a feed at the server.

    Parameters
    ----------
    source : RegistrationId
        Identifies this registration in the effects that concern it.
    request : Message
        The caller's registration.
    """

    source: RegistrationId
    request: Message


@attrs.frozen
class CloseFeed:
    """Deregister a feed at the server.

    Parameters
    ----------
    source : RegistrationId
        The registration to end.
    """

    source: RegistrationId


@attrs.frozen
class FeedClosed:
    """A feed has ended; its home has to remove the record.

    Parameters
    ----------
    record : FlowRecord
        The closed record.
    reason : ResultCode
        ``OK`` when the caller ended it.
    """

    record: FlowRecord
    reason: ResultCode


@attrs.frozen
class GenerationWanted:
    """A feed needs a record with a higher generation from its home.

    Either the sequence numbers of its generation are nearly used up, or its
    caller would take them for older than those of the former carrier.

    Parameters
    ----------
    record : FlowRecord
        The feed's current record.
    """

    record: FlowRecord


CallerEffect = SendToCaller | OpenFeed | CloseFeed | FeedClosed
FeedEffect = CallerEffect | GenerationWanted
UpstreamEffect = (
    SendToServer
    | Responded
    | Failed
    | FeedUpdate
    | FeedEnded
    | ServerRestarted
    | ServerSilent
)
