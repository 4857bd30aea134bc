"""Order in which a full ledger condenses entries into filters.

To condense an entry is to replace it by bits in a Bloom filter.  The request is
still never run again, but its answer is lost.  Entries whose answer is least
likely to be requested are condensed first, by the rule of Gardner, D'Angelo and
Sears (Linux Symposium 2009): a caller that makes one request at a time replays
its last one.  In that paper the rule decides which entries are dropped, so that
a wrong guess causes a second run; here it causes the answer *unknown*.
"""

from redwingstream.requests.records import RequestState
from redwingstream.requests.slots import Identity, Slot
from redwingstream.requests.states import is_surely_not_run

_Slots = dict[Identity, Slot]


class CondensingOrder:
    """Entries that may be condensed, in the order in which to condense them.

    First requests that were certainly not run, of which only the text of the
    refusal is lost; then ended requests whose caller has made another request
    since; finally ended requests that are the last one of their caller.
    """

    def __init__(self) -> None:
        self._not_run_by_identity: _Slots = {}
        self._superseded_by_identity: _Slots = {}
        self._last_ended_by_identity: _Slots = {}
        self._last_by_caller: dict[str, Slot] = {}

    def next_to_condense(self) -> Slot | None:
        """Return the entry to condense next; None if none may be condensed."""
        for slots in self._classes():
            if slots:
                return next(iter(slots.values()))
        return None

    def add(self, slot: Slot) -> None:
        """Add a new entry, which becomes the last one of its caller."""
        caller = slot.key.caller
        former = self._last_by_caller.get(caller)
        self._last_by_caller[caller] = slot
        if former is not None:
            self.reclassify(former)
        self.reclassify(slot)

    def reclassify(self, slot: Slot) -> None:
        """Move an entry to the end of the class that its state determines."""
        self._discard(slot)
        if is_surely_not_run(slot.state):
            self._not_run_by_identity[slot.identity] = slot
        elif slot.state is RequestState.STARTED:
            return
        elif self._is_last_of_caller(slot):
            self._last_ended_by_identity[slot.identity] = slot
        else:
            self._superseded_by_identity[slot.identity] = slot

    def remove(self, slot: Slot) -> None:
        """Remove an entry."""
        self._discard(slot)
        if self._is_last_of_caller(slot):
            self._last_by_caller.pop(slot.key.caller)

    def _is_last_of_caller(self, slot: Slot) -> bool:
        return self._last_by_caller.get(slot.key.caller) is slot

    def _discard(self, slot: Slot) -> None:
        for slots in self._classes():
            slots.pop(slot.identity, None)

    def _classes(self) -> tuple[_Slots, ...]:
        return (
            self._not_run_by_identity,
            self._superseded_by_identity,
            self._last_ended_by_identity,
        )
