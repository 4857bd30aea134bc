"""How much any system could serve on a day that ends with a final fault.

``python -m asv_bench.ceilings [FIGURES.toml]``.  The file has the figures of a
deployment, with the fields of :class:`Site`; without it, those of the smaller
of two earlier customers' deployments are used.

Callers send requests of three kinds in even steps.  From the fault on nothing
is served until the processes are back; then everything is known at once, and
only the servers bind: after a loss of power each new flow takes one of the few
places that a cold server has within a second.  Requests on flows that were
opened since take none.  Places go to the request that is worth most.  Prices
are those that were charged to the code.
"""

import argparse
import math
import pathlib

import attrs
import msgspec

from asv_bench import output

STEP = 0.01
WINDOW = 2.0
COLD_PLACES = 5
COLD_SECONDS = 2.0
PLACES_EVERY = 1.0


@attrs.frozen
class Kind:
    """One kind of request; rates are shares of a day's, times in seconds."""

    name: str
    share: float
    worth: float
    target: float
    deadline: float
    is_feed: bool = False
    is_cold: bool = True


@attrs.frozen
class Day:
    """A day and its final fault.

    Parameters
    ----------
    name : str
        Of the day.
    rate : float
        Requests a second.
    fault_at, down : float
        When the fault comes, and after how many seconds processes are back.
    is_power : bool
        Whether servers start cold.
    servers : int
        Of the pool that binds.
    prices : float
        What was charged.
    before, after : float
        Worth by the code before and after the rounds.
    """

    name: str
    rate: float
    fault_at: float
    down: float
    is_power: bool
    servers: int
    prices: float
    before: float
    after: float


@attrs.frozen
class Weights:
    """What the parts of a day's worth count: all requests, the worst two
    windows, the worst kind."""

    whole: float
    windows: float
    kind: float


@attrs.frozen
class Site:
    """Figures of one deployment.

    Parameters
    ----------
    kinds : list of Kind
        Kinds of requests.
    days : list of Day
        Days with a final fault.
    weights : Weights
        What counts.
    length : float
        Seconds of traffic of a day.
    users : int
        Callers that keep a flow open.
    late_share : float
        Share of its worth that a late answer has.
    """

    kinds: list[Kind]
    days: list[Day]
    weights: Weights
    length: float
    users: int
    late_share: float


EARLIER_SITE = Site(
    kinds=[
        Kind('balance-feed', 7 / 9.6, 1, 0.1, 0.5, is_feed=True),
        Kind('levy-pay', 2 / 9.6, 2, 0.12, 0.6),
        Kind('statement-pull', 0.6 / 9.6, 1, 0.5, 3, is_cold=False),
    ],
    days=[
        Day('trouble-1', 148, 40.242, 0.81, True, 7, 0.055, 0.797, 0.811),
        Day('scale-1', 219, 34.153, 0.45, False, 6, 0.037, 0.896, 0.908),
        Day('trouble-2', 172, 38.86, 0.69, True, 7, 0.039, 0.823, 0.842),
        Day('scale-2', 219, 37.639, 1.6, True, 8, 0.042, 0.781, 0.791),
        Day('trouble-3', 180, 35.744, 0.5, False, 7, 0.042, 0.892, 0.911),
    ],
    weights=Weights(0.75, 0.15, 0.1),
    length=54.0,
    users=300,
    late_share=0.5,
)


@attrs.define
class _Asked:
    kind: Kind
    at: float
    earned: float = 0


@attrs.define
class _Places:
    """The places that cold servers have left."""

    day: Day
    users: int
    back_at: float
    left: int = 0
    next_at: float = 0
    open_feeds: int = 0

    def refill(self, now: float) -> None:
        """Give each server its places again when a second is over."""
        if now >= self.next_at:
            self.left = COLD_PLACES * self.day.servers
            self.next_at = max(now, self.back_at) + PLACES_EVERY

    def is_warm(self, now: float) -> bool:
        """Whether no place is needed any more."""
        return not self.day.is_power or now >= self.back_at + COLD_SECONDS

    def take(self, kind: Kind, share: float) -> bool:
        """Take what a request needs; ``share`` stands for a throw of dice."""
        if not kind.is_cold:
            return True
        if kind.is_feed and share < self.open_feeds / self.users:
            return True
        if self.left <= 0:
            return False
        self.left -= 1
        self.open_feeds += kind.is_feed
        return True


