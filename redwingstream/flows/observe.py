"""Sequence numbers of notifications (RFC 7641, section 3.4)."""

from redwingstream.wire.coap import OBSERVE_LIMIT

COUNTER_BITS = 18
COUNTER_LIMIT = 1 << COUNTER_BITS
"""Maximum count of notifications under one generation of a feed's record."""

FRESH_AFTER = 128
"""Seconds after which any number counts as newer (RFC 7641, section 3.4)."""

_HALF = OBSERVE_LIMIT // 2


def sequence_number(generation: int, counter: int) -> int:
    """Return the sequence number of a notification to the caller.

    Parameters
    ----------
    generation : int
        Generation of the feed's record.
    counter : int
        Notifications sent before under that generation, below
        ``COUNTER_LIMIT``.

    Notes
    -----
    A feed that has moved has a higher generation.  Notifications that its
    former carrier still sends therefore look older to the caller, and the two
    carriers need not exchange messages.
    """
    return (generation * COUNTER_LIMIT + counter) % OBSERVE_LIMIT


def is_newer(number: int, known: int) -> bool:
    """Whether a sequence number is newer than a known one, modulo 2**24."""
    return 0 < (number - known) % OBSERVE_LIMIT < _HALF
