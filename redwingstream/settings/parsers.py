"""Parsers that turn the text of one setting into a validated value.

Every parser raises :class:`~redwingstream.errors.SettingError` or
``ValueError`` when the text is not allowed.
:func:`~redwingstream.settings.reader.read_settings` adds the name of the
setting and how to correct it.
"""

from collections.abc import Mapping

from redwingstream.endpoints import Endpoint, parse_endpoint, parse_reachable
from redwingstream.errors import SettingError
from redwingstream.tables.rows import MAX_WEIGHT
from redwingstream.wire.frames import KEY_SIZE_MAX, KEY_SIZE_MIN

MAX_NAME = 64
"""Maximum length of a name in characters."""

MAX_COUNT = 1000000
ENDPOINT_ALLOWED = 'IP:PORT, for instance 127.0.0.1:7000'
ENDPOINTS_ALLOWED = 'comma-separated IP:PORT'
REPLICAS_ALLOWED = 'comma-separated NAME=IP:PORT, this instance included'
KEY_FILE_ALLOWED = (
    f'path of a file of {KEY_SIZE_MIN} to {KEY_SIZE_MAX} bytes that only its '
    'owner can read'
)
SECONDS_ALLOWED = 'a positive number of seconds'
WEIGHT_ALLOWED = f'1 to {MAX_WEIGHT}'
COUNT_ALLOWED = f'1 to {MAX_COUNT}'
NAME_ALLOWED = f'letters, digits, - and _, {MAX_NAME} at most'


def parse_name(text: str) -> str:
    """Parse the name of a host, zone or pool; strip white space around it."""
    stripped = text.strip()
    is_plain = stripped.replace('-', '').replace('_', '').isalnum()
    if not is_plain or len(stripped) > MAX_NAME:
        raise SettingError(
            f'{text!r} is not a valid name; allowed: {NAME_ALLOWED}'
        )
    return stripped


def parse_endpoints(text: str) -> tuple[Endpoint, ...]:
    """Parse a comma-separated list of at least one endpoint."""
    return tuple(parse_endpoint(part.strip()) for part in text.split(','))


def parse_replicas(text: str) -> Mapping[str, Endpoint]:
    """Parse ``name=IP:PORT,...``: all control instances, this one included.

    Neither a name nor an endpoint may occur twice: a duplicate would leave the
    group with fewer replicas than the operator listed.
    """
    endpoint_by_host: dict[str, Endpoint] = {}
    for part in text.split(','):
        name, _, endpoint = part.strip().partition('=')
        host = parse_name(name)
        replica = parse_reachable(endpoint)
        if host in endpoint_by_host or replica in endpoint_by_host.values():
            raise SettingError(f'{part.strip()!r} names a replica twice')
        endpoint_by_host[host] = replica
    return endpoint_by_host


def parse_weight(text: str) -> int:
    """Parse a weight from 1 to ``MAX_WEIGHT``."""
    weight = int(text)
    if not 0 < weight <= MAX_WEIGHT:
        raise SettingError(
            f'weight {weight} is out of range; allowed: {WEIGHT_ALLOWED}',
        )
    return weight


def parse_count(text: str) -> int:
    """Parse an integer from 1 to ``MAX_COUNT``."""
    count = int(text)
    if not 0 < count <= MAX_COUNT:
        raise SettingError(
            f'{count} is out of range; allowed: {COUNT_ALLOWED}',
        )
    return count


def parse_seconds(text: str) -> float:
    """Parse a positive, finite number of seconds."""
    seconds = float(text)
    if not 0 < seconds < float('inf'):
        raise SettingError(f'{text!r} is not {SECONDS_ALLOWED}')
    return seconds
