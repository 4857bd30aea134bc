"""Changes by operators: conflicts, retries and effects on pools in use."""

import copy
import hashlib

import attrs

from redwingstream.errors import ChangeRefusedError, ResultCode
from redwingstream.tables.edits import (
    ChangeAnswer,
    ChangeRequest,
    DrainMember,
    Edit,
    RemoveRow,
    SetPool,
    SetRoute,
    SetZone,
)
from redwingstream.tables.machine.checks import (
    check_edit,
    emptied_pools,
    missing_pools,
)
from redwingstream.tables.machine.state import (
    MachineState,
    RememberedAnswer,
)
from redwingstream.tables.machine.views import recompute_views
from redwingstream.tables.messages import (
    Table,
)
from redwingstream.wire import messages

_DIGEST_SIZE = 16
_FORCE_HINT = '; force the change if that is wanted'


def apply_change(
    state: MachineState, request: ChangeRequest, index: int
) -> ChangeAnswer:
    """Accept or refuse a change; a retry gets the first answer.

    Parameters
    ----------
    state : MachineState
        Replicated state, updated in place.
    request : ChangeRequest
        The change.
    index : int
        Index of its log entry.

    Notes
    -----
    If two operators send changes based on the same revision, the first one in
    the log is accepted and increases the configuration revision, so that the
    second one conflicts.  The request ids are part of the replicated state, so
    that an operator whose answer was lost can retry with any later leader.
    """
    digest = _digest(request)
    known = state.answer_by_request.get(request.request_id)
    if known is None:
        answer = _answer_for(state, request, index)
        remembered = RememberedAnswer(request.request_id, digest, answer)
        state.record_answer(remembered)
        return answer
    if known.digest == digest:
        return known.answer
    return ChangeAnswer(
        ResultCode.REQUEST_ID_REUSED,
        f'request id {request.request_id!r} was used for another change; '
        'choose a new one',
        state.config_revision,
    )


def _answer_for(
    state: MachineState, request: ChangeRequest, index: int
) -> ChangeAnswer:
    if request.based_on != state.config_revision:
        return ChangeAnswer(
            ResultCode.CONFLICT,
            f'the change is based on revision {request.based_on}, but the '
            f'configuration is at {state.config_revision}: another change '
            'came first; look at it and send yours again based on that one',
            state.config_revision,
        )
    trial = _copy_state(state)
    try:
        warnings = _apply_edits(trial, request, index, state)
    except ChangeRefusedError as error:
        return ChangeAnswer(error.code, str(error), state.config_revision)
    _commit(state, trial, index)
    return ChangeAnswer(ResultCode.OK, '', index, warnings)


def _apply_edits(
    trial: MachineState,
    request: ChangeRequest,
    index: int,
    before: MachineState,
) -> tuple[str, ...]:
    for edit in request.edits.in_order():
        check_edit(trial, edit)
        _apply_edit(trial, edit)
    recompute_views(trial, index)
    missing = tuple(missing_pools(before, trial))
    emptied = tuple(emptied_pools(before, trial))
    if missing and not request.force:
        text = '; '.join(missing) + _FORCE_HINT
        raise ChangeRefusedError(text, ResultCode.MISSING_POOL)
    if emptied and not request.force:
        text = '; '.join(emptied) + _FORCE_HINT
        raise ChangeRefusedError(text, ResultCode.POOL_IN_USE)
    return missing + emptied


def _apply_edit(state: MachineState, edit: Edit) -> None:
    match edit:
        case SetRoute(row=row):
            state.put(Table.ROUTE, row.key, row)
        case SetPool(row=row):
            state.put(Table.POOL, row.name, row)
        case SetZone(row=row):
            state.put(Table.ZONE, row.zone, row)
        case RemoveRow(row=name):
            state.drop(name.table, name.key)
        case DrainMember(host=host, draining=draining):
            _mark_drained(state, host, draining=draining)


def _mark_drained(state: MachineState, host: str, *, draining: bool) -> None:
    if draining:
        state.drained_hosts.add(host)
    else:
        state.drained_hosts.discard(host)
    member = state.member_by_host.get(host)
    if member is not None:
        changed = attrs.evolve(member, draining=draining)
        state.put(Table.MEMBER, host, changed)


def _copy_state(state: MachineState) -> MachineState:
    trial = copy.copy(state)
    trial.route_by_key = dict(state.route_by_key)
    trial.pool_by_name = dict(state.pool_by_name)
    trial.zone_by_name = dict(state.zone_by_name)
    trial.member_by_host = dict(state.member_by_host)
    trial.view_by_pool = dict(state.view_by_pool)
    trial.drained_hosts = set(state.drained_hosts)
    trial.changed_rows = list(state.changed_rows)
    return trial


def _commit(state: MachineState, trial: MachineState, index: int) -> None:
    state.route_by_key = trial.route_by_key
    state.pool_by_name = trial.pool_by_name
    state.zone_by_name = trial.zone_by_name
    state.member_by_host = trial.member_by_host
    state.view_by_pool = trial.view_by_pool
    state.drained_hosts = trial.drained_hosts
    state.changed_rows = trial.changed_rows
    state.config_revision = index


def _digest(request: ChangeRequest) -> bytes:
    body = messages.encode(request)[1]
    return hashlib.blake2b(body, digest_size=_DIGEST_SIZE).digest()
