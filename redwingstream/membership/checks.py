"""Validation of announcements, independent of the tables."""

from redwingstream.endpoints import parse_reachable
from redwingstream.errors import SettingError
from redwingstream.membership.messages import Announce
from redwingstream.tables.rows import MAX_NAME_LENGTH, MAX_WEIGHT


def why_malformed(announce: Announce) -> str:
    """Return why an announcement is malformed; empty when it is valid.

    Notes
    -----
    The check precedes the entry in the replicated log: an entry that fits no
    frame could never be sent to the other replicas, and would block all entries
    after it.
    """
    texts = (announce.host, announce.endpoint, announce.zone, announce.pool)
    longest = max(map(len, texts))
    if longest > MAX_NAME_LENGTH or not announce.host:
        return (
            f'a name has {longest} characters; {MAX_NAME_LENGTH} are '
            'allowed, and the host name needs at least one'
        )
    if not 0 < announce.weight <= MAX_WEIGHT:
        return f'the weight is {announce.weight}; 1 to {MAX_WEIGHT} are allowed'
    try:
        parse_reachable(announce.endpoint)
    except SettingError as error:
        return str(error)
    return ''
