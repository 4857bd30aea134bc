"""Interface by which the decisions of an agent reach sockets and processes."""

from typing import Protocol


class Outputs(Protocol):
    """Output side of an agent; implemented by the role and by test doubles."""

    def to_peer(self, endpoint: str, payload: object) -> None:
        """Send a message to another process, at ``IP:PORT``."""

    def to_server(self, packet: bytes, source: int) -> None:
        """Send a CoAP packet to the backend server from the numbered socket."""

    def replace_source(self, source: int) -> None:
        """Replace the numbered socket, on which the server does not answer."""

    def fetch_if_newer(self, revision: int, endpoint: str) -> None:
        """Fetch the tables of a process whose revision is newer than here."""
