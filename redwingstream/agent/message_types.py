"""Classes of messages that an agent accepts from other processes."""

from redwingstream.forwarding.messages import (
    Assigned,
    CarriedFeeds,
    FeedEnd,
    FeedMove,
    FeedMoved,
    LoadReport,
    Packet,
    RunOutcome,
    TakeFeed,
)
from redwingstream.placement.keeper import KeeperMessage
from redwingstream.placement.messages import (
    BucketGiven,
    Record,
    RecordAck,
    TakeBucket,
)

AgentMessage = (
    Packet
    | Assigned
    | RunOutcome
    | LoadReport
    | FeedMove
    | FeedMoved
    | FeedEnd
    | TakeFeed
    | CarriedFeeds
    | KeeperMessage
)

AGENT_MESSAGES = (
    Packet,
    Assigned,
    RunOutcome,
    LoadReport,
    FeedMove,
    FeedMoved,
    FeedEnd,
    TakeFeed,
    CarriedFeeds,
    Record,
    RecordAck,
    TakeBucket,
    BucketGiven,
)
