"""What became of a caller's request, and how often."""

import aiocoap
import attrs
from aiocoap.message import Message

from redwingstream.wire import coap

DEFAULT_MAX_AGE = 60


@attrs.frozen
class Answered:
    """The server has answered."""

    response: Message

    @property
    def payload(self) -> bytes:
        """Body of the answer."""
        return self.response.payload


@attrs.frozen
class NotRun:
    """5.03: the request was surely not run.

    Parameters
    ----------
    reason : str
        Payload of the refusal.
    come_back : int
        Seconds after which a new request makes sense.
    """

    reason: str
    come_back: int


@attrs.frozen
class Unknown:
    """5.04: the request may have run once and will not run again."""

    reason: str


@attrs.frozen
class NoAnswer:
    """Nothing final came before the deadline or the last repeat."""


Outcome = Answered | NotRun | Unknown | NoAnswer


@attrs.define
class OutcomeCounters:
    """Outcomes of one caller's requests, and its feeds."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    no_answer: int = 0
    notifications: int = 0
    stale: int = 0
    repeated: int = 0
    broken_feeds: int = 0

    def count(self, outcome: Outcome) -> None:
        """Count one outcome."""
        match outcome:
            case Answered():
                self.answered += 1
            case NotRun():
                self.not_run += 1
            case Unknown():
                self.unknown += 1
            case NoAnswer():
                self.no_answer += 1


def outcome_of(response: Message) -> Outcome:
    """Read the outcome that a response tells."""
    if response.code == aiocoap.SERVICE_UNAVAILABLE:
        max_age = response.opt.max_age
        come_back = DEFAULT_MAX_AGE if max_age is None else max_age
        return NotRun(response.payload.decode(errors='replace'), come_back)
    if response.code == coap.GATEWAY_TIMEOUT:
        return Unknown(response.payload.decode(errors='replace'))
    return Answered(response)
