"""Policies of what a memory of requests forgets first, for comparison."""

import enum
from collections import OrderedDict

import attrs

from redwingstream.requests.begin_results import Fresh, Full, OutcomeUnknown
from redwingstream.requests.ledger import Ledger
from redwingstream.requests.records import RequestKey, RequestState

_BUCKETS = 64
_TOKEN_BYTES = 8
_CHECKSUM = b'checksum'


@attrs.frozen
class Request:
    """A request of the simulation.

    Parameters
    ----------
    caller : int
        Who asks.
    number : int
        Which of all requests.
    """

    caller: int
    number: int


class Found(enum.Enum):
    """What a packet meets in a memory."""

    NOTHING = 'nothing'
    ANSWER = 'answer'
    UNKNOWN = 'unknown'
    REFUSAL = 'refusal'


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


@attrs.frozen
class AsBuilt:
    """The ledger of this project.

    It protects callers' last requests as :class:`ProtectLast` does, forgets
    none before the horizon, and tells *unknown* of those it has condensed.

    Parameters
    ----------
    capacity : int
        Entries kept.
    horizon : float
        Seconds.
    """

    capacity: int
    horizon: float


Policy = (
    LeastRecentlyUsed | ExpireByAge | ProtectLast | RefuseWhenFull | AsBuilt
)


class Memory:
    """Requests that are remembered under a policy.

    Parameters
    ----------
    policy : Policy
        What is forgotten.
    """

    def __init__(self, policy: Policy) -> None:
        self.most_entries = 0
        self._policy = policy
        self._seen_at: OrderedDict[Request, float] = OrderedDict()
        self._last_by_caller: dict[int, Request] = {}
        self._protected: OrderedDict[Request, None] = OrderedDict()

    def meet(self, request: Request, now: float) -> Found:
        """Look a packet's request up, and remember it if it is new."""
        if request in self._seen_at:
            return Found.ANSWER
        if not self._make_room(request, now):
            return Found.REFUSAL
        self._seen_at[request] = now
        self.most_entries = max(self.most_entries, len(self._seen_at))
        return Found.NOTHING

    def _make_room(self, request: Request, now: float) -> bool:
        match self._policy:
            case LeastRecentlyUsed(capacity):
                self._forget_beyond(capacity - 1)
            case ExpireByAge(seconds):
                self._forget_older(now - seconds)
            case ProtectLast(capacity):
                self._protect(request)
                self._forget_unprotected(capacity - 1)
            case RefuseWhenFull(capacity, horizon):
                self._forget_older(now - horizon)
                return len(self._seen_at) < capacity
        return True

    def _forget_beyond(self, capacity: int) -> None:
        while len(self._seen_at) > capacity:
            self._seen_at.popitem(last=False)

    def _forget_older(self, than: float) -> None:
        while self._seen_at and next(iter(self._seen_at.values())) < than:
            self._seen_at.popitem(last=False)

    def _protect(self, request: Request) -> None:
        former = self._last_by_caller.get(request.caller)
        self._protected.pop(former, None)
        self._protected[request] = None
        self._last_by_caller[request.caller] = request

    def _forget_unprotected(self, capacity: int) -> None:
        # A real memory would keep a list of the unprotected ones; here a walk
        # in the order of use will do.
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


class LedgerMemory:
    """The ledger of this project behind the same interface.

    Parameters
    ----------
    policy : AsBuilt
        Its size and horizon.
    """

    def __init__(self, policy: AsBuilt) -> None:
        self.most_entries = 0
        self._ledger = Ledger(policy.capacity, policy.horizon)

    def meet(self, request: Request, now: float) -> Found:
        """Look a packet's request up, and remember it if it is new."""
        caller = str(request.caller)
        token = request.number.to_bytes(_TOKEN_BYTES, 'big')
        key = RequestKey(caller, '', 0, token)
        bucket = request.caller % _BUCKETS
        match self._ledger.begin(bucket, key, _CHECKSUM, now):
            case Fresh():
                answered = RequestState.ANSWERED
                self._ledger.finish(key, _CHECKSUM, answered, b'done', now)
                self.most_entries = max(self.most_entries, len(self._ledger))
                return Found.NOTHING
            case Full():
                return Found.REFUSAL
            case OutcomeUnknown():
                return Found.UNKNOWN
            case _:
                return Found.ANSWER


def memory_for(policy: Policy) -> Memory | LedgerMemory:
    """Return an empty memory with a policy."""
    if isinstance(policy, AsBuilt):
        return LedgerMemory(policy)
    return Memory(policy)