class _Play:
    """One day of a site, request by request."""

    def __init__(self, site: Site, day: Day) -> None:
        self._site = site
        self._day = day
        self.asked = self._requests()

    def serve(self) -> None:
        """Serve each request as early and as well as possible."""
        day = self._day
        back_at = day.fault_at + day.down
        places = _Places(day, self._site.users, back_at, next_at=back_at)
        waiting: list[_Asked] = []
        for one in self.asked:
            if one.at < day.fault_at:
                one.earned = one.kind.worth
            else:
                waiting.append(one)
        now = back_at
        while waiting:
            places.refill(now)
            self._serve_waiting(places, waiting, now)
            waiting = [
                one
                for one in waiting
                if not one.earned and now - one.at < one.kind.deadline
            ]
            now += STEP

    def worst_windows(self) -> float:
        """Return the mean of the two worst windows."""
        windows = [
            _ratio([one for one in self.asked if one.at // WINDOW == number])
            for number in range(int(self._site.length // WINDOW))
        ]
        return sum(sorted(windows)[:2]) / 2

    def worst_kind(self) -> float:
        """Return the share of the worst-served kind of request."""
        return min(
            _ratio([one for one in self.asked if one.kind is kind])
            for kind in self._site.kinds
        )

    def _requests(self) -> list[_Asked]:
        asked = []
        for kind in self._site.kinds:
            gap = 1 / (self._day.rate * kind.share)
            count = int(self._site.length / gap)
            asked.extend(_Asked(kind, number * gap) for number in range(count))
        return sorted(asked, key=lambda one: one.at)

    def _serve_waiting(
        self, places: _Places, waiting: list[_Asked], now: float
    ) -> None:
        here = [one for one in waiting if one.at <= now]
        here.sort(key=lambda one: (-self._earned(one, now), -one.at))
        for one in here:
            share = math.modf(one.at * self._site.users)[0]
            if places.is_warm(now) or places.take(one.kind, share):
                one.earned = self._earned(one, now)

    def _earned(self, one: _Asked, now: float) -> float:
        waited = now - one.at
        if waited >= one.kind.deadline:
            return 0
        is_late = waited > one.kind.target
        share = self._site.late_share if is_late else 1
        return one.kind.worth * share


def _ratio(asked: list[_Asked]) -> float:
    owed = sum(one.kind.worth for one in asked)
    return sum(one.earned for one in asked) / owed if owed else 1


def ceiling(site: Site, day: Day) -> float:
    """Return the most worth that a day can have, after prices."""
    play = _Play(site, day)
    play.serve()
    weights = site.weights
    whole = weights.whole * _ratio(play.asked)
    windows = weights.windows * play.worst_windows()
    return whole + windows + weights.kind * play.worst_kind() - day.prices


def main() -> None:
    """Print each day's worth beside the most that any system could reach."""
    parser = argparse.ArgumentParser('ceilings')
    parser.add_argument('figures', nargs='?', type=pathlib.Path)
    parser.add_argument('--json')
    flags = parser.parse_args()
    site = EARLIER_SITE
    if flags.figures is not None:
        site = msgspec.toml.decode(flags.figures.read_bytes(), type=Site)
    report = output.Report('ceilings')
    rows = []
    for day in site.days:
        most = ceiling(site, day)
        way = (day.after - day.before) / (most - day.before)
        rows.append(
            {
                'day': day.name,
                'before': day.before,
                'after': day.after,
                'ceiling': round(most, 3),
                'share of the way': round(way, 2),
            },
        )
    report.add('worth of the standard days with trouble', rows)
    report.finish(flags.json)


if __name__ == '__main__':
    main()
