"""Whole configurations of which the highest version wins.

The other kind of change is the operators' edit of single rows
(:mod:`redwingstream.tables.machine.changes`).  A replacement needs no request
id: to send it twice changes nothing, and an older one never takes effect.
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

# Bytes of a part: an entry of this size leaves room for others in one message
# of 16 KiB between replicas.
PART_SIZE = 12288
# Replacements of which parts are missing; an operator has eight under way.
MAX_STAGED = 16
_DIGEST_SIZE = 16


def split_replacement(
    replacement: Replacement,
) -> tuple[StageReplacement, ...]:
    """Return the commands that carry a replacement, in order."""
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
    """Keep a part; put the whole into force once it is complete."""
    known = state.staged_by_digest.pop(command.digest, None)
    parts = {} if known is None else {held.part: held for held in known.parts}
    parts[command.part] = StagedPart(command.part, command.contents)
    in_order = tuple(held for _, held in sorted(parts.items()))
    if len(in_order) < command.parts:
        staged = StagedReplacement(command.digest, in_order)
        state.staged_by_digest[command.digest] = staged
        _forget_oldest(state)
        return
    packed = b''.join(held.contents for held in in_order)
    if _digest(packed) == command.digest:
        _put_into_force(state, _unpack(packed))
        return
    _logger.error('tables: parts of a replacement do not fit, all dropped.')


def mark_zone(state: MachineState, command: MarkZone) -> None:
    """Take an availability zone out of service or back in."""
    mark = ZoneMark(command.zone, command.out)
    state.put(Table.ZONE, mark.key, mark)


def _forget_oldest(state: MachineState) -> None:
    # An operator whose leader was lost half-way sends the whole again, and the
    # parts of the first attempt would stay for ever.
    while len(state.staged_by_digest) > MAX_STAGED:
        state.staged_by_digest.popitem(last=False)


def _unpack(packed: bytes) -> Replacement:
    return msgspec.msgpack.decode(zlib.decompress(packed), type=Replacement)


def _put_into_force(state: MachineState, replacement: Replacement) -> None:
    current = state.generation
    generation = replacement.generation
    if current is not None and generation.version <= current.version:
        return
    routes = [_with_earlier(state, route) for route in replacement.routes]
    _replace_rows(state, Table.ROUTE, routes)
    _replace_rows(state, Table.POOL, replacement.pools)
    state.put(Table.GENERATION, generation.key, generation)
    state.document = replacement.document


def _with_earlier(state: MachineState, route: Route) -> Route:
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
