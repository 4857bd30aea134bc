"""Which agents a balancer doubts because they did not answer."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs

from redwingstream.packets import events
from redwingstream.packets.flow import Address, text_of

DOUBT_SECONDS = 2
"""For so long an agent that did not answer comes last, unless it answers a
ping before; afterwards it is tried again."""

PING_AFTER = 0.25
"""Seconds without a word after a packet was sent until an agent is asked; an
answer takes some milliseconds."""

UNANSWERED_PINGS = 2
"""Pings without an answer after which an agent is in doubt; one may be lost."""

MAX_PINGS = 64
"""Pings at one time, so that their cost does not grow with the fleet."""


@attrs.define
class _Contact:
    """What a balancer has had to do with one agent.

    Parameters
    ----------
    sent_at : float
        When it was last sent something that calls for a word, or pinged.
    heard_at : float
        When it was last heard.
    pings : int
        Pings since then.
    doubted_until : float
        Until when it comes last.
    """

    sent_at: float = float('-inf')
    heard_at: float = float('-inf')
    pings: int = 0
    doubted_until: float = float('-inf')


class Trust:
    """What a balancer thinks of the agents that it sends packets to.

    Parameters
    ----------
    log : callable
        Takes events.

    Notes
    -----
    The control instances find an agent silent after 1.6 s.  A caller of a new
    flow gives up after 1.4 s, so a balancer goes by what it sees itself.
    """

    def __init__(self, log: Callable[[Any], None]) -> None:
        self._log = log
        self._contact_by_address: dict[Address, _Contact] = {}

    def is_doubted(self, address: Address, now: float) -> bool:
        """Whether an agent is in doubt."""
        contact = self._contact_by_address.get(address)
        return contact is not None and now < contact.doubted_until

    def note_sent(self, address: Address, now: float) -> None:
        """An agent was sent a packet."""
        contact = self._contact_by_address.setdefault(address, _Contact())
        if contact.sent_at <= contact.heard_at:
            contact.sent_at = now

    def note_heard(self, address: Address, now: float) -> None:
        """An agent has said something."""
        contact = self._contact_by_address.setdefault(address, _Contact())
        contact.heard_at = now
        contact.pings = 0
        if now < contact.doubted_until:
            contact.doubted_until = now
            self._log(events.AgentTrusted(text_of(address)))

    def heard_since(self, address: Address, since: float) -> bool:
        """Whether an agent has said something since a time."""
        contact = self._contact_by_address.get(address)
        return contact is not None and contact.heard_at >= since

    def doubt(self, address: Address, now: float) -> None:
        """Doubt an agent that did not answer for a new flow."""
        contact = self._contact_by_address.setdefault(address, _Contact())
        self._begin_doubt(address, contact, now)

    def due(self, now: float) -> list[Address]:
        """Return the agents that are to be pinged, and count the pings."""
        due = [
            (address, contact)
            for address, contact in self._contact_by_address.items()
            if contact.heard_at < contact.sent_at <= now - PING_AFTER
        ]
        for address, silent in due[:MAX_PINGS]:
            if silent.pings >= UNANSWERED_PINGS:
                self._begin_doubt(address, silent, now)
            silent.pings += 1
            silent.sent_at = now
        return [pinged for pinged, _ in due[:MAX_PINGS]]

    def retain_only(self, known: Iterable[Address]) -> None:
        """Forget agents that are not among those known."""
        gone = self._contact_by_address.keys() - set(known)
        for address in gone:
            self._contact_by_address.pop(address)

    def _begin_doubt(
        self, address: Address, contact: _Contact, now: float
    ) -> None:
        if now >= contact.doubted_until:
            silent_for = round(now - contact.heard_at, 3)
            self._log(events.AgentDoubted(text_of(address), silent_for))
        contact.doubted_until = now + DOUBT_SECONDS
