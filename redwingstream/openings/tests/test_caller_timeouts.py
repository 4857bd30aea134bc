"""When callers give up waiting for a new flow."""

import pytest

from redwingstream.openings.caller_timeouts import has_caller_given_up


class TestGivenUp:
    """A copy sent after the time-out of the request needs no answer."""

    @pytest.mark.parametrize(
        ('copies', 'timeout', 'expected'),
        [
            (0, 0.5, False),
            (1, 0.5, False),
            (2, 0.5, True),
            (2, 0.6, True),
            (2, 0.7, False),
            (9, 0.5, True),
            (2, 0, False),
            (1, 0.1, True),
        ],
    )
    def test_by_copy_and_timeout(self, copies, timeout, expected) -> None:
        assert has_caller_given_up(copies, timeout) is expected
