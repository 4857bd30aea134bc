"""How a setting is described, found and checked.

Each setting is a field of an ``attrs`` class whose metadata says how it is
read and what is allowed.  A flag ``--data-folder`` has the environment variable
``REDWINGSTREAM_DATA_FOLDER``; the flag goes first.
"""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from redwingstream.errors import SettingError

ENVIRONMENT_PREFIX = 'REDWINGSTREAM_'

SettingsT = TypeVar('SettingsT')


@attrs.frozen
class SettingInfo:
    """How one setting is read and described.

    Parameters
    ----------
    parse : callable
        Takes the text; raises :class:`SettingError` or ``ValueError``.
    allowed : str
        Which values are allowed, for help and for errors.
    help : str
        What the setting is for.
    """

    parse: Callable[[str], Any]
    allowed: str
    help: str


def setting(
    parse: Callable[[str], Any],
    allowed: str,
    help_text: str,
    default: Any = attrs.NOTHING,
) -> Any:
    """Return an ``attrs`` field that is a setting.

    Parameters
    ----------
    parse, allowed, help_text
        As in :class:`SettingInfo`.
    default : object, optional
        Value when neither flag nor variable is given; without it the setting
        is required.
    """
    info = SettingInfo(parse, allowed, help_text)
    return attrs.field(default=default, metadata={'setting': info})


def flag_of(field_name: str) -> str:
    """Return the flag of a setting, without the leading dashes."""
    return field_name.replace('_', '-')


def variable_name(field_name: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + field_name.upper()


def info_of(field: 'attrs.Attribute[Any]') -> SettingInfo:
    """Return how a field's setting is read."""
    info: SettingInfo = field.metadata['setting']
    return info


def read_settings(
    settings_class: type[SettingsT],
    flags: Mapping[str, str | None],
    environ: Mapping[str, str],
) -> SettingsT:
    """Make a settings object from flags and environment variables.

    Parameters
    ----------
    settings_class : type
        An ``attrs`` class whose fields were made by :func:`setting`.
    flags : mapping
        Text by flag name; None for a flag that was not given.
    environ : mapping
        The environment.

    Returns
    -------
    object
        The settings, all checked.

    Raises
    ------
    SettingError
        Naming the setting, the value met, what is allowed and the way out.
    """
    found: dict[str, Any] = {}
    for field in attrs.fields(settings_class):
        text = flags.get(flag_of(field.name))
        if text is None:
            text = environ.get(variable_name(field.name))
        if text is not None:
            found[field.name] = _parse_one(field, text)
        elif field.default is attrs.NOTHING:
            raise SettingError(
                f'setting --{flag_of(field.name)} is missing; allowed: '
                f'{info_of(field).allowed}; give the flag or set '
                f'{variable_name(field.name)}',
            )
    return settings_class(**found)


def _parse_one(field: 'attrs.Attribute[Any]', text: str) -> Any:
    info = info_of(field)
    try:
        return info.parse(text)
    except (SettingError, ValueError) as error:
        raise SettingError(
            f'setting --{flag_of(field.name)} has value {text!r}; allowed: '
            f'{info.allowed}; correct the flag or '
            f'{variable_name(field.name)} ({error})',
        ) from error
