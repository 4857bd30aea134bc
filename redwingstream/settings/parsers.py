"""Reads the text of one value; a value that is not allowed is an error."""

from collections.abc import Mapping

from redwingstream.endpoints import Endpoint, parse_endpoint, parse_reachable
from redwingstream.errors import SettingError

MAX_WEIGHT = 10000
MAX_NAME = 64
MAX_COUNT = 1000000
ENDPOINT_ALLOWED = 'IP:PORT, for instance 127.0.0.1:7000'
SECONDS_ALLOWED = 'a positive number'
COUNT_ALLOWED = f'1 to {MAX_COUNT}'
NAME_ALLOWED = f'letters, digits, - and _, {MAX_NAME} at most'


def parse_name(text: str) -> str:
    """Read the name of a host, a zone or a pool."""
    stripped = text.strip()
    is_plain = stripped.replace('-', '').replace('_', '').isalnum()
    if not is_plain or len(stripped) > MAX_NAME:
        raise SettingError(f'{text!r} is no name')
    return stripped


def parse_endpoints(text: str) -> tuple[Endpoint, ...]:
    """Read a comma-separated list of endpoints, one at least."""
    return tuple(parse_endpoint(part.strip()) for part in text.split(','))


def parse_replicas(text: str) -> Mapping[str, Endpoint]:
    """Read ``name=IP:PORT,...``: all control instances, this one included."""
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
    """Read a weight."""
    weight = int(text)
    if not 0 < weight <= MAX_WEIGHT:
        raise SettingError(f'weight {weight} is out of range')
    return weight


def parse_count(text: str) -> int:
    """Read a positive number of things."""
    count = int(text)
    if not 0 < count <= MAX_COUNT:
        raise SettingError(f'{count} is out of range')
    return count


def parse_seconds(text: str) -> float:
    """Read a positive number of seconds."""
    seconds = float(text)
    if not 0 < seconds < float('inf'):
        raise SettingError(f'{text!r} is not a positive number')
    return seconds
