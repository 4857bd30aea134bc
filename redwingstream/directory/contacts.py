"""State that a process keeps for each control instance that it polls."""

from collections.abc import Iterable

import attrs
import xxhash

from redwingstream.packets.flow import Address

FIRST_PAUSE = 0.2
"""Seconds between two inquiries to a control instance that has not yet
requested a pause."""

BACKOFF_AFTER = 3
"""Consecutive unanswered inquiries after which the pauses start to double."""

MAX_BACKOFF_FACTOR = 4
"""Longest pause between unanswered inquiries, as a multiple of
``FIRST_PAUSE``.  Every agent must contact a restarted control instance within
``MIN_WARMUP`` of its start, after which the instance counts as having heard
all agents."""

SOURCE_COUNT = 3
"""Number of control instances that a process reads agents' records from; any
two of them may fail."""

UNRESPONSIVE_AFTER = 2
"""Consecutive unanswered inquiries after which a source is replaced by another
control instance."""

EVICT_AFTER = 10
"""Seconds after which a control instance that neither answers nor is named by
another one is no longer asked, unless the settings name it."""

SPREAD_SHARE = 0.25
"""Fraction of the pause by which an inquiry may be moved earlier or later, so
that inquiries to several control instances are not sent at once."""

_ADDRESS_BYTES = 6


@attrs.define
class Contact:
    """State of one control instance.

    Parameters
    ----------
    is_seed : bool
        True when the settings name it.
    named_at : float
        Time at which it last answered or was named by another control
        instance.
    due_at : float
        Time of the next inquiry.
    asked_at : float
        Time of the last inquiry.
    unanswered : int
        Number of inquiries since its last answer.
    pause : float
        Seconds between two inquiries, as requested by the instance.
    boot, cursor : int
        Position up to which its records have been read.
    has_newer_tables : bool
        True when the next inquiry requests its tables.
    """

    is_seed: bool
    named_at: float
    due_at: float
    asked_at: float = float('-inf')
    unanswered: int = 0
    pause: float = FIRST_PAUSE
    boot: int = 0
    cursor: int = 0
    has_newer_tables: bool = False

    @property
    def is_unresponsive(self) -> bool:
        """Whether its last inquiries have remained unanswered."""
        return self.unanswered >= UNRESPONSIVE_AFTER

    def record_inquiry(self, now: float) -> None:
        """Record an inquiry and schedule the next one in case of no answer.

        The pause backs off exponentially, so that a large fleet does not
        saturate the link of an instance that restarts.
        """
        doublings = max(0, self.unanswered - BACKOFF_AFTER)
        self.unanswered += 1
        self.asked_at = now
        self.due_at = now + FIRST_PAUSE * min(2**doublings, MAX_BACKOFF_FACTOR)

    def record_answer(self, pause: float, now: float) -> None:
        """Record an answer and the pause that the instance requests."""
        self.unanswered = 0
        self.named_at = now
        self.pause = pause


class Contacts:
    """The control instances that a process knows.

    Parameters
    ----------
    seeds : iterable of Address
        Control instances that the settings name.
    now : float
        Current time in seconds, by the event loop's clock.
    salt : int
        Random number of the process; distributes the processes of a fleet over
        the control instances.

    Attributes
    ----------
    contact_by_address : dict
        State of each known control instance.
    """

    def __init__(self, seeds: Iterable[Address], now: float, salt: int) -> None:
        self.contact_by_address = {
            seed: Contact(is_seed=True, named_at=now, due_at=now)
            for seed in seeds
        }
        self._salt = salt
        self._last_scheduled_at = now

    def apply_seeds(self, seeds: Iterable[Address], now: float) -> None:
        """Replace the control instances that the settings name."""
        wanted = set(seeds)
        for address, contact in self.contact_by_address.items():
            contact.is_seed = address in wanted
        for seed in wanted:
            self.record_running(seed, now).is_seed = True

    def record_running(self, address: Address, now: float) -> Contact:
        """Record that a control instance runs and return its contact."""
        contact = self.contact_by_address.get(address)
        if contact is None:
            contact = Contact(is_seed=False, named_at=now, due_at=now)
            self.contact_by_address[address] = contact
        contact.named_at = now
        return contact

    def evict_expired(self, now: float) -> None:
        """Remove contacts that have expired, except seeds."""
        for address, contact in tuple(self.contact_by_address.items()):
            is_old = now - contact.named_at > EVICT_AFTER
            if is_old and not contact.is_seed:
                self.contact_by_address.pop(address)

    def schedule(self, contact: Contact, now: float) -> None:
        """Schedule the next inquiry to a control instance that has answered.

        Inquiries are spread evenly over the pause, so that one of them sees a
        change soon.
        """
        spread = contact.pause * SPREAD_SHARE
        step = contact.pause / len(self.contact_by_address)
        earliest = now + contact.pause - spread
        latest = now + contact.pause + spread
        self._last_scheduled_at = min(
            max(earliest, self._last_scheduled_at + step), latest
        )
        contact.due_at = self._last_scheduled_at

    def next_due_at(self) -> float:
        """Return when the next inquiry is due; infinite without contacts."""
        return min(
            (contact.due_at for contact in self.contact_by_address.values()),
            default=float('inf'),
        )

    def sources(self) -> frozenset[Address]:
        """Return the control instances that agents' records are read from.

        Notes
        -----
        Rendezvous hashing keeps the selection stable while the same instances
        answer, so that their records are read in full only once.
        """
        return frozenset(self.preferred(self._salt, SOURCE_COUNT))

    def preferred(self, salt: int, count: int) -> tuple[Address, ...]:
        """Return the first control instances of an order by a number.

        The order stays the same while the same instances answer; one that does
        not answer comes last.
        """
        order = sorted(
            self.contact_by_address, key=lambda one: self._rank(one, salt)
        )
        return tuple(order[:count])

    def responsive(self, addresses: Iterable[Address]) -> frozenset[Address]:
        """Return the given control instances that answer inquiries."""
        return frozenset(
            address
            for address in addresses
            if not self.contact_by_address[address].is_unresponsive
        )

    def _rank(self, address: Address, salt: int) -> tuple[bool, int]:
        packed = address.to_bytes(_ADDRESS_BYTES)
        digest = xxhash.xxh3_64_intdigest(packed, salt)
        return self.contact_by_address[address].is_unresponsive, digest
