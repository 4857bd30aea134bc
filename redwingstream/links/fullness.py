"""Whether the link of an instance is full."""

from collections.abc import Callable
from typing import Any

from redwingstream.links.events import LinkFull, LinkHasCapacity

RELIEF_SECONDS = 1.0
"""Seconds that a link must not have been full for to have capacity again.
Limits each of the two log events to one per second."""


class Fullness:
    """Records when the link was full, and logs the changes.

    Parameters
    ----------
    log : callable
        Writes a log event.

    Attributes
    ----------
    full_at : float
        Last time in seconds at which the link was full.
    is_full : bool
        Whether it was full within the last ``RELIEF_SECONDS``, as of the last
        call of a method.
    """

    def __init__(self, log: Callable[[Any], None]) -> None:
        self.full_at = float('-inf')
        self.is_full = False
        self._full_since = float('-inf')
        self._log = log

    def record_full(self, reason: str, now: float) -> None:
        """Record that the link is full."""
        self.check(now)
        self.full_at = now
        if not self.is_full:
            self.is_full = True
            self._full_since = now
            self._log(LinkFull(reason))

    def check(self, now: float) -> None:
        """Log that the link has capacity again if that is so."""
        if self.is_full and now - self.full_at >= RELIEF_SECONDS:
            self.is_full = False
            full_for = round(self.full_at - self._full_since, 3)
            self._log(LinkHasCapacity(full_for))
