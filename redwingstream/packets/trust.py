"""Agents that a balancer doubts because they did not answer."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs

from redwingstream.packets.flow import Address, text_of
from redwingstream.packets.trust_events import AgentDoubted, AgentTrusted

DOUBT_SECONDS = 2
"""Seconds for which an agent that did not answer is in doubt and other agents
are preferred, unless it answers a ping earlier; then it is tried again."""

PING_AFTER = 0.25
"""Seconds without an answer to a packet after which an agent is pinged; an
answer takes some milliseconds."""

UNANSWERED_PINGS = 2
"""Number of unanswered pings after which an agent is in doubt; a single one may
have been lost."""

MAX_PINGS = 64
"""Maximum number of pings sent at a time, so that their cost does not grow with
the number of agents."""


@attrs.define
class _Contact:
    """Exchange of packets between a balancer and one agent.

    Parameters
    ----------
    sent_at : float
        Time in seconds of the earliest packet that the agent has not answered,
        or of the last ping.
    heard_at : float
        Time in seconds at which the last envelope of the agent arrived.
    pings : int
        Number of pings sent since then.
    doubted_until : float
        Time in seconds at which the doubt about the agent ends.
    """

    sent_at: float = float('-inf')
    heard_at: float = float('-inf')
    pings: int = 0
    doubted_until: float = float('-inf')


def _is_never_full(now: float) -> float:
    return float('-inf')


class Trust:
    """Which agents answer the packets that a balancer sends them.

    Parameters
    ----------
    log : callable
        Writes a log event.

    Attributes
    ----------
    link_full_at : callable
        Returns the last time in seconds at which the link of this instance was
        full.  Packets sent until then may have been lost on it, so a missing
        answer is no evidence against an agent.

    Notes
    -----
    The control instances report an agent as silent after 1.6 s.  The caller of
    a new flow gives up after 1.4 s, so a balancer also uses its own
    observations.
    """

    def __init__(self, log: Callable[[Any], None]) -> None:
        self.link_full_at: Callable[[float], float] = _is_never_full
        self._log = log
        self._contact_by_address: dict[Address, _Contact] = {}

    def is_doubted(self, address: Address, now: float) -> bool:
        """Whether an agent is in doubt."""
        contact = self._contact_by_address.get(address)
        return contact is not None and now < contact.doubted_until

    def record_sent(self, address: Address, now: float) -> None:
        """Record that a packet was sent to an agent."""
        contact = self._contact_by_address.setdefault(address, _Contact())
        if contact.sent_at <= contact.heard_at:
            contact.sent_at = now

    def record_heard(self, address: Address, now: float) -> None:
        """Record that an agent has sent an envelope."""
        contact = self._contact_by_address.setdefault(address, _Contact())
        contact.heard_at = now
        contact.pings = 0
        if now < contact.doubted_until:
            contact.doubted_until = now
            self._log(AgentTrusted(text_of(address)))

    def heard_since(self, address: Address, since: float) -> bool:
        """Whether an agent has sent an envelope since a point in time."""
        contact = self._contact_by_address.get(address)
        return contact is not None and contact.heard_at >= since

    def doubt(self, address: Address, now: float) -> None:
        """Doubt an agent that did not answer an opening packet."""
        contact = self._contact_by_address.setdefault(address, _Contact())
        self._begin_doubt(address, contact, now)

    def due_pings(self, now: float) -> list[Address]:
        """Return the agents to be pinged now, and count the pings as sent."""
        due = [
            (address, contact)
            for address, contact in self._contact_by_address.items()
            if contact.heard_at < contact.sent_at <= now - PING_AFTER
        ]
        full_at = self.link_full_at(now)
        for address, silent in due[:MAX_PINGS]:
            if silent.sent_at <= full_at:
                silent.pings = 0
            elif silent.pings >= UNANSWERED_PINGS:
                self._begin_doubt(address, silent, now)
            silent.pings += 1
            silent.sent_at = now
        return [pinged for pinged, _ in due[:MAX_PINGS]]

    def retain_only(self, known: Iterable[Address]) -> None:
        """Remove agents that are not among the known ones."""
        gone = self._contact_by_address.keys() - set(known)
        for address in gone:
            self._contact_by_address.pop(address)

    def _begin_doubt(
        self, address: Address, contact: _Contact, now: float
    ) -> None:
        if now >= contact.doubted_until:
            silent_for = round(now - contact.heard_at, 3)
            self._log(AgentDoubted(text_of(address), silent_for))
        contact.doubted_until = now + DOUBT_SECONDS
