"""Settings of the operators' tool: flags and environment variables."""

import pathlib

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.settings.parsers import (
    ENDPOINTS_ALLOWED,
    KEY_FILE_ALLOWED,
    SECONDS_ALLOWED,
    parse_endpoints,
    parse_seconds,
)
from redwingstream.settings.reader import setting

DEFAULT_TIMEOUT = 10  # seconds


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Settings of every command that calls the control instances."""

    control: tuple[Endpoint, ...] = setting(
        parse_endpoints,
        ENDPOINTS_ALLOWED,
        'The control instances.',
    )
    key_file: pathlib.Path = setting(
        pathlib.Path,
        KEY_FILE_ALLOWED,
        'Key under which the processes of the system take calls.',
    )
    timeout: float = setting(
        parse_seconds,
        SECONDS_ALLOWED,
        'How long a command tries before it gives up.',
        default=DEFAULT_TIMEOUT,
    )
