"""The settings reference says what the code does."""

import pathlib

from redwingstream.settings.reference import reference_page

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'settings.md'


class TestReference:
    """The page in the documentation."""

    def test_is_up_to_date(self) -> None:
        assert PAGE.read_text() == reference_page(), 'run ci/pages'
