"""Replacement of the whole configuration; the highest version applies.

Operators can also edit single rows
(:mod:`redwingstream.tables.machine.changes`).  A replacement needs no request
id: sending it twice has no further effect, and an older version never takes
effect.
"""

import hashlib
import logging
import zlib

import attrs
import msgspec

from redwingstream.tables.machine.messages import (
    MarkZone,
    Replacement,
    StageReplacement,
)
from redwingstream.tables.machine.state import (
    MachineState,
    StagedPart,
    StagedReplacement,
)
from redwingstream.tables.messages import Table
from redwingstream.tables.rows import (
    MAX_EARLIER_POOLS,
    Pool,
    Route,
    Row,
    ZoneMark,
)

_logger = logging.getLogger(__name__)

# Bytes of a part.  An entry of this size leaves space for other entries in the
# messages between replicas, which have at most 16 KiB.
PART_SIZE = 12288
# Maximum number of incomplete replacements; an operator has up to eight in
# progress.
MAX_STAGED_REPLACEMENTS = 16
_DIGEST_SIZE = 16


def split_replacement(
    replacement: Replacement,
) -> tuple[StageReplacement, ...]:
    """Return the commands that transmit a replacement, in order."""
    packed = zlib.compress(msgspec.msgpack.encode(replacement))
    digest = _digest(packed)
    starts = range(0, len(packed), PART_SIZE)
    return tuple(
        StageReplacement(
            digest, part, len(starts), packed[start : start + PART_SIZE]
        )
        for part, start in enumerate(starts)
    )


def stage_replacement(state: MachineState, command: StageReplacement) -> None:
    """Store a part; apply the replacement once it is complete."""
    known = state.staged_by_digest.pop(command.digest, None)
    parts = (
        {}
        if known is None
        else {staged_part.part: staged_part for staged_part in known.parts}
    )
    parts[command.part] = StagedPart(command.part, command.contents)
    in_order = tuple(staged_part for _, staged_part in sorted(parts.items()))
    if len(in_order) < command.parts:
        staged = StagedReplacement(command.digest, in_order)
        state.staged_by_digest[command.digest] = staged
        _evict_oldest(state)
        return
    packed = b''.join(staged_part.contents for staged_part in in_order)
    if _digest(packed) == command.digest:
        _apply_replacement(state, _unpack(packed))
        return
    _logger.error(
        'tables: parts of a replacement do not match its digest, all dropped.'
    )


def mark_zone(state: MachineState, command: MarkZone) -> None:
    """Take an availability zone out of service or put it back."""
    mark = ZoneMark(command.zone, command.out)
    state.put(Table.ZONE, mark.key, mark)


def _evict_oldest(state: MachineState) -> None:
    # If the leader fails in the middle of a transfer, the operator sends the
    # whole replacement again.  Parts of the first attempt may never be
    # completed and would be kept forever.
    while len(state.staged_by_digest) > MAX_STAGED_REPLACEMENTS:
        state.staged_by_digest.popitem(last=False)


def _unpack(packed: bytes) -> Replacement:
    return msgspec.msgpack.decode(zlib.decompress(packed), type=Replacement)


def _apply_replacement(state: MachineState, replacement: Replacement) -> None:
    current = state.generation
    generation = replacement.generation
    if current is not None and generation.version <= current.version:
        return
    routes = [_with_earlier_pools(state, route) for route in replacement.routes]
    _replace_rows(state, Table.ROUTE, routes)
    _replace_rows(state, Table.POOL, replacement.pools)
    state.put(Table.GENERATION, generation.key, generation)
    state.document = replacement.document


def _with_earlier_pools(state: MachineState, route: Route) -> Route:
    former = state.route_by_key.get(route.key)
    if former is None:
        return route
    names = dict.fromkeys((*former.pools, *former.rules.earlier))
    earlier = [name for name in names if name not in route.pools]
    kept = tuple(earlier[:MAX_EARLIER_POOLS])
    return attrs.evolve(route, flows=attrs.evolve(route.rules, earlier=kept))


def _replace_rows(
    state: MachineState, table: Table, rows: list[Route] | tuple[Pool, ...]
) -> None:
    row_by_key: dict[str, Row] = {row.key: row for row in rows}
    for key in state.rows_of(table).keys() - row_by_key.keys():
        state.drop(table, key)
    for key, row in row_by_key.items():
        state.put(table, key, row)


def _digest(packed: bytes) -> bytes:
    return hashlib.blake2b(packed, digest_size=_DIGEST_SIZE).digest()
