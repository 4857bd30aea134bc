"""Requests and feeds in a pool without faults."""

from redwingstream.agent.tests.support import settled_pool


class TestRequests:
    """Requests without faults."""

    def test_non_idempotent(self) -> None:
        pool = settled_pool()
        asked = pool.caller().post(b'bay 7')
        pool.run(1)
        assert asked.outcome == 'answered'
        assert pool.runs(b'bay 7') == 1

    def test_idempotent(self) -> None:
        pool = settled_pool()
        asked = pool.caller().get(b'map')
        pool.run(1)
        assert asked.outcome == 'answered'


class TestFeeds:
    """Feeds without faults."""

    def test_notifications_continue(self) -> None:
        pool = settled_pool()
        watched = pool.caller().watch()
        pool.run(20)
        assert len(watched.seen_at) > 15
        assert watched.longest_gap(pool.exchange.now) < 2
