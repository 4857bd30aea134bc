"""Application of the entries of the replicated log, in order."""

from redwingstream.consensus.messages import Entry
from redwingstream.tables.edits import (
    ChangeAnswer,
    ChangeRequest,
)
from redwingstream.tables.machine.changes import apply_change
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
from redwingstream.tables.machine.recent_changes import RecentChanges
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
    """Replicated state; equal entries lead to equal states on all replicas.

    Notes
    -----
    Nothing here depends on time, randomness or the iteration order of sets:
    replicas whose states differ would give different answers after a change of
    leader.
    """

    def __init__(self) -> None:
        self.state = MachineState()
        self._recent_changes = RecentChanges(0)
        self._tables = Tables()

    @property
    def tables(self) -> Tables:
        """Immutable copy of the tables, created once per revision."""
        if self._tables.revision != self.state.revision:
            self._tables = self.state.tables()
        return self._tables

    def apply(self, entry: Entry) -> CommandResult:
        """Apply the next entry.

        Parameters
        ----------
        entry : Entry
            The committed entry that follows the last one applied.

        Returns
        -------
        ChangeAnswer, Member or None
            The answer to a change by operators, the admitted member, or None
            for all other commands.
        """
        state = self.state
        state.changed_rows = []
        command = messages.decode(entry.kind, entry.body)
        outcome = self._dispatch(command, entry.index)
        if state.changed_rows or state.config_revision == entry.index:
            state.revision = entry.index
            self._recent_changes.record_revision(
                entry.index, state.changed_rows
            )
        return outcome

    def update_since(self, revision: int) -> TablesUpdate:
        """Return the changes after a revision, or a full copy."""
        return self._recent_changes.update_since(self.state, revision)

    def pack(self) -> bytes:
        """Return the state as bytes for a snapshot."""
        return pack_state(self.state)

    def load(self, packed: bytes) -> None:
        """Replace the state by the one of a snapshot."""
        self.state = unpack_state(packed)
        self._recent_changes = RecentChanges(self.state.revision)
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
