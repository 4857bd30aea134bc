"""Which flows of a server are recorded or reset, and their encoding.

A flow takes 14 bytes before compression: the caller's IPv4 address and port,
those of the service, and the upper half of the caller's last acknowledgement
number.  The lower half is not needed, see :data:`ACKNOWLEDGED_UNIT`.
"""

import struct
import zlib
from collections.abc import Iterable

import attrs

from redwingstream.errors import WireError
from redwingstream.openings.reports import NOT_STATED
from redwingstream.packets.agent_flows import CarriedFlow, FlowState
from redwingstream.packets.flow import (
    Address,
    FlowId,
    Head,
    caller_of,
    flow_of,
    service_of,
)

MAX_FLOWS = 2000
"""Maximum number of flows in a snapshot: as many as a server holds.  They take
28,000 bytes before compression, so that a snapshot fits one frame of 60,000."""

CONFIRMED_AFTER = 0.5
"""Seconds before a report of a server's run within which a flow is not yet
attributed to that run.  After a freeze, an agent handles the packets and
reports that have waited within a fraction of a second, in any order, and a flow
that it opens then may be held by the next run."""

ACKNOWLEDGED_UNIT = 0x10000
"""Unit in which acknowledgement numbers are recorded.  A caller accepts a reset
within 76,800 of its acknowledgement number; rounding moves it by at most
32,768, and a server has at most 19,200 in flight."""

_HALF_UNIT = ACKNOWLEDGED_UNIT // 2
_UNIT_BITS = 16
_UNIT_MASK = 0xFFFF
_LOW_MASK = 0xFFFFFFFF
_LOW_BITS = 32
_ROW = struct.Struct('>HIHIH')
_MAX_PACKED = MAX_FLOWS * _ROW.size


@attrs.frozen
class RecordedFlow:
    """A flow that a server holds.

    Parameters
    ----------
    flow : FlowId
        The flow.
    acknowledged : int
        Last acknowledgement number of its caller.
    """

    flow: FlowId
    acknowledged: int

    @property
    def rounded(self) -> 'RecordedFlow':
        """The flow with its acknowledgement number as it is recorded."""
        unit = (self.acknowledged + _HALF_UNIT) >> _UNIT_BITS & _UNIT_MASK
        return RecordedFlow(self.flow, unit << _UNIT_BITS)

    def head(self) -> Head:
        """Return the header of a caller's packet, which a reset answers."""
        return Head(
            caller_of(self.flow),
            service_of(self.flow),
            sequence=0,
            acknowledged=self.acknowledged,
            ticket=0,
            size=0,
            is_opening=False,
            is_accepting=False,
            is_end=False,
            is_reset=False,
            is_returned=False,
        )


def is_later_run(born: int, earlier_born: int) -> bool:
    """Whether a server's run has replaced an earlier one.

    A run that started before the recorded one proves nothing: its report may
    have been delayed.  Neither does a run whose start is not stated.
    """
    return NOT_STATED < earlier_born < born


def flows_held(
    carried_flows: Iterable[CarriedFlow], opened_before: float
) -> list[RecordedFlow]:
    """Return the established flows that a server holds.

    Parameters
    ----------
    carried_flows : iterable of CarriedFlow
        Flows of the server.
    opened_before : float
        Time in seconds, by the event loop's clock; a flow that was opened later
        may be held by another run of the server and is left out.
    """
    return [
        RecordedFlow(carried.flow, carried.acknowledged)
        for carried in carried_flows
        if carried.state is FlowState.ESTABLISHED
        and not carried.is_ending
        and carried.acknowledged is not None
        and carried.opened_at < opened_before
    ]


def pack_flows(recorded: Iterable[RecordedFlow]) -> bytes:
    """Return flows as compressed rows, sorted so that they compress well."""
    rows = (_to_row(one.rounded) for one in recorded)
    return zlib.compress(b''.join(sorted(rows)), 1)


def unpack_flows(packed: bytes) -> tuple[RecordedFlow, ...]:
    """Decode flows.

    Raises
    ------
    WireError
        When the bytes are not valid output of :func:`pack_flows`.
    """
    try:
        unpacked = zlib.decompressobj().decompress(packed, _MAX_PACKED)
        rows = tuple(_ROW.iter_unpack(unpacked))
    except (zlib.error, struct.error) as error:
        raise WireError(
            f'flows of {len(packed)} bytes cannot be read: {error}'
        ) from error
    return tuple(_from_row(*row) for row in rows)


def _to_row(recorded: RecordedFlow) -> bytes:
    service = service_of(recorded.flow)
    caller = caller_of(recorded.flow)
    return _ROW.pack(
        service >> _LOW_BITS,
        service & _LOW_MASK,
        caller >> _LOW_BITS,
        caller & _LOW_MASK,
        recorded.acknowledged >> _UNIT_BITS,
    )


def _from_row(
    service_high: int,
    service_low: int,
    caller_high: int,
    caller_low: int,
    unit: int,
) -> RecordedFlow:
    service = Address(service_high << _LOW_BITS | service_low)
    caller = Address(caller_high << _LOW_BITS | caller_low)
    return RecordedFlow(flow_of(caller, service), unit << _UNIT_BITS)
