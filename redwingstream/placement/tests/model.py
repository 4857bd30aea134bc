"""Model of control and of failing agents, for one pool and a few buckets.

The model records what no single process knows: how often each request ran,
which flows were accepted, and in which buckets home and heir were both lost.
The properties are checked except where the protocol cannot guarantee them.
"""

from collections.abc import Iterable
from types import MappingProxyType

import attrs

from redwingstream.placement.effects import (
    BucketInEffect,
    Effect,
    InEffect,
    Recorded,
    RecordRefused,
    Send,
)
from redwingstream.placement.messages import BucketContents
from redwingstream.placement.rendezvous import Pair, pair_of
from redwingstream.placement.tests.fakes import (
    HORIZON,
    POOL,
    Agent,
    flow,
    member,
    started,
)
from redwingstream.tables.rows import EarlierView, PoolView, ViewMember

ZONE_BY_HOST = MappingProxyType(
    {'a': 'carse', 'b': 'carse', 'c': 'fife-north', 'd': 'strathmore'}
)
BUCKETS = 1
CALLER_TIMEOUT = 60.0
TICK = 0.25
# Two entries fill a part, so that a takeover needs several parts.
ENTRY_BYTES = 20000


@attrs.define
class Run:
    """One incarnation of an agent and its unfinished records."""

    agent: Agent
    frozen: bool = False
    settled_view: int = 0
    contents_by_ticket: dict[int, BucketContents] = attrs.field(factory=dict)

    def holds_flow(self, port: int) -> bool:
        """Whether the store of this incarnation has a flow."""
        kept = self.agent.store.export(port % BUCKETS)
        return flow(port, 'carrier').flows[0] in kept.flows


@attrs.define
class MessageInTransit:
    """A message that was sent and not yet delivered."""

    source: str
    send: Send


class FakeControl:
    """Commits views of one pool and tracks the unsettled ones."""

    def __init__(self) -> None:
        self.number = 0
        self.views: list[PoolView] = []
        self.admitted_by_host: dict[str, int] = {}
        self.members_by_number: dict[int, tuple[ViewMember, ...]] = {}
        self.replaced_at_by_number: dict[int, float] = {}

    def admit(self, host: str) -> ViewMember:
        """Admit a new incarnation of a host."""
        self.number += 1
        self.admitted_by_host[host] = self.number
        return self._member(host)

    def commit(self, hosts: set[str], now: float) -> None:
        """Commit a view with the last admitted incarnations of these hosts."""
        self.number += 1
        members = tuple(map(self._member, sorted(hosts)))
        unsettled: tuple[EarlierView, ...] = ()
        if self.views:
            last = self.views[-1]
            self.replaced_at_by_number[last.number] = now
            former = EarlierView(last.number, last.members)
            unsettled = (former, *last.unsettled)
        self.members_by_number[self.number] = members
        self.views.append(PoolView(POOL, self.number, members, unsettled))

    def settle(self, settled_by_member: dict[ViewMember, int]) -> None:
        """Commit the newest view as settled if all members reported it."""
        last = self.views[-1]
        reported = (settled_by_member.get(each, 0) for each in last.members)
        if last.members and min(reported) >= last.number:
            self.views.append(attrs.evolve(last, unsettled=()))

    def pair(self, number: int, bucket: int) -> Pair:
        """Return home and heir in a committed view."""
        return pair_of(self.members_by_number[number], POOL, bucket)

    def newest_pair(self, bucket: int) -> Pair:
        """Return home and heir in the newest view."""
        return self.pair(self.views[-1].number, bucket)

    def _member(self, host: str) -> ViewMember:
        run = self.admitted_by_host[host]
        return member(host, run, ZONE_BY_HOST[host])


