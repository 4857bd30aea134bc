"""All metric families that processes export, with their meaning.

A test checks that ``docs/metrics.md`` agrees with this module.
"""

import enum

import attrs

from redwingstream.telemetry.histogram import Histogram


class Kind(enum.StrEnum):
    """Type of a metric family, as Prometheus names it."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    HISTOGRAM = 'histogram'


@attrs.frozen
class Family:
    """A metric family: all series under one metric name.

    Parameters
    ----------
    name : str
        Name of the metric, without the prefix ``redwingstream_``.
    kind : Kind
        Type of the metric.
    meaning : str
        Help text for operators.
    """

    name: str
    kind: Kind
    meaning: str


@attrs.frozen
class Sample:
    """The current values of a metric family.

    Parameters
    ----------
    family : Family
        The family.
    value_by_label : dict
        Value of each series by its label ``what``; the label is empty if the
        family has a single series.  Empty for a histogram.
    histogram : Histogram or None
        The histogram, if the family is one.
    """

    family: Family
    value_by_label: dict[str, float] = attrs.field(factory=dict)
    histogram: Histogram | None = None


PACKETS = Family(
    'packets',
    Kind.COUNTER,
    'What became of packets and new flows; `what` names the decision.',
)
REFUSALS = Family(
    'refusals',
    Kind.COUNTER,
    'New flows refused at once, and packets dropped without an answer.',
)
LOG_LINES = Family(
    'log_lines',
    Kind.COUNTER,
    'Lines of the event log: written, left out over the budget of their kind, '
    'and lost because nobody read them.',
)
FLOWS = Family(
    'flows',
    Kind.GAUGE,
    'Flows that are known: hints of a balancer, packets that it keeps until it '
    'knows where to send them; flows at the server beside an '
    'agent, requests that it has not begun to answer, new flows that wait.',
)
LINK = Family(
    'link',
    Kind.COUNTER,
    'Bytes sent to agents over a link that carries uploads, urgent and bulk, '
    'with IP and UDP headers; bulk packets not sent as they were queued '
    'already, had waited too long, found the queue full or were aborted by '
    'their caller; new uploads admitted and refused.',
)
LINK_QUEUE = Family(
    'link_queue',
    Kind.GAUGE,
    'Bulk packets that wait for the link: bytes and packets, whether the link '
    'is full, uploads in progress and their limit.',
)
TABLES = Family(
    'tables',
    Kind.GAUGE,
    'Revision and version in force here, the newest revision that a control '
    'instance has named, routes, zones out, and seconds since the tables were '
    'last known to be the newest.',
)
AGENTS = Family(
    'agents',
    Kind.GAUGE,
    'Agents that are known, by what is known of them.',
)
SERVER = Family(
    'server',
    Kind.GAUGE,
    'The server beside an agent: its readiness (0 unknown, 1 ready, '
    '2 draining, 3 gone), whether it is cold, or in doubt since it fails '
    'requests, and seconds since its last report.',
)
REPLICA = Family(
    'replica',
    Kind.GAUGE,
    'The replica of a control instance: its term, whether it leads or counts, '
    'last accepted index, replicas that count and how many the tolerated '
    'losses need, seconds since its log was last known to be the newest.',
)
DELAYS = Family(
    'delays',
    Kind.COUNTER,
    'Pauses of more than half a second in which this process did not run.',
)
CALLS = Family(
    'calls',
    Kind.COUNTER,
    "HTTP requests of the readiness, report and operators' interfaces.",
)
LOST_FLOWS = Family(
    'lost_flows',
    Kind.COUNTER,
    'Notification of callers whose server has ended: snapshots and queries '
    'sent by an agent, snapshots of its earlier run taken, callers reset by '
    'reason; snapshots received by a control instance, queries answered, '
    'files written.',
)
FLOW_SNAPSHOTS = Family(
    'flow_snapshots',
    Kind.GAUGE,
    'Flows in the last snapshot of an agent, and whether it records them '
    'since it has seen a flow reused; snapshots kept by a control instance.',
)
OPENING_SECONDS = Family(
    'opening_to_answer_seconds',
    Kind.HISTOGRAM,
    'From the opening packet of a flow at its agent to the first data of the '
    'server.',
)
IN_FORCE_SECONDS = Family(
    'tables_in_force_seconds',
    Kind.HISTOGRAM,
    'From the moment a control instance had newer tables until they were in '
    'force in this process.',
)
SYNC_SECONDS = Family(
    'sync_seconds',
    Kind.HISTOGRAM,
    'How long a control instance waited for a sync of its disk.',
)
CHANGE_SECONDS = Family(
    'change_seconds',
    Kind.HISTOGRAM,
    'From a change at the leader until a majority had accepted it.',
)

FAMILIES = (
    PACKETS,
    REFUSALS,
    LOG_LINES,
    DELAYS,
    CALLS,
    FLOWS,
    LINK,
    LINK_QUEUE,
    TABLES,
    AGENTS,
    SERVER,
    REPLICA,
    LOST_FLOWS,
    FLOW_SNAPSHOTS,
    OPENING_SECONDS,
    IN_FORCE_SECONDS,
    SYNC_SECONDS,
    CHANGE_SECONDS,
)
"""All families, in the order of ``docs/metrics.md``."""


def counters_sample(family: Family, *counters: object) -> Sample:
    """Return a sample with one series for each field of the counters.

    Parameters
    ----------
    family : Family
        The family of the sample.
    counters
        Instances of ``attrs`` classes; the labels are their field names.

    Returns
    -------
    Sample
        The current values.
    """
    value_by_label: dict[str, float] = {}
    for counter_set in counters:
        value_by_label.update(attrs.asdict(counter_set))
    return Sample(family, value_by_label)
