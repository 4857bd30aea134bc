"""Tests of reports, counted runs, load answers, blocks and feeds' order."""

import pytest
from aiocoap.message import Message

from redwingstream.wire import coap
from standins.blocks import Blocks, BlockState
from standins.observation import Observation
from standins.resources import (
    Load,
    LoadState,
    Resources,
    RunCounter,
    report_body,
)


def get_block(number, path=('reports', 'spring')):
    packet = Message(code=coap.GET, uri_path=path)
    packet.token = b'a'
    packet.mtype = coap.CON
    packet.mid = number
    packet.opt.block2 = (number, False, 6)
    return packet


def notification(sequence):
    packet = Message(code=coap.CONTENT, payload=b'state')
    packet.opt.observe = sequence
    return packet


class TestReports:
    def test_blocks_make_the_whole(self):
        resources = Resources('host', RunCounter(), report_size=2500)
        blocks = Blocks()
        states = [
            blocks.take(resources.answer(get_block(number)))
            for number in range(3)
        ]
        assert states == [BlockState.MORE, BlockState.MORE, BlockState.LAST]
        assert blocks.whole().body == report_body('reports/spring', 2500)

    def test_block_of_another_version_spoils_the_whole(self):
        resources = Resources('host', RunCounter(), report_size=2500)
        blocks = Blocks()
        blocks.take(resources.answer(get_block(0)))
        other = get_block(1, path=('reports', 'autumn'))
        assert blocks.take(resources.answer(other)) is BlockState.WRONG


class TestRunCounter:
    def test_counts_by_payload_and_writes_each_run(self, tmp_path):
        runs = RunCounter(tmp_path / 'runs')
        first = runs.run(b'plate=31')
        second = runs.run(b'plate=31')
        assert [first.split()[1], second.split()[1]] == ['1', '2']
        assert (tmp_path / 'runs').read_text().splitlines() == [first, second]


class TestLoad:
    def test_lags(self):
        load = Load(lag=2)
        for second in range(5):
            load.note(LoadState(running=second), second)
        assert load.tell(LoadState(running=5), 5).running == 3

    def test_lies(self):
        told = Load(lies=True).tell(LoadState(healthy=False, running=9), 0)
        assert told == LoadState(healthy=True, running=0)


class TestObservation:
    @pytest.mark.parametrize(
        ('last', 'following', 'at', 'is_fresh'),
        [
            (5, 6, 1, True),
            (5, 5, 1, False),
            (6, 5, 1, False),
            (coap.OBSERVE_LIMIT - 1, 0, 1, True),
            (0, coap.OBSERVE_LIMIT - 1, 1, False),
            (6, 5, 129, True),
        ],
    )
    async def test_freshness(self, last, following, at, is_fresh):
        feed = Observation(b'a')
        feed.take(notification(last), 0)
        assert feed.take(notification(following), at) is is_fresh

    async def test_error_ends_it(self):
        feed = Observation(b'a')
        feed.take(Message(code=coap.SERVICE_UNAVAILABLE), 0)
        assert feed.ended
        assert await feed.next_state(timeout=1) is None
