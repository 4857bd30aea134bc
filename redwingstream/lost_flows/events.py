"""Log events of flows that were lost with their server."""

from redwingstream.eventlog.lines import event


@event
class FlowsReset:
    """The callers of flows that a server held when it ended were reset."""

    reason: str
    flows: int
    left_out: int


@event
class ServerAsked:
    """A later run of the server was asked which flows it holds."""

    flows: int


@event
class ServerSurvived:
    """The server of a snapshot still runs, so that no flow is reset."""

    flows: int
    born: int


@event
class SnapshotsRecalled:
    """The snapshots of this instance's last run were read from the disk."""

    snapshots: int


@event
class SnapshotsFailed:
    """The file of snapshots could not be read or written."""

    action: str
    error: str