class Account:
    """How often each request ran, and which losses cannot be prevented."""

    def __init__(self, control: FakeControl) -> None:
        self.ran: dict[int, int] = {}
        self.flows: set[int] = set()
        self._control = control
        self._lost_buckets: set[int] = set()
        self._cut_off_buckets: set[int] = set()
        self._exempt_requests: set[int] = set()

    def take_effect(self, contents: BucketContents) -> None:
        """Count the requests and flows of recorded contents."""
        for entry in contents.entries:
            key = entry.key.message_id
            self.ran[key] = self.ran.get(key, 0) + 1
        for record in contents.flows:
            self.flows.add(int(record.key.caller.partition(':')[2]))

    def give_up(
        self, bucket: int, number: int, silent_by_run: dict, now: float
    ) -> None:
        """Exempt requests and flows of a bucket whose pair was given up.

        A pair may be given up only when neither agent can answer.  If both have
        ended, earlier requests may run again; if one is frozen or cut off, it
        may continue later, which no protocol can prevent.
        """
        assert now - self._control.replaced_at_by_number[number] >= HORIZON
        members = self._control.pair(number, bucket).members()
        for each in members:
            assert silent_by_run.get(each, True), f'{each.host} answers'
        if not silent_by_run.keys().isdisjoint(members):
            self._cut_off_buckets.add(bucket)
        self._exempt_requests.update(
            key for key in self.ran if key % BUCKETS == bucket
        )

    def record_losses(self, runs: set[ViewMember]) -> None:
        """Exempt the flows of buckets whose home and heir have both ended."""
        if not self._control.views:
            return
        last = self._control.views[-1]
        for number in (last.number, *(each.number for each in last.unsettled)):
            for bucket in range(BUCKETS):
                members = self._control.pair(number, bucket).members()
                if members and runs.isdisjoint(members):
                    self._lost_buckets.add(bucket)

    def requests_run_twice(self) -> set[int]:
        """Return requests that ran more than once and are not exempt."""
        return {
            key
            for key, times in self.ran.items()
            if times > 1
            and key not in self._exempt_requests
            and key % BUCKETS not in self._cut_off_buckets
        }

    def flows_to_keep(self) -> set[int]:
        """Return the ports of flows that must not be lost."""
        exempt_buckets = self._lost_buckets | self._cut_off_buckets
        return {
            port for port in self.flows if port % BUCKETS not in exempt_buckets
        }


