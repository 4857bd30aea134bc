"""Tests that the settings reference of the documentation is complete."""

import pathlib

from redwingstream.daemon import COMMANDS
from redwingstream.settings.reference import reference_page

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'settings.md'


class TestReference:
    """The generated page ``docs/settings.md``."""

    def test_is_up_to_date(self) -> None:
        assert PAGE.read_text() == reference_page(), 'run ci/pages'

    def test_lists_every_command_of_the_daemon(self) -> None:
        """Guards against a command that is missing from the page.

        The page is generated from a list of roles.  The settings of a command
        that is not on that list, such as ``recover``, would be documented only
        in its help text.
        """
        headings = [
            f'## redwingstreamd {command.name}\n' for command in COMMANDS
        ]
        page = reference_page()
        assert [text for text in headings if text not in page] == []
