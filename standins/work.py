"""What a backend server can bear: slots, cold start, shedding, draining.

Plain state without I/O; every method takes the time of the runtime's clock.
"""

import enum

import attrs


class Admission(enum.Enum):
    """What a backend server does with a new request."""

    RUN = 'run'
    WAIT = 'wait'
    SHED = 'shed'
    FALLEN = 'fallen'


@attrs.frozen
class Limits:
    """How much a backend server bears.

    Parameters
    ----------
    slots : int
        Requests that run at once when warm.
    backlog : int
        Requests that may wait for a slot.
    service_time : float
        Seconds that a request runs when warm.
    cold_seconds : float
        How long the warm-up lasts after a start.
    cold_slots : int
        Requests that it bears while cold; one more makes it fall over.
    cold_factor : float
        By how much a request runs longer while cold.
    fallen_seconds : float
        How long it answers nothing after it has fallen over.
    """

    slots: int = 2
    backlog: int = 4
    service_time: float = 0.02
    cold_seconds: float = 0
    cold_slots: int = 1
    cold_factor: float = 4
    fallen_seconds: float = 5


class Work:
    """Requests in hand at one backend server.

    Parameters
    ----------
    limits : Limits
        What it bears.
    now : float
        When it starts.
    """

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits = limits
        self.running = 0
        self.waiting = 0
        self.falls = 0
        self.draining = False
        self._warm_at = now + limits.cold_seconds
        self._up_at = now

    def admit(self, now: float) -> Admission:
        """Decide about a new request and count it in."""
        if now < self._up_at:
            return Admission.FALLEN
        if self.draining:
            return Admission.SHED
        if self.is_cold(now):
            return self._admit_cold(now)
        return self._admit_warm()

    def is_cold(self, now: float) -> bool:
        """Whether the warm-up is still going on."""
        return now < self._warm_at

    def is_fallen(self, now: float) -> bool:
        """Whether it has fallen over and answers nothing."""
        return now < self._up_at

    def service_time(self, now: float) -> float:
        """Return how many seconds a request runs that starts now."""
        factor = self.limits.cold_factor if self.is_cold(now) else 1
        return self.limits.service_time * factor

    def start_waiting(self) -> None:
        """Move a waiting request into a slot."""
        self.waiting -= 1
        self.running += 1

    def give_up_waiting(self) -> None:
        """Forget a waiting request that will not run."""
        self.waiting -= 1

    def finish(self) -> None:
        """Free the slot of a request."""
        self.running -= 1

    def turn_cold(self, now: float) -> None:
        """Begin a new warm-up, as after a restart or a lost cache."""
        self._warm_at = now + self.limits.cold_seconds

    def _admit_warm(self) -> Admission:
        if self.running < self.limits.slots:
            self.running += 1
            return Admission.RUN
        if self.waiting < self.limits.backlog:
            self.waiting += 1
            return Admission.WAIT
        return Admission.SHED

    def _admit_cold(self, now: float) -> Admission:
        if self.running < self.limits.cold_slots:
            self.running += 1
            return Admission.RUN
        self.falls += 1
        self._up_at = now + self.limits.fallen_seconds
        self._warm_at = self._up_at + self.limits.cold_seconds
        return Admission.FALLEN
