"""Whether a server sends anything after packets were delivered to it."""

UNRESPONSIVE_AFTER = 0.25
"""Seconds without any packet of the server after which it may have ended.  A
running server answers within a millisecond."""


class ServerSilence:
    """Time since which a server owes a packet.

    Notes
    -----
    Silence proves nothing: a caller's acknowledgement needs no answer.  It says
    when it is worth finding out whether the server's process still runs.
    """

    def __init__(self) -> None:
        self._delivered_at: float | None = None

    def record_delivered(self, now: float) -> None:
        """Record a packet that was delivered to the server."""
        if self._delivered_at is None:
            self._delivered_at = now

    def record_heard(self) -> None:
        """Record a sign that the server is running."""
        self._delivered_at = None

    def is_unresponsive(self, now: float) -> bool:
        """Whether the server may have ended."""
        delivered_at = self._delivered_at
        return (
            delivered_at is not None and now - delivered_at > UNRESPONSIVE_AFTER
        )
