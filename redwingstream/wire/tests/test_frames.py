"""Tests of frames: those not authentic, complete and new are refused."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingstream.errors import ResultCode, WireError
from redwingstream.membership.messages import Probe
from redwingstream.wire.frames import REPLAY_WINDOW, FrameCodec

KEY = b'k' * 32


def assert_refused(codec: FrameCodec, frame: bytes, code: ResultCode) -> None:
    """Check that a frame is refused with a code."""
    with pytest.raises(WireError) as caught:
        codec.open(frame)
    assert caught.value.code is code


class TestFrameCodec:
    """One codec seals frames and another one opens them."""

    def test_returns_what_was_sealed(self) -> None:
        sender = FrameCodec(KEY)
        opened = FrameCodec(KEY).open(sender.seal(Probe(7)))
        assert opened.payload == Probe(7)
        assert opened.boot == sender.boot

    def test_refuses_a_frame_under_another_key(self) -> None:
        frame = FrameCodec(b'x' * 32).seal(Probe(7))
        assert_refused(FrameCodec(KEY), frame, ResultCode.UNAUTHENTIC)

    def test_refuses_a_frame_delivered_twice(self) -> None:
        """A replayed heartbeat must not keep a dead member in the view.

        The sender dies, and the network delivers one of its frames again.
        """
        codec = FrameCodec(KEY)
        frame = FrameCodec(KEY).seal(Probe(7))
        codec.open(frame)
        assert_refused(codec, frame, ResultCode.REPLAYED)

    def test_accepts_reordered_frames_once_each(self) -> None:
        sender, codec = FrameCodec(KEY), FrameCodec(KEY)
        frames = [sender.seal(Probe(number)) for number in range(10)]
        for frame in reversed(frames):
            codec.open(frame)
        for frame in frames:
            assert_refused(codec, frame, ResultCode.REPLAYED)

    def test_refuses_a_frame_older_than_the_window(self) -> None:
        sender, codec = FrameCodec(KEY), FrameCodec(KEY)
        first = sender.seal(Probe(0))
        for _ in range(REPLAY_WINDOW + 1):
            last = sender.seal(Probe(1))
        codec.open(last)
        assert_refused(codec, first, ResultCode.REPLAYED)

    @given(st.binary(max_size=200))
    def test_any_bytes_are_refused_without_another_error(
        self, frame: bytes
    ) -> None:
        with pytest.raises(WireError):
            FrameCodec(KEY).open(frame)
