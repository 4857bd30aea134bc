"""Tests of reading a file of tables and comparing it with the tables."""

import json

import attrs
import pytest

from redwingstream.errors import ResultCode, SettingError
from redwingstream.operators.plans import make_plan, read_tables_file
from redwingstream.operators.tests.fakes import SERVICE, make_tables
from redwingstream.tables.rows import ZoneMark

RANGE = range(10, 40)
TOML = """
[[pools]]
name = "sward-live"
admits = ["sward-*", "spare-1"]

[[routes]]
service = "127.8.0.2:5683"
pool = "sward-live"
callers = "10.1.0.0/16"
"""


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a file and returns its path."""

    def write_file(text, name='tables.toml'):
        path = tmp_path / name
        path.write_text(text)
        return path

    return write_file


class TestMakePlan:
    def test_named_tables_are_replaced_as_a_whole(self, write):
        plan = make_plan(make_tables(), read_tables_file(write(TOML)))
        signs = [(row.sign, row.table, row.key) for row in plan.differences]
        assert signs == [
            ('~', 'pool', 'sward-live'),
            ('+', 'route', '127.8.0.2:5683|10.1.0.0/16'),
            ('-', 'route', f'{SERVICE}|0.0.0.0/0'),
        ]
        assert len(plan.edits.in_order()) == 3

    def test_removals_are_sorted(self, write):
        # An operator repeats a plan whose answer was lost, under its request
        # id.  Python orders sets of strings differently in each process: with
        # unsorted removals the edits would differ, and the repeat would be
        # refused as a reuse of the id.
        tables = make_tables()
        marks = {f'z{number}': ZoneMark(f'z{number}', True) for number in RANGE}
        tables = attrs.evolve(tables, zone_by_name=marks)
        wanted = read_tables_file(write('{"zones": []}', 'tables.json'))
        removed = [
            row.row.key for row in make_plan(tables, wanted).edits.remove
        ]
        assert removed == sorted(marks)

    def test_omitted_tables_are_not_changed(self, write):
        wanted = read_tables_file(write('{"zones": []}', 'tables.json'))
        plan = make_plan(make_tables(), wanted)
        assert [row.key for row in plan.differences] == ['strathmore']

    def test_same_tables_make_no_edits(self, write):
        same = {
            'routes': [{'service': SERVICE, 'pool': 'sward-live'}],
            'pools': [{'name': 'sward-live', 'admits': ['sward-*']}],
            'zones': [{'zone': 'strathmore', 'out': True}],
        }
        wanted = read_tables_file(write(json.dumps(same), 'tables.json'))
        plan = make_plan(make_tables(), wanted)
        assert not plan.differences
        assert not plan.edits.in_order()


class TestReadTablesFile:
    @pytest.mark.parametrize(
        ('text', 'named'),
        [
            ('[[pool]]\nname = "a"', 'pool'),
            ('[[pools]]\nname = "a"', 'admits'),
            ('[[pools]]\nname = "a"\nadmits = []\nbucket = 4', 'bucket'),
            ('[[pools]]\nname = "a"\nadmits = []\nbuckets = 5', 'power'),
            (
                '[[pools]]\nname = "a"\nadmits = []\nbuckets = 8192',
                '1 to 4096',
            ),
            ('[[routes]]\nservice = "here"\npool = "a"', 'IP:PORT'),
            (
                '[[routes]]\nservice = "::1:1"\npool = "a"\ncallers = "x"',
                'network',
            ),
            ('pools = 3', 'tables'),
            ('pools = [3]', 'tables'),
            ('not toml', 'tables'),
        ],
    )
    def test_rejects_invalid_rows(self, write, text, named):
        with pytest.raises(SettingError, match=named) as caught:
            read_tables_file(write(text))
        assert caught.value.code is ResultCode.BAD_ROW

    def test_names_a_missing_file(self, tmp_path):
        with pytest.raises(SettingError, match='absent.toml'):
            read_tables_file(tmp_path / 'absent.toml')