class Cluster:
    """Agents of one pool on a simulated network."""

    def __init__(self) -> None:
        self.now: float = 0
        self.in_transit: list[MessageInTransit] = []
        self.partitioned: set[str] = set()
        self.run_by_host: dict[str, Run] = {}
        self.control = FakeControl()
        self.account = Account(self.control)
        for host in ZONE_BY_HOST:
            self.start(host)
        self.control.commit({'a', 'b', 'c'}, self.now)
        catch_up(self)

    def start(self, host: str) -> None:
        """Start an agent with an empty store; it replaces the former one."""
        self.run_by_host[host] = Run(Agent(self.control.admit(host), BUCKETS))
        self.record_losses()

    def record_losses(self) -> None:
        """Exempt the flows of pairs that have ended."""
        self.account.record_losses(
            {run.agent.me for run in self.run_by_host.values()}
        )

    def commit(self, hosts: set[str]) -> None:
        """Commit a view of these hosts."""
        self.control.commit(hosts, self.now)
        self.record_losses()

    def settle(self) -> None:
        """Settle the newest view if all current agents report it settled."""
        self.control.settle(
            {
                run.agent.me: run.settled_view
                for run in self.run_by_host.values()
            }
        )

    def running_hosts(self) -> list[str]:
        """Return the hosts whose agent is not frozen."""
        return [
            host for host, run in self.run_by_host.items() if not run.frozen
        ]

    def apply_view(self, host: str, index: int = -1) -> None:
        """Apply a committed view, the newest or an older one, at a host."""
        run = self.run_by_host[host]
        views = self.control.views
        if not run.frozen:
            adopted = views[index % len(views)]
            self._carry_out(run, run.agent.keeper.apply_view(adopted, self.now))

    def tick(self, host: str) -> None:
        """Run a host's due work and update the view that it has settled."""
        run = self.run_by_host[host]
        if not run.frozen:
            self._carry_out(run, run.agent.keeper.tick(self.now))
            run.settled_view = run.agent.keeper.settled_view()

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver one message; one that is kept is delivered again later."""
        if not self.in_transit:
            return
        place = index % len(self.in_transit)
        message = self.in_transit[place]
        if self.is_held(message):
            return
        if not keep:
            self.in_transit.pop(place)
        run = self.run_by_host[message.send.endpoint]
        effects = run.agent.keeper.on_message(
            message.send.message, self.now, message.source
        )
        self._carry_out(run, effects)

    def request(self, host: str, key: int) -> None:
        """Send a non-idempotent request, perhaps a replay, to a host."""
        run = self.run_by_host[host]
        bucket = key % BUCKETS
        if run.frozen or run.agent.keeper.status(bucket) != InEffect():
            return
        contents = started(key, bytes(ENTRY_BYTES))
        known = run.agent.store.export(bucket).entries
        if contents.entries[0].key not in {entry.key for entry in known}:
            self._record(run, bucket, contents)

    def open_flow(self, host: str, port: int) -> None:
        """Have a host record an established flow."""
        run = self.run_by_host[host]
        if not run.frozen:
            self._record(run, port % BUCKETS, flow(port, 'carrier'))

    def lost_flows(self, hosts: Iterable[str]) -> set[int]:
        """Return the ports of accepted flows that none of these hosts holds."""
        return {
            port
            for port in self.account.flows_to_keep()
            if not any(
                self.run_by_host[host].holds_flow(port) for host in hosts
            )
        }

    def is_held(self, message: MessageInTransit) -> bool:
        """Whether a message cannot be delivered now."""
        if self.run_by_host[message.send.endpoint].frozen:
            return True
        ends = {message.source, message.send.endpoint}
        return len(ends & self.partitioned) == 1

    def _record(self, run: Run, bucket: int, contents: BucketContents) -> None:
        if contents in run.contents_by_ticket.values():
            return
        ticket, effects = run.agent.keeper.record(
            bucket, contents, self.now, self.now + CALLER_TIMEOUT
        )
        run.contents_by_ticket[ticket] = contents
        self._carry_out(run, effects)

    def _carry_out(self, run: Run, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self.in_transit.append(
                        MessageInTransit(run.agent.me.host, effect)
                    )
                case Recorded(ticket):
                    contents = run.contents_by_ticket.pop(ticket)
                    self.account.take_effect(contents)
                case RecordRefused(ticket):
                    run.contents_by_ticket.pop(ticket)
                case BucketInEffect(bucket, lost):
                    self._give_up(run, bucket, lost)

    def _give_up(
        self, new_home: Run, bucket: int, lost: tuple[int, ...]
    ) -> None:
        is_partitioned = new_home.agent.me.host in self.partitioned
        silent_by_run = {
            run.agent.me: run.frozen
            or (host in self.partitioned) != is_partitioned
            for host, run in self.run_by_host.items()
        }
        for number in lost:
            self.account.give_up(bucket, number, silent_by_run, self.now)


def run_without_faults(cluster: Cluster, seconds: float) -> None:
    """Advance time without new faults, for the agents that are not frozen."""
    end = cluster.now + seconds
    while cluster.now < end:
        cluster.now += TICK
        for host in cluster.running_hosts():
            cluster.tick(host)
        deliver_all(cluster)


def deliver_all(cluster: Cluster) -> None:
    """Deliver all messages that can arrive, including those sent in reply."""
    index = 0
    while index < len(cluster.in_transit):
        if cluster.is_held(cluster.in_transit[index]):
            index += 1
        else:
            cluster.deliver(index)


def catch_up(cluster: Cluster) -> None:
    """Apply the newest view at all running hosts, and settle it."""
    for _ in range(2):
        for host in cluster.running_hosts():
            cluster.apply_view(host)
        run_without_faults(cluster, 1)
        cluster.settle()


def heal_all(cluster: Cluster) -> None:
    """End all faults, commit a view of all hosts, and wait for recovery."""
    for run in cluster.run_by_host.values():
        run.frozen = False
    cluster.partitioned.clear()
    cluster.commit(set(cluster.run_by_host))
    for wait in (2 * TICK, 8, HORIZON + 8, 8):
        for host in cluster.running_hosts():
            cluster.apply_view(host)
        run_without_faults(cluster, wait)
        cluster.settle()
    for host in cluster.running_hosts():
        cluster.apply_view(host)
