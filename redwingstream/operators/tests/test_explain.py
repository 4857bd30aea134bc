"""Tests of explaining where a caller's traffic goes."""

import attrs
import pytest

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import ResultCode
from redwingstream.operators.explain import explain
from redwingstream.operators.status_output import explanation_lines
from redwingstream.operators.tests.fakes import SERVICE, make_tables
from redwingstream.tables.rows import PoolView, ZoneMark

CALLER = Endpoint('127.9.0.1', 40000)
KEY = b'0123456789abcdef'


def explain_with(**changed):
    tables = attrs.evolve(make_tables(), **changed)
    return explain(tables, CALLER, parse_endpoint(SERVICE), KEY)


class TestExplain:
    def test_complete_path(self):
        explanation = explain_with()
        assert explanation.code is ResultCode.OK
        assert (explanation.pool, explanation.home, explanation.heir) == (
            'sward-live',
            'sward-1',
            '',
        )
        assert explanation.bucket is not None
        assert any('sward-1' in line for line in explanation_lines(explanation))

    @pytest.mark.parametrize(
        ('changed', 'code'),
        [
            ({'route_by_key': {}}, ResultCode.NO_ROUTE),
            ({'pool_by_name': {}}, ResultCode.NO_POOL),
            ({'view_by_pool': {}}, ResultCode.NO_SERVER),
        ],
    )
    def test_names_the_missing_step(self, changed, code):
        assert explain_with(**changed).code is code

    def test_names_the_zone_that_is_out(self):
        empty = {'sward-live': PoolView('sward-live', 8, ())}
        marks = {'carse': ZoneMark('carse', out=True)}
        explanation = explain_with(view_by_pool=empty, zone_by_name=marks)
        assert explanation.reasons[-1].endswith('sward-1: zone carse is out')
