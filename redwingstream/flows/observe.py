"""Sequence numbers of feeds (RFC 7641, section 3.4)."""

from redwingstream.wire.coap import OBSERVE_LIMIT

COUNTER_BITS = 18
COUNTER_LIMIT = 1 << COUNTER_BITS
"""Notifications under one generation of a feed's record."""

FRESH_AFTER = 128
"""Seconds after which a lower number counts as newer (section 3.4)."""

_HALF = OBSERVE_LIMIT // 2


def sequence_number(generation: int, counter: int) -> int:
    """Return the number of a notification towards the caller.

    Parameters
    ----------
    generation : int
        Generation of the feed's record.
    counter : int
        Notifications sent under it, below ``COUNTER_LIMIT``.

    Notes
    -----
    A feed that has moved has a higher generation, so whatever its former
    carrier still sends looks older to the caller, without any word between
    the two carriers.
    """
    return (generation * COUNTER_LIMIT + counter) % OBSERVE_LIMIT


def is_newer(number: int, known: int) -> bool:
    """Whether a sequence number comes after another, modulo 2**24."""
    return 0 < (number - known) % OBSERVE_LIMIT < _HALF
