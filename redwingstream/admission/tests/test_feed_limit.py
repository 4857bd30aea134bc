"""Limit on feeds and on the rate at which they are opened."""

from redwingstream.admission.feed_limit import COLD_FEEDS, FeedLimit

STEP = 0.01


def register(feeds: FeedLimit, count: int, now: float) -> float:
    """Open feeds as fast as the limit allows; return the time of the last."""
    while count:
        if feeds.try_open(now):
            feeds.record_opened()
            count -= 1
        else:
            now += STEP
    return now


class TestFeedLimit:
    def test_all_feeds_of_a_host_open_within_half_a_minute(self):
        feeds = FeedLimit(2000)
        assert register(feeds, 2000, now=0) < 30
        assert feeds.limit == 2000
        assert not feeds.try_open(100)

    def test_registrations_after_a_restart_are_paced(self):
        """Feeds of a restarted server are registered again at a limited rate.

        Guards against admitting feeds that were open before without a limit:
        all 2,000 would be registered at the moment when the server announces
        itself, and overload it again.
        """
        feeds = FeedLimit(2000)
        now = register(feeds, 2000, now=0)
        feeds.server_restarted(now)
        assert feeds.open_count == 0
        assert register(feeds, COLD_FEEDS, now) - now > 3

    def test_unanswered_registrations_do_not_raise_the_limit(self):
        feeds = FeedLimit(2000)
        now = float(0)
        while feeds.opening_count < COLD_FEEDS:
            feeds.try_open(now)
            now += STEP
        assert not feeds.try_open(now + 100)
        assert feeds.limit == COLD_FEEDS

    def test_failure_reduces_the_limit_to_the_open_feeds(self):
        feeds = FeedLimit(2000)
        now = register(feeds, 50, now=0)
        assert feeds.limit == 64
        assert feeds.try_open(now + 1)
        feeds.record_failed()
        assert feeds.limit == 50
        assert feeds.open_count == 50
        assert not feeds.try_open(now + 2)

    def test_cold_server_keeps_its_open_feeds(self):
        feeds = FeedLimit(2000)
        now = register(feeds, 50, now=0)
        feeds.reset_to_cold(now)
        assert feeds.open_count == 50
        assert not feeds.try_open(now + 9)

    def test_no_burst_after_a_pause(self):
        feeds = FeedLimit(2000)
        opened = sum(feeds.try_open(1000) for _ in range(100))
        assert opened == COLD_FEEDS // 4

    def test_draining_opens_nothing(self):
        feeds = FeedLimit(2000)
        feeds.drain()
        assert not feeds.try_open(9)
        feeds.resume(9)
        assert feeds.try_open(9)

    def test_closed_feed_makes_room(self):
        feeds = FeedLimit(3)
        now = register(feeds, 3, now=0)
        assert not feeds.try_open(now + 1)
        feeds.record_closed()
        assert feeds.try_open(now + 2)
