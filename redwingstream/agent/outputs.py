"""What the decision logic of an agent can do to the outside."""

from typing import Protocol


class Outputs(Protocol):
    """Carried out by the role with sockets, by tests with lists."""

    def to_peer(self, endpoint: str, payload: object) -> None:
        """Send a frame to another process (``IP:PORT``)."""

    def to_server(self, packet: bytes, source: int) -> None:
        """Send a CoAP packet to the backend server from one of the sockets."""

    def replace_source(self, source: int) -> None:
        """Close a socket to the server that is silent, and open another."""

    def fetch_if_newer(self, revision: int, endpoint: str) -> None:
        """Fetch newer tables from a process that has them."""
