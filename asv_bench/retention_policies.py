"""Policies of what a memory of requests forgets first, for comparison."""

from collections import OrderedDict

import attrs

Request = tuple[int, int]


@attrs.frozen
class LeastRecentlyUsed:
    """Forgets what was used the longest ago.

    Parameters
    ----------
    capacity : int
        Entries kept.
    """

    capacity: int


@attrs.frozen
class ExpireByAge:
    """Forgets what is old, however much is kept.

    Parameters
    ----------
    seconds : float
        Age.
    """

    seconds: float


@attrs.frozen
class ProtectLast:
    """Forgets the least recently used, but no caller's last request.

    Only when nothing else is left, the longest protected one goes.

    Parameters
    ----------
    capacity : int
        Entries kept.
    """

    capacity: int


@attrs.frozen
class RefuseWhenFull:
    """Forgets nothing before the horizon and refuses new work instead.

    Parameters
    ----------
    capacity : int
        Entries kept.
    horizon : float
        Seconds.
    """

    capacity: int
    horizon: float


Policy = LeastRecentlyUsed | ExpireByAge | ProtectLast | RefuseWhenFull


class Memory:
    """Requests that are remembered under a policy.

    Parameters
    ----------
    policy : Policy
        What is forgotten.
    """

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.most_entries = 0
        self._seen_at: OrderedDict[Request, float] = OrderedDict()
        self._last_by_caller: dict[int, Request] = {}
        self._protected: OrderedDict[Request, None] = OrderedDict()

    def holds(self, request: Request) -> bool:
        """Whether a replay finds the request."""
        return request in self._seen_at

    def remember(self, request: Request, now: float) -> bool:
        """Take a new request; False when it is refused."""
        match self.policy:
            case LeastRecentlyUsed(capacity):
                self._add(request, now)
                self._forget_beyond(capacity)
            case ExpireByAge(seconds):
                self._forget_older(now - seconds)
                self._add(request, now)
            case ProtectLast(capacity):
                self._protect(request)
                self._add(request, now)
                self._forget_unprotected(capacity)
            case RefuseWhenFull(capacity, horizon):
                self._forget_older(now - horizon)
                if len(self._seen_at) >= capacity:
                    return False
                self._add(request, now)
        return True

    def _add(self, request: Request, now: float) -> None:
        self._seen_at[request] = now
        self.most_entries = max(self.most_entries, len(self._seen_at))

    def _forget_beyond(self, capacity: int) -> None:
        while len(self._seen_at) > capacity:
            self._seen_at.popitem(last=False)

    def _forget_older(self, than: float) -> None:
        while self._seen_at and next(iter(self._seen_at.values())) < than:
            self._seen_at.popitem(last=False)

    def _protect(self, request: Request) -> None:
        caller = request[0]
        former = self._last_by_caller.get(caller)
        self._protected.pop(former, None)
        self._protected[request] = None
        self._last_by_caller[caller] = request

    def _forget_unprotected(self, capacity: int) -> None:
        # What is not protected is forgotten first in the order of its use; a
        # list of it would be kept in a real memory, here a walk will do.
        while len(self._seen_at) > capacity:
            unprotected = (
                request
                for request in self._seen_at
                if request not in self._protected
            )
            forgotten = next(unprotected, None)
            if forgotten is None:
                forgotten = next(iter(self._protected))
                self._protected.pop(forgotten)
            self._seen_at.pop(forgotten)
