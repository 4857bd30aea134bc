"""The replicated state and its serialization for snapshots."""

from collections import OrderedDict
from typing import Any

import attrs
import msgspec

from redwingstream.tables.edits import (
    ChangeAnswer,
)
from redwingstream.tables.messages import (
    RowName,
    Table,
    TablesUpdate,
)
from redwingstream.tables.rows import (
    Generation,
    Member,
    Pool,
    PoolView,
    Route,
    Row,
    ZoneMark,
)
from redwingstream.tables.snapshot import Tables

# Maximum number of answers to operators that are kept for retries.
MAX_ANSWERS = 1024


@attrs.frozen
class RememberedAnswer:
    """First answer to a request of an operator.

    Parameters
    ----------
    request_id : str
        Id that the operator's tool chose for the request.
    digest : bytes
        Digest of the request.
    answer : ChangeAnswer
        Answer that the operator was sent.
    """

    request_id: str
    digest: bytes
    answer: ChangeAnswer


@attrs.frozen
class StagedPart:
    """Part of a replacement that has arrived."""

    part: int
    contents: bytes


@attrs.frozen
class StagedReplacement:
    """Parts of an incomplete replacement.

    Parameters
    ----------
    digest : bytes
        Digest of the whole replacement.
    parts : tuple of StagedPart
        Parts that have arrived, in the order of their numbers.
    """

    digest: bytes
    parts: tuple[StagedPart, ...]


@attrs.frozen
class StoredState:
    """Serialized form of the state in a snapshot."""

    config_revision: int
    tables: TablesUpdate
    answers: tuple[RememberedAnswer, ...]
    drained_hosts: tuple[str, ...] = ()
    document: bytes = b''
    staged: tuple[StagedReplacement, ...] = ()


@attrs.define
class MachineState:
    """The state that log entries change.

    Parameters
    ----------
    revision : int
        Index of the last entry that changed a row.
    config_revision : int
        Index of the last change by operators that was accepted.
    route_by_key, pool_by_name, zone_by_name, member_by_host, view_by_pool
        Rows of each table by their keys.
    answer_by_request : OrderedDict
        Answers to operators by request id, oldest first.
    drained_hosts : set of str
        Hosts that operators drain, whether they are currently members or not.
    generation_by_key : dict
        Version of the whole configuration, where operators replace it.
    document : bytes
        The whole configuration as operators wrote it.
    staged_by_digest : OrderedDict
        Incomplete replacements, oldest first.
    changed_rows : list of RowName
        Rows that the current entry has changed.
    """

    revision: int = 0
    config_revision: int = 0
    route_by_key: dict[str, Route] = attrs.field(factory=dict)
    pool_by_name: dict[str, Pool] = attrs.field(factory=dict)
    zone_by_name: dict[str, ZoneMark] = attrs.field(factory=dict)
    member_by_host: dict[str, Member] = attrs.field(factory=dict)
    view_by_pool: dict[str, PoolView] = attrs.field(factory=dict)
    answer_by_request: OrderedDict[str, RememberedAnswer] = attrs.field(
        factory=OrderedDict
    )
    drained_hosts: set[str] = attrs.field(factory=set)
    generation_by_key: dict[str, Generation] = attrs.field(factory=dict)
    document: bytes = b''
    staged_by_digest: OrderedDict[bytes, StagedReplacement] = attrs.field(
        factory=OrderedDict
    )
    changed_rows: list[RowName] = attrs.field(factory=list)

    def rows_of(self, table: Table) -> dict[str, Row]:
        """Return the rows of a table by their keys."""
        rows_by_table: dict[Table, dict[str, Any]] = {
            Table.ROUTE: self.route_by_key,
            Table.POOL: self.pool_by_name,
            Table.ZONE: self.zone_by_name,
            Table.MEMBER: self.member_by_host,
            Table.VIEW: self.view_by_pool,
            Table.GENERATION: self.generation_by_key,
        }
        return rows_by_table[table]

    def put(self, table: Table, key: str, row: Row) -> None:
        """Set a row, and record it as changed if it differs."""
        rows = self.rows_of(table)
        if rows.get(key) != row:
            rows[key] = row
            self.changed_rows.append(RowName(table, key))

    def drop(self, table: Table, key: str) -> None:
        """Remove a row, and record it as changed if it existed."""
        if self.rows_of(table).pop(key, None) is not None:
            self.changed_rows.append(RowName(table, key))

    @property
    def generation(self) -> Generation | None:
        """Current version of the configuration; None before the first one."""
        return next(iter(self.generation_by_key.values()), None)

    def is_zone_out(self, zone: str) -> bool:
        """Whether operators have taken a zone out of service."""
        mark = self.zone_by_name.get(zone)
        return mark is not None and mark.out

    def record_answer(self, remembered: RememberedAnswer) -> None:
        """Store an answer for retries of its request.

        Notes
        -----
        The oldest answers beyond ``MAX_ANSWERS`` are evicted.  A later retry
        is handled as a new request; its ``based_on`` is outdated by then, so
        that it gets a conflict and is never applied a second time.
        """
        self.answer_by_request[remembered.request_id] = remembered
        while len(self.answer_by_request) > MAX_ANSWERS:
            self.answer_by_request.popitem(last=False)

    def tables(self) -> Tables:
        """Return an immutable copy of the tables."""
        return Tables(
            revision=self.revision,
            route_by_key=dict(self.route_by_key),
            pool_by_name=dict(self.pool_by_name),
            zone_by_name=dict(self.zone_by_name),
            member_by_host=dict(self.member_by_host),
            view_by_pool=dict(self.view_by_pool),
            generation_by_key=dict(self.generation_by_key),
        )


def pack_state(state: MachineState) -> bytes:
    """Serialize the state for a snapshot."""
    return msgspec.msgpack.encode(
        StoredState(
            state.config_revision,
            state.tables().as_update(),
            tuple(state.answer_by_request.values()),
            tuple(sorted(state.drained_hosts)),
            state.document,
            tuple(state.staged_by_digest.values()),
        ),
    )


def unpack_state(packed: bytes) -> MachineState:
    """Deserialize a state; empty bytes give the initial state."""
    if not packed:
        return MachineState()
    stored = msgspec.msgpack.decode(packed, type=StoredState)
    rows = Tables().updated(stored.tables)
    return MachineState(
        revision=stored.tables.revision,
        config_revision=stored.config_revision,
        route_by_key=dict(rows.route_by_key),
        pool_by_name=dict(rows.pool_by_name),
        zone_by_name=dict(rows.zone_by_name),
        member_by_host=dict(rows.member_by_host),
        view_by_pool=dict(rows.view_by_pool),
        answer_by_request=OrderedDict(
            (answer.request_id, answer) for answer in stored.answers
        ),
        drained_hosts=set(stored.drained_hosts),
        generation_by_key=dict(rows.generation_by_key),
        document=stored.document,
        staged_by_digest=OrderedDict(
            (staged.digest, staged) for staged in stored.staged
        ),
    )
