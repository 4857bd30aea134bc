"""Applies entries of the replicated log, one after the other."""

from redwingstream.consensus.messages import Entry
from redwingstream.tables.edits import (
    ChangeAnswer,
    ChangeRequest,
)
from redwingstream.tables.machine.changes import apply_change
from redwingstream.tables.machine.deltas import Deltas
from redwingstream.tables.machine.members import (
    admit_member,
    leave_member,
    remove_member,
)
from redwingstream.tables.machine.messages import (
    AdmitMember,
    LeaveMember,
    MarkZone,
    RemoveMember,
    SettleView,
    StageReplacement,
)
from redwingstream.tables.machine.replacements import (
    mark_zone,
    stage_replacement,
)
from redwingstream.tables.machine.state import (
    MachineState,
    pack_state,
    unpack_state,
)
from redwingstream.tables.machine.views import recompute_views, settle_view
from redwingstream.tables.messages import (
    TablesUpdate,
)
from redwingstream.tables.rows import Member
from redwingstream.tables.snapshot import Tables
from redwingstream.wire import messages

CommandResult = ChangeAnswer | Member | None


class StateMachine:
    """The replicated state; the same entries make the same state anywhere.

    Notes
    -----
    Nothing here depends on time, chance or the order of sets, since replicas
    that differed would answer differently after a change of leader.
    """

    def __init__(self) -> None:
        self.state = MachineState()
        self._deltas = Deltas(0)
        self._tables = Tables()

    @property
    def tables(self) -> Tables:
        """An unchangeable copy of the tables, made once a revision."""
        if self._tables.revision != self.state.revision:
            self._tables = self.state.tables()
        return self._tables

    def apply(self, entry: Entry) -> CommandResult:
        """Apply the next entry.

        Parameters
        ----------
        entry : Entry
            The accepted entry that follows the last one applied.

        Returns
        -------
        ChangeAnswer, Member or None
            The answer to an operators' change or to an admission.
        """
        state = self.state
        state.touched = []
        command = messages.decode(entry.kind, entry.body)
        outcome = self._dispatch(command, entry.index)
        if state.touched or state.config_revision == entry.index:
            state.revision = entry.index
            self._deltas.note(entry.index, state.touched)
        return outcome

    def update_since(self, revision: int) -> TablesUpdate:
        """Return what changed after a revision, or a full copy."""
        return self._deltas.since(self.state, revision)

    def pack(self) -> bytes:
        """Return the state as bytes for a snapshot."""
        return pack_state(self.state)

    def load(self, packed: bytes) -> None:
        """Replace the state by one from a snapshot."""
        self.state = unpack_state(packed)
        self._deltas = Deltas(self.state.revision)
        self._tables = Tables()

    def _dispatch(self, command: object, index: int) -> CommandResult:
        state = self.state
        match command:
            case ChangeRequest():
                return apply_change(state, command, index)
            case AdmitMember():
                member = admit_member(state, command, index)
                recompute_views(state, index)
                return member
            case LeaveMember():
                leave_member(state, command)
                recompute_views(state, index)
            case RemoveMember():
                remove_member(state, command)
                recompute_views(state, index)
            case SettleView():
                settle_view(state, command)
            case StageReplacement():
                stage_replacement(state, command)
            case MarkZone():
                mark_zone(state, command)
        return None
