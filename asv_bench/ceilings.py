"""How much any system could serve on a day that ends with a final fault.

``python -m asv_bench.ceilings``.  Callers send requests of three kinds in even
steps.  From the fault on nothing is served until the processes are back; then
everything is known at once, and only the servers bind: after a loss of power
each new flow takes one of the few places that a cold server has within a
second.  Requests on flows that were opened since take none.  Places go to the
request that is worth most.  Prices are those that were charged to the code.
"""

import math

import attrs

from asv_bench import output

STEP = 0.01
LENGTH = 54.0
WINDOW = 2.0
COLD_PLACES = 5
COLD_SECONDS = 2.0
PLACES_EVERY = 1.0
USERS = 300
WEIGHTS = (0.75, 0.15, 0.1)


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


KINDS = (
    Kind('balance-feed', 7 / 9.6, 1, 0.1, 0.5, is_feed=True),
    Kind('levy-pay', 2 / 9.6, 2, 0.12, 0.6),
    Kind('statement-pull', 0.6 / 9.6, 1, 0.5, 3, is_cold=False),
)


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


@attrs.define
class _Asked:
    kind: Kind
    at: float
    earned: float = 0


@attrs.define
class _Places:
    """The places that cold servers have left."""

    day: Day
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
        if kind.is_feed and share < self.open_feeds / USERS:
            return True
        if self.left <= 0:
            return False
        self.left -= 1
        self.open_feeds += kind.is_feed
        return True


def _earned(one: _Asked, now: float) -> float:
    waited = now - one.at
    if waited >= one.kind.deadline:
        return 0
    is_late = waited > one.kind.target
    return one.kind.worth / 2 if is_late else one.kind.worth


def _requests(day: Day) -> list[_Asked]:
    asked = []
    for kind in KINDS:
        gap = 1 / (day.rate * kind.share)
        count = int(LENGTH / gap)
        asked.extend(_Asked(kind, number * gap) for number in range(count))
    return sorted(asked, key=lambda one: one.at)


def _serve(day: Day, asked: list[_Asked]) -> None:
    back_at = day.fault_at + day.down
    places = _Places(day, back_at, next_at=back_at)
    waiting: list[_Asked] = []
    for one in asked:
        if one.at < day.fault_at:
            one.earned = one.kind.worth
        else:
            waiting.append(one)
    now = back_at
    while waiting:
        places.refill(now)
        _serve_waiting(places, waiting, now)
        waiting = [
            one
            for one in waiting
            if not one.earned and now - one.at < one.kind.deadline
        ]
        now += STEP


def _serve_waiting(places: _Places, waiting: list[_Asked], now: float) -> None:
    here = [one for one in waiting if one.at <= now]
    here.sort(key=lambda one: (-_earned(one, now), -one.at))
    for one in here:
        share = math.modf(one.at * USERS)[0]
        if places.is_warm(now) or places.take(one.kind, share):
            one.earned = _earned(one, now)


def _ratio(asked: list[_Asked]) -> float:
    owed = sum(one.kind.worth for one in asked)
    return sum(one.earned for one in asked) / owed if owed else 1


def ceiling(day: Day) -> float:
    """Return the most worth that a day can have, after prices."""
    asked = _requests(day)
    _serve(day, asked)
    windows = [
        _ratio([one for one in asked if one.at // WINDOW == number])
        for number in range(int(LENGTH // WINDOW))
    ]
    kinds = [
        _ratio([one for one in asked if one.kind is kind]) for kind in KINDS
    ]
    worst = sum(sorted(windows)[:2]) / 2
    parts = (_ratio(asked), worst, min(kinds))
    whole = sum(
        weight * part for weight, part in zip(WEIGHTS, parts, strict=True)
    )
    return whole - day.prices


DAYS = (
    Day('trouble-1', 148, 40.242, 0.81, True, 7, 0.055, 0.797, 0.811),
    Day('scale-1', 219, 34.153, 0.45, False, 6, 0.037, 0.896, 0.908),
    Day('trouble-2', 172, 38.86, 0.69, True, 7, 0.039, 0.823, 0.842),
    Day('scale-2', 219, 37.639, 1.6, True, 8, 0.042, 0.781, 0.791),
    Day('trouble-3', 180, 35.744, 0.5, False, 7, 0.042, 0.892, 0.911),
)


def main() -> None:
    """Print each day's worth beside the most that any system could reach."""
    report = output.Report('ceilings')
    flags = output.read_flags('ceilings')
    rows = []
    for day in DAYS:
        most = ceiling(day)
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
