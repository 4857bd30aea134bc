"""The page of result codes and the module of errors agree."""

import pathlib
import re

from redwingstream.errors import ResultCode

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'result-codes.md'
ROW = re.compile(r'^\| (\d+) \| (\w+) \| ([^|]+) \| ([^|]+) \|$', re.MULTILINE)


def rows():
    return ROW.findall(PAGE.read_text())


class TestResultCodesPage:
    def test_lists_every_code_once_and_no_other(self):
        listed = [(int(number), name) for number, name, _, _ in rows()]
        assert listed == [(code.value, code.name) for code in ResultCode]

    def test_says_meaning_and_way_out(self):
        short = [
            name
            for _, name, meaning, way_out in rows()
            if not meaning.strip().endswith('.')
            or not way_out.strip().endswith('.')
        ]
        assert not short
