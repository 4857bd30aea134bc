"""The settings reference says what the code does."""

import pathlib

from redwingstream.daemon import COMMANDS
from redwingstream.settings.reference import reference_page

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'settings.md'


class TestReference:
    """The page in the documentation."""

    def test_is_up_to_date(self) -> None:
        assert PAGE.read_text() == reference_page(), 'run ci/pages'

    def test_lists_every_command_of_the_daemon(self) -> None:
        """An operator with a lost majority finds no setting of ``recover``.

        The page is made from a list of roles.  A command came to the daemon
        and not to that list, so its settings stood nowhere but in its help.
        """
        headings = [
            f'## redwingstreamd {command.name}\n' for command in COMMANDS
        ]
        page = reference_page()
        assert [text for text in headings if text not in page] == []
