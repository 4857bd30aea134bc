"""Takeover: a new home fetches a bucket from the pairs of earlier views."""

import attrs

from redwingstream.placement.effects import Effect, Send
from redwingstream.placement.messages import BucketGiven, TakeBucket
from redwingstream.placement.retries import Backoff, RetryTiming
from redwingstream.tables.rows import ViewMember


@attrs.frozen
class EarlierPair:
    """Pair of an earlier view whose contents a new home must receive.

    Parameters
    ----------
    number : int
        Number of the earlier view.
    members : tuple of ViewMember
        Home and heir, without incarnations that are known to have ended; may
        be empty.
    silent_seconds : float
        Seconds for which this agent has requested the contents without an
        answer under the views before.
    """

    number: int
    members: tuple[ViewMember, ...]
    silent_seconds: float


class Takeover:
    """Requests a bucket from both agents of each earlier pair.

    A pair is complete as soon as one of the two has sent all parts.

    Parameters
    ----------
    request : TakeBucket
        Pool, view and bucket; incarnation and part are filled in for each
        message.
    earlier : tuple of EarlierPair
        Pairs whose contents are needed.
    complete_views : set of int
        Numbers of earlier views whose contents are complete already; others
        are added as they become complete or are given up as lost.
    replay_horizon : float
        Seconds after which a pair that has not answered is given up as lost.
    timing : RetryTiming
        Pauses between retries.
    now : float
        Current time in seconds, by the event loop's clock.

    Attributes
    ----------
    lost : tuple of int
        Numbers of earlier views that were given up.
    is_outdated : bool
        True once another agent has refused because it is fenced at a newer
        view.

    Notes
    -----
    One agent of a pair is enough.  Whatever took effect under its view is held
    by both, and the one that answers is fenced first, so that nothing can be
    added: an heir refuses the records of the older view, and a home ignores
    the answers to those that it has sent.
    """

    def __init__(
        self,
        request: TakeBucket,
        earlier: tuple[EarlierPair, ...],
        complete_views: set[int],
        replay_horizon: float,
        timing: RetryTiming,
        now: float,
    ) -> None:
        self.lost: tuple[int, ...] = ()
        self.is_outdated = False
        self._request = request
        self._earlier_by_number = {each.number: each for each in earlier}
        self._complete_views = complete_views
        self._replay_horizon = replay_horizon
        self._timing = timing
        self._asking_seconds: float = 0
        self._last_check_at = now
        self._backoff = Backoff(timing)
        self._next_part_by_incarnation: dict[int, int] = {}

    def is_finished(self) -> bool:
        """Whether every earlier pair is complete or given up."""
        return not self._incomplete()

    def silent_seconds(self, number: int) -> float:
        """Return the seconds of requests to an earlier pair without answer."""
        earlier = self._earlier_by_number.get(number)
        return (
            0
            if earlier is None
            else earlier.silent_seconds + self._asking_seconds
        )

    def silence_to_carry_over(self, number: int) -> float:
        """Return the silent seconds that the next view's takeover starts from.

        0 when this takeover was refused: an agent that refuses is not silent.
        """
        return 0 if self.is_outdated else self.silent_seconds(number)

    def is_recovering(self) -> bool:
        """Whether a pair has no agent left, or has been silent for long."""
        return any(
            not each.members
            or self.silent_seconds(each.number) >= self._timing.recovering_after
            for each in self._incomplete()
        )

    def give_up_lost(self, now: float) -> None:
        """Give up pairs that were silent for the longest replay time.

        Only time counts in which this agent was sending requests.  Otherwise
        an agent that is itself frozen for that long would find the time over
        when it runs again, and would put the bucket into effect beside a pair
        that is healthy and never received a request.  The time between two
        checks counts as at most two retry pauses.

        An outdated takeover gives up no pair.  The agents that refuse are
        healthy and hold their records; if they counted as silent, this agent
        would put the bucket into effect without those records under an
        outdated view, as long as its heir does not know the newer view either.
        """
        pause = min(now - self._last_check_at, 2 * self._timing.max_pause)
        self._asking_seconds += max(pause, 0)
        self._last_check_at = now
        for each in () if self.is_outdated else self._incomplete():
            if self.silent_seconds(each.number) >= self._replay_horizon:
                self.lost += (each.number,)
                self._complete_views.add(each.number)

    def due_requests(self, now: float) -> list[Effect]:
        """Return the requests to send, or to send again, at this time."""
        if self.is_finished() or not self._backoff.start_if_due(now):
            return []
        return [
            self._request_to(member)
            for member in self._pending_by_incarnation().values()
        ]

    def expects(self, given: BucketGiven) -> bool:
        """Whether this is the next part from an agent with open requests."""
        if given.view != self._request.view:
            return False
        next_part = self._next_part_by_incarnation.get(given.incarnation, 0)
        if given.part != next_part:
            return False
        return given.incarnation in self._pending_by_incarnation()

    def handle_part(self, given: BucketGiven) -> list[Effect]:
        """Record an expected part and return the request for the next one."""
        member = self._pending_by_incarnation()[given.incarnation]
        next_part = given.part + 1
        self._next_part_by_incarnation[given.incarnation] = next_part
        if next_part < given.parts:
            return [self._request_to(member)]
        self._complete_views.update(
            each.number
            for each in self._incomplete()
            if _has_incarnation(each.members, member.incarnation)
        )
        self._complete_views.update(
            self._earlier_by_number.keys() & given.covered
        )
        return []

    def _incomplete(self) -> list[EarlierPair]:
        return [
            each
            for number, each in self._earlier_by_number.items()
            if number not in self._complete_views
        ]

    def _pending_by_incarnation(self) -> dict[int, ViewMember]:
        return {
            member.incarnation: member
            for each in self._incomplete()
            for member in each.members
        }

    def _request_to(self, member: ViewMember) -> Send:
        incarnation = member.incarnation
        request = attrs.evolve(
            self._request,
            asked_incarnation=incarnation,
            part=self._next_part_by_incarnation.get(incarnation, 0),
        )
        return Send(member.endpoint, request)


def _has_incarnation(members: tuple[ViewMember, ...], incarnation: int) -> bool:
    return any(member.incarnation == incarnation for member in members)
