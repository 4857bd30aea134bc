"""Settings as flags of a command line."""

from typing import Any

import attrs
from cleo.commands.command import Command
from cleo.helpers import option

from redwingstream.settings.reader import flag_of, info_of, variable_name


def options_for(settings_class: type[Any]) -> list[Any]:
    """Return the command-line options of a settings class.

    Parameters
    ----------
    settings_class : type
        An ``attrs`` class whose fields were made by
        :func:`~redwingstream.settings.reader.setting`.

    Returns
    -------
    list of cleo.io.inputs.option.Option
        One for each field; its help names the allowed values and the
        environment variable.
    """
    return [
        option(
            flag_of(field.name),
            description=(
                f'{info_of(field).help} Allowed: {info_of(field).allowed}. '
                f'Environment: {variable_name(field.name)}.'
            ),
            flag=False,
        )
        for field in attrs.fields(settings_class)
    ]


def flag_values(
    command: Command, settings_class: type[Any]
) -> dict[str, str | None]:
    """Return the text of each setting's flag; None for one not given.

    Parameters
    ----------
    command : Command
        A command whose options are those of :func:`options_of`.
    settings_class : type
        The same class.
    """
    return {
        flag_of(field.name): command.option(flag_of(field.name))
        for field in attrs.fields(settings_class)
    }
