"""What the home of a flow and its heir store about it.

The home of a flow is the agent that owns its bucket; the heir is the home's
replica.
"""

import attrs


@attrs.frozen
class FlowKey:
    """Identifies a flow, or one feed of it.

    Parameters
    ----------
    caller, service : str
        ``IP:PORT`` of both endpoints.
    token : bytes
        CoAP token of the feed.  Empty for the flow as a whole: the key of a
        placement, which says that another host serves the plain requests.
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
        Key of the flow or feed.
    carrier : str
        Host whose server serves it.
    generation : int
        How often it has moved; a record with a higher generation replaces one
        with a lower generation.
    registration : bytes
        The caller's CoAP packet that opened the feed.  It is stored so that
        another server can continue the feed; empty for a plain placement.
    closed : bool
        True once the flow has ended; the record is then removed.
    """

    key: FlowKey
    carrier: str
    generation: int = 0
    registration: bytes = b''
    closed: bool = False

    def as_closed(self) -> 'FlowRecord':
        """Return this record, marked as closed."""
        return attrs.evolve(self, closed=True)
