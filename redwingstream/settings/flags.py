"""Command-line options for the settings of a class."""

from typing import Any

import attrs
from cleo.commands.command import Command
from cleo.helpers import option

from redwingstream.settings.reader import flag_name, setting_info, variable_name


def options_for(settings_class: type[Any]) -> list[Any]:
    """Return the command-line options for a settings class.

    Parameters
    ----------
    settings_class : type
        An ``attrs`` class whose fields were made by
        :func:`~redwingstream.settings.reader.setting`.

    Returns
    -------
    list of cleo.io.inputs.option.Option
        One for each field.  Its help text names the allowed values and the
        environment variable.
    """
    return [
        option(
            flag_name(field.name),
            description=(
                f'{setting_info(field).help} Allowed: '
                f'{setting_info(field).allowed}. '
                f'Environment: {variable_name(field.name)}.'
            ),
            flag=False,
        )
        for field in attrs.fields(settings_class)
    ]


def flag_values(
    command: Command, settings_class: type[Any]
) -> dict[str, str | None]:
    """Return the text that was given for each flag, by flag name.

    Parameters
    ----------
    command : Command
        A command whose options include those of :func:`options_for`.
    settings_class : type
        The class whose options the command has.

    Returns
    -------
    dict
        Text by flag name; None for a flag that was not given.
    """
    return {
        flag_name(field.name): command.option(flag_name(field.name))
        for field in attrs.fields(settings_class)
    }
