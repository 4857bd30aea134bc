"""Describes settings and reads them from flags and environment variables.

Each setting is a field of an ``attrs`` class.  The metadata of the field holds
its parser and the description of its allowed values.  The setting of field
``data_folder`` has the flag ``--data-folder`` and the environment variable
``REDWINGSTREAM_DATA_FOLDER``; the flag takes precedence.
"""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from redwingstream.errors import SettingError

ENVIRONMENT_PREFIX = 'REDWINGSTREAM_'

SettingsT = TypeVar('SettingsT')


@attrs.frozen
class SettingInfo:
    """Parser and description of one setting.

    Parameters
    ----------
    parse : callable
        Converts the text into the value; raises :class:`SettingError` or
        ``ValueError`` when the text is not allowed.
    allowed : str
        Description of the allowed values, for help texts and errors.
    help : str
        Purpose of the setting, for help texts.
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
    """Return an ``attrs`` field that describes a setting.

    Parameters
    ----------
    parse, allowed, help_text
        As in :class:`SettingInfo`.
    default : object, optional
        Value when neither the flag nor the environment variable is given.
        Without a default the setting is required.
    """
    info = SettingInfo(parse, allowed, help_text)
    return attrs.field(default=default, metadata={'setting': info})


def flag_name(field_name: str) -> str:
    """Return the flag name of a setting, without the leading dashes."""
    return field_name.replace('_', '-')


def variable_name(field_name: str) -> str:
    """Return the name of the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + field_name.upper()


def setting_info(field: 'attrs.Attribute[Any]') -> SettingInfo:
    """Return the parser and description that a settings field holds."""
    info: SettingInfo = field.metadata['setting']
    return info


def read_settings(
    settings_class: type[SettingsT],
    flags: Mapping[str, str | None],
    environ: Mapping[str, str],
) -> SettingsT:
    """Read all settings of a class from flags and environment variables.

    Parameters
    ----------
    settings_class : type
        An ``attrs`` class whose fields were made by :func:`setting`.
    flags : mapping
        Text by flag name; None for a flag that was not given.
    environ : mapping
        The environment variables.

    Returns
    -------
    object
        An instance of ``settings_class`` with validated values.

    Raises
    ------
    SettingError
        If a required setting is missing or a value is not allowed.  The
        message names the setting, its value, the allowed values and how to
        correct it.
    """
    value_by_field: dict[str, Any] = {}
    for field in attrs.fields(settings_class):
        text = flags.get(flag_name(field.name))
        if text is None:
            text = environ.get(variable_name(field.name))
        if text is not None:
            value_by_field[field.name] = _parse_one(field, text)
        elif field.default is attrs.NOTHING:
            raise SettingError(
                f'setting --{flag_name(field.name)} is missing; allowed: '
                f'{setting_info(field).allowed}; give the flag or set '
                f'{variable_name(field.name)}',
            )
    return settings_class(**value_by_field)


def _parse_one(field: 'attrs.Attribute[Any]', text: str) -> Any:
    info = setting_info(field)
    try:
        return info.parse(text)
    except (SettingError, ValueError) as error:
        raise SettingError(
            f'setting --{flag_name(field.name)} has value {text!r}; allowed: '
            f'{info.allowed}; correct the flag or '
            f'{variable_name(field.name)} ({error})',
        ) from error
