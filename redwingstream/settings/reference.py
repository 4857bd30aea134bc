"""Generates the settings reference of the documentation.

``ci/pages`` writes the page; a test fails while the file differs from it.
"""

import types
from typing import Any

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.settings.reader import flag_name, setting_info, variable_name
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
_TABLE_HEADING = '| flag | variable | default | allowed | what for |'
_TABLE_RULE = '| --- | --- | --- | --- | --- |'
_CLASS_BY_ROLE = types.MappingProxyType(
    {
        'balancer': BalancerSettings,
        'agent': AgentSettings,
        'control': ControlRoleSettings,
        'recover': RecoverySettings,
    }
)


def reference_page() -> str:
    """Return the text of ``docs/settings.md``."""
    parts = [_INTRODUCTION]
    for role, settings_class in _CLASS_BY_ROLE.items():
        rows = [_table_row(field) for field in attrs.fields(settings_class)]
        table = '\n'.join((_TABLE_HEADING, _TABLE_RULE, *rows))
        parts.append(f'## redwingstreamd {role}\n\n{table}\n')
    return '\n'.join(parts)


def _table_row(field: 'attrs.Attribute[Any]') -> str:
    info = setting_info(field)
    flag = flag_name(field.name)
    env_name = variable_name(field.name)
    default = _default_text(field.default)
    return (
        f'| `--{flag}` | `{env_name}` | {default} | {info.allowed} | '
        f'{info.help} |'
    )


def _default_text(default: object) -> str:
    match default:
        case attrs.NOTHING:
            return 'required'
        case None | ():
            return 'none'
        case Endpoint() | int() | float() | str():
            return f'`{default}`'
        case _:
            raise TypeError(f'default {default!r} has no text form here')
