"""What a home and its heir remember of an established flow."""

import attrs


@attrs.frozen
class FlowKey:
    """Names a flow, or one feed of it.

    Parameters
    ----------
    caller, service : str
        ``IP:PORT`` of both ends.
    token : bytes
        Token of the feed; empty for the flow as a whole, which is how the
        placement of plain requests on another host is remembered.
    """

    caller: str
    service: str
    token: bytes = b''


@attrs.frozen
class FlowRecord:
    """Which agent carries a flow.

    Parameters
    ----------
    key : FlowKey
        Which flow or feed.
    carrier : str
        Host whose agent and server carry it.
    generation : int
        How often it has moved; a higher one replaces a lower one.
    registration : bytes
        The caller's CoAP packet that opened the feed, so that another server
        can go on with it; empty for a plain placement.
    closed : bool
        True once the flow has ended; the record is then removed.
    """

    key: FlowKey
    carrier: str
    generation: int = 0
    registration: bytes = b''
    closed: bool = False

    def as_closed(self) -> 'FlowRecord':
        """Return the record by which the flow ends."""
        return attrs.evolve(self, closed=True)
