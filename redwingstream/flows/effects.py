"""What the flow logic asks its agent to carry out.

Each is a data class to ``match`` on.
"""

from collections.abc import Hashable

import attrs
from aiocoap.message import Message

from redwingstream.errors import ResultCode
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.requests.records import RequestState

FRESH_SOURCE = -1
"""Source of a probe: a socket opened for it alone."""


@attrs.frozen
class SendToServer:
    """Send a packet to the backend server.

    Parameters
    ----------
    packet : bytes
        The CoAP message.
    source : int
        Which of the agent's sockets to the server; ``FRESH_SOURCE`` asks for
        a new one, whose answers come back under the same number.
    """

    packet: bytes
    source: int = 0


@attrs.frozen
class Responded:
    """The server's answer to a request.

    Parameters
    ----------
    owner : hashable
        What the request was sent for.
    response : Message
        The answer; its token and message id are the server side's.
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
        What the request was sent for.
    state : RequestState
        ``NOT_RUN`` only when it surely was not run, else ``UNKNOWN``.
    why : ResultCode
        The reason for logs and answers.
    """

    owner: Hashable
    state: RequestState
    why: ResultCode


@attrs.frozen
class FeedUpdate:
    """The server's notification of a feed, newer than those before it."""

    owner: Hashable
    notification: Message


@attrs.frozen
class FeedEnded:
    """The server no longer carries a feed.

    Parameters
    ----------
    owner : hashable
        What the feed was opened for.
    why : ResultCode
        ``OK`` when the server ended it with a response.
    response : Message or None
        That response.
    """

    owner: Hashable
    why: ResultCode
    response: Message | None = None


@attrs.frozen
class ServerRestarted:
    """The server has lost what it knew, so it is in cold start."""


@attrs.frozen
class ServerSilent:
    """Several exchanges in a row got nothing.

    Parameters
    ----------
    source : int
        Socket on which nothing comes back.
    probe_answered : bool
        True when a fresh socket gets answers: the link is silent, not the
        server, and the socket is to be replaced.
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
        ``IP:PORT`` of both ends of the flow.
    payload : bytes
        The CoAP message.
    """

    balancer: str
    caller: str
    service: str
    payload: bytes


@attrs.frozen
class RegistrationId:
    """Owner of a feed at the server: one registration of it.

    Parameters
    ----------
    key : FlowKey
        Which feed.
    generation : int
        Of its record.
    attempt : int
        Number of the registration, never used twice by a carrier.

    Notes
    -----
    What an earlier registration still yields is so told apart from what
    belongs to the present one, also when a feed is ended and opened again.
    """

    key: FlowKey
    generation: int
    attempt: int


@attrs.frozen
class OpenFeed:
    """Register a feed at the server."""

    source: RegistrationId
    request: Message


@attrs.frozen
class CloseFeed:
    """Deregister a feed at the server."""

    source: RegistrationId


@attrs.frozen
class FeedClosed:
    """A feed has ended; its home removes the record.

    Parameters
    ----------
    record : FlowRecord
        The closed record.
    why : ResultCode
        ``OK`` when the caller ended it.
    """

    record: FlowRecord
    why: ResultCode


@attrs.frozen
class GenerationWanted:
    """A feed's numbers are nearly used up; its home gives it a new record."""

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
