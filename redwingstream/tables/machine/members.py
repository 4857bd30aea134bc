"""Admission, leaving and removal of members."""

import attrs

from redwingstream.tables.machine.messages import (
    AdmitMember,
    LeaveMember,
    RemoveMember,
)
from redwingstream.tables.machine.state import MachineState
from redwingstream.tables.messages import Table
from redwingstream.tables.rows import Member


def admit_member(
    state: MachineState, command: AdmitMember, index: int
) -> Member:
    """Admit a run of a process, with the entry's index as its incarnation.

    Notes
    -----
    The same run gets the same incarnation again, since its announcement is
    repeated if the answer is lost.  Another run of the host always gets a
    higher one, so that delayed messages of the former run can be recognized.

    A host that operators drain keeps draining in its next run.  If draining
    were an attribute of the run, a restart or an expired lease would undo an
    accepted change.
    """
    known = state.member_by_host.get(command.host)
    if known is not None and known.boot == command.boot:
        return known
    member = Member(
        host=command.host,
        role=command.role,
        incarnation=index,
        boot=command.boot,
        endpoint=command.endpoint,
        zone=command.zone,
        pool=command.pool,
        weight=command.weight,
        draining=command.host in state.drained_hosts,
    )
    state.put(Table.MEMBER, command.host, member)
    return member


def leave_member(state: MachineState, command: LeaveMember) -> None:
    """Set a member to draining: it leaves the views but stays a member."""
    known = state.member_by_host.get(command.host)
    if known is not None and known.incarnation == command.incarnation:
        drained = attrs.evolve(known, draining=True)
        state.put(Table.MEMBER, command.host, drained)


def remove_member(state: MachineState, command: RemoveMember) -> None:
    """Remove a silent member, unless a later run has replaced it."""
    known = state.member_by_host.get(command.host)
    if known is not None and known.incarnation == command.incarnation:
        state.drop(Table.MEMBER, command.host)
