"""Settings classes of the daemon's roles.

The help texts and allowed values below also appear in ``docs/settings.md``.
"""

import pathlib
from collections.abc import Mapping

import attrs

from redwingstream.endpoints import Endpoint, parse_endpoint, parse_reachable
from redwingstream.settings.parsers import (
    COUNT_ALLOWED,
    ENDPOINT_ALLOWED,
    ENDPOINTS_ALLOWED,
    KEY_FILE_ALLOWED,
    NAME_ALLOWED,
    REPLICAS_ALLOWED,
    SECONDS_ALLOWED,
    WEIGHT_ALLOWED,
    parse_count,
    parse_endpoints,
    parse_name,
    parse_replicas,
    parse_seconds,
    parse_weight,
)
from redwingstream.settings.reader import setting
from redwingstream.tables.rows import DEFAULT_WEIGHT

DEFAULT_DRAIN_SECONDS = 30
DEFAULT_SLOTS = 64  # requests that run at once
DEFAULT_CONNECTIONS = 2000  # feeds


@attrs.frozen(kw_only=True)
class CommonSettings:
    """Settings that every role has."""

    host: str = setting(
        parse_name, NAME_ALLOWED, 'Name of the host or instance it runs on.'
    )
    endpoint: Endpoint = setting(
        parse_reachable,
        ENDPOINT_ALLOWED,
        'Where it takes frames (UDP) and calls (TCP) of other processes.',
    )
    zone: str = setting(
        parse_name, NAME_ALLOWED, 'Availability zone that it stands in.'
    )
    key_file: pathlib.Path = setting(
        pathlib.Path,
        KEY_FILE_ALLOWED,
        'Key under which processes of the system authenticate each other.',
    )
    statsd: Endpoint | None = setting(
        parse_endpoint,
        ENDPOINT_ALLOWED,
        'Where metrics are sent by the statsd protocol; none when absent.',
        default=None,
    )


@attrs.frozen(kw_only=True)
class MemberSettings(CommonSettings):
    """Settings of roles that announce themselves to the control instances."""

    control: tuple[Endpoint, ...] = setting(
        parse_endpoints,
        ENDPOINTS_ALLOWED,
        'The control instances.',
    )
    peers: tuple[Endpoint, ...] = setting(
        parse_endpoints,
        ENDPOINTS_ALLOWED,
        'Other members that are asked for the tables while no control '
        'instance answers; none when absent.',
        default=(),
    )


@attrs.frozen(kw_only=True)
class BalancerSettings(MemberSettings):
    """Settings of a balancer."""

    fabric_endpoint: Endpoint = setting(
        parse_endpoint,
        ENDPOINT_ALLOWED,
        "Where the fabric hands in callers' datagrams (UDP).",
    )
    drain_seconds: float = setting(
        parse_seconds,
        SECONDS_ALLOWED,
        'How long after SIGTERM it goes on forwarding while the fabric still '
        'hands in datagrams.',
        default=DEFAULT_DRAIN_SECONDS,
    )
    fabric: Endpoint | None = setting(
        parse_endpoint,
        ENDPOINT_ALLOWED,
        'Where answers go until the fabric has handed in a first datagram.',
        default=None,
    )


@attrs.frozen(kw_only=True)
class AgentSettings(MemberSettings):
    """Settings of an agent."""

    server: Endpoint = setting(
        parse_endpoint,
        ENDPOINT_ALLOWED,
        'Where the backend server beside it takes CoAP (UDP).',
    )
    pool: str = setting(
        parse_name, NAME_ALLOWED, 'Pool that the backend server serves.'
    )
    weight: int = setting(
        parse_weight,
        WEIGHT_ALLOWED,
        'Share of the new flows relative to other servers of the pool.',
        default=DEFAULT_WEIGHT,
    )
    slots: int = setting(
        parse_count,
        COUNT_ALLOWED,
        'Requests that the backend server can run at once at the most; how '
        'many it is given below that is found out.',
        default=DEFAULT_SLOTS,
    )
    connections: int = setting(
        parse_count,
        COUNT_ALLOWED,
        'Feeds that the backend server can carry at the most.',
        default=DEFAULT_CONNECTIONS,
    )
    drain_seconds: float = setting(
        parse_seconds,
        SECONDS_ALLOWED,
        'How long running requests may take to finish after SIGTERM.',
        default=DEFAULT_DRAIN_SECONDS,
    )


@attrs.frozen(kw_only=True)
class ControlRoleSettings(CommonSettings):
    """Settings of a control instance."""

    data_folder: pathlib.Path = setting(
        pathlib.Path,
        'path of a folder on a disk',
        'Where the durable state lives.',
    )
    replicas: Mapping[str, Endpoint] = setting(
        parse_replicas,
        REPLICAS_ALLOWED,
        'All control instances.',
    )


@attrs.frozen(kw_only=True)
class RecoverySettings(ControlRoleSettings):
    """Settings of ``recover``.

    The command continues from the data folder of one control instance after a
    majority of them is lost.
    """

    lose_changes_after: int | None = setting(
        int,
        'the revision that the command names without this setting',
        'Confirms that later changes are lost.',
        default=None,
    )
