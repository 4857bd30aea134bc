"""An in-memory store, and keepers on a simulated network."""

import attrs

from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.placement.effects import (
    BucketStatus,
    Effect,
    Recorded,
    RecordRefused,
    Send,
)
from redwingstream.placement.keeper import BucketKeeper
from redwingstream.placement.messages import BucketContents
from redwingstream.requests.records import (
    LedgerEntry,
    RequestKey,
    RequestState,
)
from redwingstream.tables.rows import EarlierView, PoolView, ViewMember

POOL = 'sward-live'
HORIZON = 100
NEVER = 1e9


def member(
    host: str, incarnation: int, zone: str = 'carse', weight: int = 100
) -> ViewMember:
    """Return a member whose endpoint is its host name."""
    return ViewMember(host, incarnation, host, zone, weight)


def view(
    number: int, *members: ViewMember, after: PoolView | None = None
) -> PoolView:
    """Return a view; if `after` is given, that view is still unsettled."""
    unsettled: tuple[EarlierView, ...] = ()
    if after is not None:
        former = EarlierView(after.number, after.members)
        unsettled = (former, *after.unsettled)
    return PoolView(POOL, number, members, unsettled)


def view_with_pair(
    number: int, *order: ViewMember, after: PoolView | None = None
) -> PoolView:
    """Return a view whose first member is home and whose second is heir."""
    weights = (1_000_000_000_000, 1_000_000, 1)
    members = tuple(
        attrs.evolve(each, weight=weight)
        for each, weight in zip(order, weights, strict=False)
    )
    return view(number, *members, after=after)


def started(message_id: int, answer: bytes = b'') -> BucketContents:
    """Return contents with one request in the state STARTED."""
    key = RequestKey('10.0.0.1:4000', '10.9.0.1:5683', message_id, b't')
    entry = LedgerEntry(key, b'sum', RequestState.STARTED, answer)
    return BucketContents(entries=(entry,))


def flow(port: int, carrier: str, closed: bool = False) -> BucketContents:
    """Return contents with one established flow."""
    key = FlowKey(f'10.0.0.1:{port}', '10.9.0.1:5683')
    return BucketContents(flows=(FlowRecord(key, carrier, closed=closed),))


@attrs.define
class MemoryStore:
    """Contents by bucket and key; STARTED never replaces a final state."""

    entries_by_bucket: dict[int, dict[RequestKey, LedgerEntry]] = attrs.field(
        factory=dict
    )
    flows_by_bucket: dict[int, dict[FlowKey, FlowRecord]] = attrs.field(
        factory=dict
    )

    def export(self, bucket: int) -> BucketContents:
        """Return all contents of a bucket."""
        return BucketContents(
            tuple(self.entries_by_bucket.get(bucket, {}).values()),
            tuple(self.flows_by_bucket.get(bucket, {}).values()),
        )

    def merge(self, bucket: int, contents: BucketContents) -> None:
        """Add new contents; remove closed flows."""
        entry_by_key = self.entries_by_bucket.setdefault(bucket, {})
        for entry in contents.entries:
            known = entry_by_key.get(entry.key)
            if known is None or known.state is RequestState.STARTED:
                entry_by_key[entry.key] = entry
        flow_by_key = self.flows_by_bucket.setdefault(bucket, {})
        for record in contents.flows:
            if record.closed:
                flow_by_key.pop(record.key, None)
            else:
                flow_by_key[record.key] = record

    def delete_request(self, key: RequestKey) -> None:
        """Delete one request of bucket 0."""
        self.entries_by_bucket[0].pop(key)

    def drop(self, bucket: int) -> None:
        """Delete all contents of a bucket."""
        self.entries_by_bucket.pop(bucket, None)
        self.flows_by_bucket.pop(bucket, None)


@attrs.define
class Agent:
    """A keeper, its store and the effects that it has returned so far."""

    me: ViewMember
    buckets: int = 1
    store: MemoryStore = attrs.field(factory=MemoryStore)
    keeper: BucketKeeper = attrs.field(init=False)
    done: list[Effect] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the keeper of this incarnation."""
        self.keeper = BucketKeeper(
            self.me.host,
            self.me.incarnation,
            POOL,
            self.store,
            HORIZON,
            self.buckets,
        )


@attrs.define
class Network:
    """Delivers messages between agents in order, unless a host is cut off."""

    agent_by_host: dict[str, Agent] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)
    held: list[tuple[str, Send]] = attrs.field(factory=list)
    now: float = 0

    def join(self, me: ViewMember, buckets: int = 1) -> Agent:
        """Start an agent; it replaces the former one of its host."""
        agent = Agent(me, buckets)
        self.agent_by_host[me.host] = agent
        return agent

    def running(self) -> list[str]:
        """Return the hosts that are not cut off."""
        return [host for host in self.agent_by_host if host not in self.cut]

    def carry_out(self, agent: Agent, effects: list[Effect]) -> None:
        """Store effects and queue the messages that they send."""
        agent.done.extend(effects)
        for effect in effects:
            if isinstance(effect, Send):
                self.held.append((agent.me.endpoint, effect))

    def apply_view(self, committed: PoolView, *hosts: str) -> None:
        """Apply a view at these hosts, or at all that are not cut off."""
        for host in hosts or self.running():
            agent = self.agent_by_host[host]
            self.carry_out(agent, agent.keeper.apply_view(committed, self.now))

    def record(
        self, host: str, contents: BucketContents, give_up_at: float = NEVER
    ) -> int:
        """Record contents in bucket 0 and return the ticket."""
        agent = self.agent_by_host[host]
        ticket, effects = agent.keeper.record(0, contents, self.now, give_up_at)
        self.carry_out(agent, effects)
        return ticket

    def results(self, host: str) -> list[Effect]:
        """Return the outcomes of a host's records."""
        return [
            effect
            for effect in self.agent_by_host[host].done
            if isinstance(effect, Recorded | RecordRefused)
        ]

    def status(self, host: str) -> BucketStatus:
        """Return the status of bucket 0 at a host."""
        return self.agent_by_host[host].keeper.status(0)

    def holds(self, host: str) -> BucketContents:
        """Return the contents of bucket 0 at a host."""
        return self.agent_by_host[host].store.export(0)

    def sent_by(self, host: str, kind: type) -> list:
        """Return the messages of a class that a host has sent."""
        sent = (
            effect.message
            for effect in self.agent_by_host[host].done
            if isinstance(effect, Send)
        )
        return [each for each in sent if isinstance(each, kind)]

    def hand_over_first(self) -> None:
        """Deliver only the oldest message."""
        source, send = self.held.pop(0)
        if self.cut.isdisjoint((source, send.endpoint)):
            self._hand_over(source, send)

    def pop_held(self, kind: type) -> list[tuple[str, Send]]:
        """Remove and return the queued messages of a class."""
        found = [
            each for each in self.held if isinstance(each[1].message, kind)
        ]
        self.held = [each for each in self.held if each not in found]
        return found

    def deliver(self) -> None:
        """Deliver all messages, including those sent in reply."""
        while self.held:
            self.hand_over_first()

    def run(self, seconds: float, step: float = 0.05) -> None:
        """Advance time in steps for every agent that is not cut off."""
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for host in self.running():
                agent = self.agent_by_host[host]
                self.carry_out(agent, agent.keeper.tick(self.now))
            self.deliver()

    def _hand_over(self, source: str, send: Send) -> None:
        agent = self.agent_by_host[send.endpoint]
        effects = agent.keeper.on_message(send.message, self.now, source)
        self.carry_out(agent, effects)
