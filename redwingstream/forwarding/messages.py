"""Envelopes in which callers' packets and answers travel between processes."""

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
