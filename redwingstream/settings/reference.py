"""The settings reference of the documentation, made from the settings."""

import types
from typing import Any

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.settings.reader import flag_of, info_of, variable_name
from redwingstream.settings.roles import (
    AgentSettings,
    BalancerSettings,
    ControlRoleSettings,
    RecoverySettings,
)

_INTRODUCTION = """# Settings of the daemon

Made by `ci/pages` from `redwingstream/settings/`; a test checks that it is up
to date. A flag goes before its environment variable. The settings of the
operators' tool are in [command line](operators/command-line.md).
"""
_HEAD = '| flag | variable | default | allowed | what for |'
_RULE = '| --- | --- | --- | --- | --- |'
_CLASS_BY_ROLE = types.MappingProxyType(
    {
        'balancer': BalancerSettings,
        'agent': AgentSettings,
        'control': ControlRoleSettings,
        'recover': RecoverySettings,
    }
)


def reference_page() -> str:
    """Return ``docs/settings.md``."""
    parts = [_INTRODUCTION]
    for role, settings_class in _CLASS_BY_ROLE.items():
        rows = [_row(field) for field in attrs.fields(settings_class)]
        table = '\n'.join((_HEAD, _RULE, *rows))
        parts.append(f'## redwingstreamd {role}\n\n{table}\n')
    return '\n'.join(parts)


def _row(field: 'attrs.Attribute[Any]') -> str:
    info = info_of(field)
    flag = flag_of(field.name)
    from_environment = variable_name(field.name)
    default = _default_of(field.default)
    return (
        f'| `--{flag}` | `{from_environment}` | {default} | {info.allowed} | '
        f'{info.help} |'
    )


def _default_of(default: object) -> str:
    match default:
        case attrs.NOTHING:
            return 'required'
        case None | ():
            return 'none'
        case Endpoint() | int() | float() | str():
            return f'`{default}`'
        case _:
            raise TypeError(f'default {default!r} has no text form here')
