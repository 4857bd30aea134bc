"""In which order a full ledger condenses entries into filters.

A condensed request is still never run again; what is lost is its answer.  So
the order follows who is likely to ask for it, by the rule of Gardner, D'Angelo
and Sears (Linux Symposium 2009): a caller that makes one request at a time
replays its last one.  There the rule decided what is forgotten, and a second
run was the price of a wrong guess; here the price is an *unknown*.
"""

from redwingstream.requests.records import RequestState
from redwingstream.requests.slots import Identity, Slot
from redwingstream.requests.states import is_surely_not_run

_Slots = dict[Identity, Slot]


class CondensingOrder:
    """Entries that may be condensed, the least missed first.

    First those surely not run, of which only the wording of the refusal is
    lost; then those that ended and whose caller has made another request
    since; last the ended ones that are their caller's last.
    """

    def __init__(self) -> None:
        self._not_run_by_identity: _Slots = {}
        self._superseded_by_identity: _Slots = {}
        self._ended_last_by_identity: _Slots = {}
        self._last_by_caller: dict[str, Slot] = {}

    def first(self) -> Slot | None:
        """Return the entry to condense next; None when all are needed."""
        for slots in self._kinds():
            if slots:
                return next(iter(slots.values()))
        return None

    def add(self, slot: Slot) -> None:
        """Take a new entry, the last one of its caller so far."""
        caller = slot.key.caller
        former = self._last_by_caller.get(caller)
        self._last_by_caller[caller] = slot
        if former is not None:
            self.place(former)
        self.place(slot)

    def place(self, slot: Slot) -> None:
        """Put an entry in the place that its state gives it."""
        self._take_out(slot)
        if is_surely_not_run(slot.state):
            self._not_run_by_identity[slot.identity] = slot
        elif slot.state is RequestState.STARTED:
            return
        elif self._is_last(slot):
            self._ended_last_by_identity[slot.identity] = slot
        else:
            self._superseded_by_identity[slot.identity] = slot

    def remove(self, slot: Slot) -> None:
        """Forget an entry."""
        self._take_out(slot)
        if self._is_last(slot):
            self._last_by_caller.pop(slot.key.caller)

    def _is_last(self, slot: Slot) -> bool:
        return self._last_by_caller.get(slot.key.caller) is slot

    def _take_out(self, slot: Slot) -> None:
        for slots in self._kinds():
            slots.pop(slot.identity, None)

    def _kinds(self) -> tuple[_Slots, ...]:
        return (
            self._not_run_by_identity,
            self._superseded_by_identity,
            self._ended_last_by_identity,
        )
