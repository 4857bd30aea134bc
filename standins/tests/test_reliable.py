"""Tests of confirmable messages and of the memory for repeats."""

import asyncio

import pytest
from aiocoap.message import Message

from redwingstream.wire import coap
from standins.reliable import (
    EXCHANGE_LIFETIME,
    Duplicates,
    ReliableSender,
    Timing,
)

TARGET = ('127.0.0.1', 5683)
TIMING = Timing(ack_timeout=2, ack_random_factor=1, max_retransmit=4)


def make_packet():
    packet = Message(code=coap.GET, uri_path=('feed',))
    packet.token = b'a'
    return packet


@pytest.mark.looptime
class TestReliableSender:
    async def test_repeats_with_doubled_waits_then_gives_up(self):
        sent = []
        failures = []
        loop = asyncio.get_running_loop()
        sender = ReliableSender(
            lambda frame, target: sent.append(loop.time()), 1, TIMING
        )
        sender.send(make_packet(), TARGET, lambda: failures.append(1))
        await asyncio.sleep(100)
        assert [at - sent[0] for at in sent] == [0, 2, 6, 14, 30]
        assert failures == [1]

    async def test_settled_is_not_repeated(self):
        sent = []
        sender = ReliableSender(
            lambda frame, target: sent.append(frame), 1, TIMING
        )
        message_id = sender.send(make_packet(), TARGET)
        assert not sender.settle(('127.0.0.2', 5683), message_id)
        assert sender.settle(TARGET, message_id)
        await asyncio.sleep(100)
        assert len(sent) == 1


class TestDuplicates:
    def test_repeat_gets_the_stored_reply(self):
        seen = Duplicates()
        assert seen.reply_of(TARGET, 7, 0) is None
        assert seen.reply_of(TARGET, 7, 1) == b''
        seen.store(TARGET, 7, b'reply')
        assert seen.reply_of(TARGET, 7, 2) == b'reply'

    def test_id_is_new_again_after_its_lifetime(self):
        seen = Duplicates()
        seen.reply_of(TARGET, 7, 0)
        assert seen.reply_of(TARGET, 7, EXCHANGE_LIFETIME) is None

    def test_memory_is_bounded(self):
        seen = Duplicates(limit=2)
        for message_id in (1, 2, 3):
            seen.reply_of(TARGET, message_id, 0)
        assert seen.reply_of(TARGET, 3, 0) == b''
        assert seen.reply_of(TARGET, 1, 0) is None
