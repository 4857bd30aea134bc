"""The page of result codes agrees with :mod:`redwingstream.errors`."""

import pathlib
import re

from redwingstream.errors import ResultCode

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'result-codes.md'
ROW = re.compile(r'^\| (\d+) \| (\w+) \| ([^|]+) \| ([^|]+) \|$', re.MULTILINE)


def listed_codes():
    return ROW.findall(PAGE.read_text())


class TestResultCodesPage:
    def test_lists_every_code_exactly_once(self):
        listed = [(int(number), name) for number, name, _, _ in listed_codes()]
        assert listed == [(code.value, code.name) for code in ResultCode]

    def test_gives_meaning_and_remedy(self):
        incomplete = [
            name
            for _, name, meaning, remedy in listed_codes()
            if not meaning.strip().endswith('.')
            or not remedy.strip().endswith('.')
        ]
        assert not incomplete
