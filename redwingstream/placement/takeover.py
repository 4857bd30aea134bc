"""A new home hears from each earlier pair before its bucket is in effect."""

import attrs

from redwingstream.placement.effects import Effect, Send
from redwingstream.placement.messages import BucketGiven, TakeBucket
from redwingstream.placement.retries import Backoff, RetryTiming
from redwingstream.tables.rows import ViewMember


@attrs.frozen
class EarlierPair:
    """The pair of an earlier view that a new home must hear from.

    Parameters
    ----------
    number : int
        Number of the earlier view.
    members : tuple of ViewMember
        Home and heir, without runs that are known to have ended; may be empty.
    waited : float
        Seconds for which this agent has been asking them under former views.
    """

    number: int
    members: tuple[ViewMember, ...]
    waited: float


class Takeover:
    """Asks both of each earlier pair until one has answered in full.

    Parameters
    ----------
    request : TakeBucket
        Pool, view and bucket; run and part are filled in for each sending.
    earlier : tuple of EarlierPair
        Whom to hear.
    heard : set of int
        Earlier views that are heard already; the numbers of others are added.
    replay_horizon : float
        Seconds after which a pair that nobody heard is given up as lost.
    timing : RetryTiming
        Pauses between repeats.
    now : float
        Seconds.

    Attributes
    ----------
    lost : tuple of int
        Earlier views that were given up.
    overtaken : bool
        Set once an asked agent has refused, because it is fenced at a newer
        view.

    Notes
    -----
    One of a pair is enough.  Whatever took effect under its view is at both,
    and the one that answers is fenced first, so that nothing can be added:
    an heir refuses the records of the older view, a home ignores the answers
    to those that it has sent.
    """

    def __init__(
        self,
        request: TakeBucket,
        earlier: tuple[EarlierPair, ...],
        heard: set[int],
        replay_horizon: float,
        timing: RetryTiming,
        now: float,
    ) -> None:
        self.lost: tuple[int, ...] = ()
        self.overtaken = False
        self._request = request
        self._earlier_by_number = {each.number: each for each in earlier}
        self._heard = heard
        self._horizon = replay_horizon
        self._timing = timing
        self._asking_for: float = 0
        self._looked_at = now
        self._backoff = Backoff(timing)
        self._next_part_by_incarnation: dict[int, int] = {}

    def finished(self) -> bool:
        """Whether every earlier pair is heard or given up."""
        return not self._unheard()

    def waited(self, number: int) -> float:
        """Return for how many seconds an earlier pair has been asked."""
        earlier = self._earlier_by_number.get(number)
        return 0 if earlier is None else earlier.waited + self._asking_for

    def silence(self, number: int) -> float:
        """Return the seconds that a takeover under the next view goes on from.

        Time in which this one was refused was no silence: 0 then.
        """
        return 0 if self.overtaken else self.waited(number)

    def recovering(self) -> bool:
        """Whether a pair has been silent for long, or has surely ended."""
        return any(
            not each.members
            or self.waited(each.number) >= self._timing.patience
            for each in self._unheard()
        )

    def give_up_lost(self, now: float) -> None:
        """Count pairs as lost that were silent for the longest replay time.

        Only time counts in which this agent was asking.  One that is itself
        frozen for that long would otherwise find the time over when it runs
        again, and come into effect beside a pair that is well and was never
        asked.  A pause between two looks counts as two repeats at most.

        A takeover that is overtaken gives nothing up.  Those who refuse are
        well and hold their records; taken for silent ones, they would let
        this agent come into effect without them under a view that is out of
        date, as long as its heir has not heard of the newer one either.
        """
        pause = min(now - self._looked_at, 2 * self._timing.longest)
        self._asking_for += max(pause, 0)
        self._looked_at = now
        for each in () if self.overtaken else self._unheard():
            if self.waited(each.number) >= self._horizon:
                self.lost += (each.number,)
                self._heard.add(each.number)

    def due_requests(self, now: float) -> list[Effect]:
        """Return the requests to send, or send again, at this time."""
        if self.finished() or not self._backoff.take(now):
            return []
        return [self._ask(member) for member in self._askable_by_run().values()]

    def expects(self, given: BucketGiven) -> bool:
        """Whether these contents are the next part from an asked agent."""
        if given.view != self._request.view:
            return False
        wanted = self._next_part_by_incarnation.get(given.incarnation, 0)
        if given.part != wanted:
            return False
        return given.incarnation in self._askable_by_run()

    def hear(self, given: BucketGiven) -> list[Effect]:
        """Count an expected part and return the request for the next one."""
        member = self._askable_by_run()[given.incarnation]
        following = given.part + 1
        self._next_part_by_incarnation[given.incarnation] = following
        if following < given.parts:
            return [self._ask(member)]
        self._heard.update(
            each.number
            for each in self._unheard()
            if _has_run(each.members, member.incarnation)
        )
        self._heard.update(self._earlier_by_number.keys() & given.covered)
        return []

    def _unheard(self) -> list[EarlierPair]:
        return [
            each
            for number, each in self._earlier_by_number.items()
            if number not in self._heard
        ]

    def _askable_by_run(self) -> dict[int, ViewMember]:
        return {
            member.incarnation: member
            for each in self._unheard()
            for member in each.members
        }

    def _ask(self, member: ViewMember) -> Send:
        run = member.incarnation
        request = attrs.evolve(
            self._request,
            asked_incarnation=run,
            part=self._next_part_by_incarnation.get(run, 0),
        )
        return Send(member.endpoint, request)


def _has_run(members: tuple[ViewMember, ...], incarnation: int) -> bool:
    return any(member.incarnation == incarnation for member in members)
