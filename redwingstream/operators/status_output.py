"""Formats the status of processes and explanations as text for people."""

from redwingstream.operators.columns import columns
from redwingstream.operators.explain import Explanation
from redwingstream.operators.overview import Overview, ProcessStatus

UNKNOWN = '?'
"""Shown for a value that the tool could not find out."""

NOTHING = '-'
"""Shown for a value that does not exist."""

_STATUS_HEADINGS = (
    'ROLE',
    'HOST',
    'ZONE',
    'POOL',
    'WEIGHT',
    'IN FLIGHT',
    'LIMIT',
    'FLOWS',
    'REVISION',
    'STATE',
)


def overview_lines(overview: Overview) -> list[str]:
    """Return a summary and the status of all processes in columns."""
    zones = ', '.join(overview.zones_out) or 'none'
    lagging = sum(process.lags for process in overview.processes)
    return [
        f'revision of the last change: {overview.config_revision}',
        f'zones out of service: {zones}',
        f'processes that lag or are silent: {lagging}',
        *columns(_STATUS_HEADINGS, map(_status_row, overview.processes)),
    ]


def explanation_lines(explanation: Explanation) -> list[str]:
    """Return an explanation as lines of text, one reason per line."""
    result = explanation.code.name.lower()
    return [
        f'caller   {explanation.caller}',
        f'service  {explanation.service}',
        f'result   {result}',
        f'route    {explanation.route or NOTHING}',
        f'pool     {explanation.pool or NOTHING}',
        f'bucket   {_number_text(explanation.bucket, NOTHING)}',
        f'home     {explanation.home or NOTHING}',
        f'heir     {explanation.heir or NOTHING}',
        *(f'because  {reason}' for reason in explanation.reasons),
    ]


def _status_row(process: ProcessStatus) -> list[str]:
    vitals = process.vitals
    return [
        process.role,
        *_identity_cells(process),
        _number_text(vitals.in_flight, NOTHING),
        _number_text(vitals.limit, NOTHING),
        _number_text(vitals.flows, NOTHING),
        _number_text(process.revision, UNKNOWN),
        _state_text(process),
    ]


def _identity_cells(process: ProcessStatus) -> list[str]:
    member = process.member
    if member is None:
        host = process.vitals.host or process.endpoint
        return [host, process.vitals.zone or UNKNOWN, NOTHING, NOTHING]
    pool = member.pool or NOTHING
    return [member.host, member.zone, pool, str(member.weight)]


def _state_text(process: ProcessStatus) -> str:
    if process.revision is None:
        return 'silent'
    if process.lags:
        return 'lags'
    if process.member is not None and process.member.draining:
        return 'draining'
    consensus = process.vitals.consensus
    role = consensus.role if consensus else ''
    return f'in force, {role}' if role else 'in force'


def _number_text(number: int | None, absent: str) -> str:
    return absent if number is None else str(number)
