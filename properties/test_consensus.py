"""Replicas under lost, repeated and reordered messages, crashes, lost disks."""

import random
from collections.abc import Callable

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from redwingstream.consensus.core import Consensus
from redwingstream.consensus.events import (
    HandOverAsked,
    Outgoing,
    Received,
    Ticked,
)
from redwingstream.consensus.log import READMIT_KIND
from redwingstream.consensus.messages import Entry, Voter
from redwingstream.consensus.state import Timing
from redwingstream.control.replica import Replica, SnapshotRule, Surroundings
from redwingstream.errors import CallFailedError, ResultCode
from redwingstream.storage.store import Store
from redwingstream.storage.tests.fakes import FakeFolder, PowerCutError
from redwingstream.tables.machine.machine import Machine
from redwingstream.tables.messages import (
    ChangeAnswer,
    ChangeRequest,
    Edits,
    SetZone,
)
from redwingstream.tables.rows import ZoneMark
from redwingstream.wire import messages

TICK = 0.05
NAMES = ('a', 'b', 'c')
CALM_TICKS = 400


@attrs.frozen
class Sent:
    """A message under way."""

    source: str
    outgoing: Outgoing


class Witness:
    """Sees every entry that any replica applies, and never forgets."""

    def __init__(self) -> None:
        self.entry_by_index: dict[int, Entry] = {}
        self.state_by_index: dict[int, bytes] = {}
        self.group: dict[str, int] = {}
        self.leader_by_term: dict[int, str] = {}
        self.answer_by_request: dict[str, ChangeAnswer] = {}
        self.winner_by_revision: dict[int, str] = {}

    def see_entry(self, entry: Entry, state: bytes) -> None:
        """Two replicas never apply different entries at one index."""
        assert self.entry_by_index.setdefault(entry.index, entry) == entry
        assert self.state_by_index.setdefault(entry.index, state) == state
        if entry.kind == READMIT_KIND:
            voter = messages.decode(entry.kind, entry.body).voter
            self.group[voter.name] = voter.identity

    def see_leader(self, term: int, name: str) -> None:
        """No term has two leaders."""
        assert self.leader_by_term.setdefault(term, name) == name

    def see_answer(self, request: ChangeRequest, answer: object) -> None:
        """A request has one answer, and a revision one winner."""
        if not isinstance(answer, ChangeAnswer):
            return
        first = self.answer_by_request.setdefault(request.request_id, answer)
        assert first == answer
        if answer.code == ResultCode.OK:
            winner = self.winner_by_revision.setdefault(
                request.based_on, request.request_id
            )
            assert winner == request.request_id


class WitnessedMachine(Machine):
    """A state machine that shows the witness what it applies."""

    witness: Witness

    def apply(self, entry: Entry) -> object:
        """Apply an entry and report it."""
        outcome = super().apply(entry)
        self.witness.see_entry(entry, self.pack())
        return outcome


class Node:
    """A replica with its disk; it can be down or frozen."""

    def __init__(self, name: str, fleet: 'Fleet') -> None:
        self.name = name
        self.fleet = fleet
        self.folder = FakeFolder(fleet.chance)
        self.replica: Replica | None = None
        self.identity = 0
        self.frozen = False

    def start(self) -> None:
        """Read the disk and run."""
        fleet = self.fleet
        store = Store(self.folder)
        loaded = store.load(lambda: fleet.chance.getrandbits(60) | 1)
        self.identity = loaded.identity
        consensus = Consensus(
            Voter(self.name, loaded.identity),
            NAMES,
            Timing(),
            fleet.chance,
            fleet.now,
        )
        around = Surroundings(
            send=lambda out: fleet.flying.append(Sent(self.name, out)),
            clock=lambda: fleet.now,
            schedule=lambda run: run(),
            failed=lambda error: None,
        )
        self.replica = Replica(
            consensus, store, loaded, around, SnapshotRule(every=8, kept=3)
        )
        machine = WitnessedMachine()
        machine.witness = fleet.witness
        machine.state = self.replica.machine.state
        self.replica.machine = machine

    def run(self, act: Callable[[Replica], None]) -> None:
        """Do something with the replica, which may lose its power over it."""
        if self.replica is None:
            return
        try:
            act(self.replica)
        except PowerCutError:
            self.crash()

    def crash(self) -> None:
        """Lose everything that was not synced."""
        self.replica = None
        self.frozen = False
        self.folder.crash()


class Fleet:
    """Three replicas and the messages between them."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now = 0.0
        self.flying: list[Sent] = []
        self.cut: set[tuple[str, str]] = set()
        self.witness = Witness()
        self.node_by_name = {name: Node(name, self) for name in NAMES}
        for node in self.nodes:
            node.start()
        self.witness.group = {n.name: n.identity for n in self.nodes}

    @property
    def nodes(self) -> list[Node]:
        """All nodes."""
        return list(self.node_by_name.values())

    def pass_tick(self, loss: float, repeat: float) -> None:
        """Let time pass, then deliver what is under way in any order."""
        self.now += TICK
        for node in self.nodes:
            if not node.frozen:
                node.run(lambda replica: replica.step(Ticked()))
        flying, self.flying = self.flying, []
        self.chance.shuffle(flying)
        for sent in flying:
            if self.chance.random() < loss:
                self._lose_or_delay(sent)
                continue
            self._deliver(sent)
            if self.chance.random() < repeat:
                self.flying.append(sent)
        self.see_leaders()

    def see_leaders(self) -> None:
        """Show all leaders to the witness."""
        for node in self.nodes:
            if node.replica is not None and node.replica.consensus.is_leader:
                term = node.replica.consensus.term
                self.witness.see_leader(term, node.name)

    def propose(self, name: str, request: ChangeRequest) -> None:
        """Ask one replica for a change."""

        def act(replica: Replica) -> None:
            try:
                replica.propose(
                    request,
                    lambda answer: self.witness.see_answer(request, answer),
                )
            except CallFailedError:
                return

        node = self.node_by_name[name]
        if not node.frozen:
            node.run(act)

    def all_count(self) -> bool:
        """Whether every disk is one that counts for a majority."""
        return self.witness.group == {n.name: n.identity for n in self.nodes}

    def calm_down(self) -> None:
        """Mend everything, and wait until all is agreed."""
        self.cut.clear()
        for node in self.nodes:
            node.frozen = False
            node.folder.operations_left = None
            if node.replica is None:
                node.start()
        for _ in range(CALM_TICKS):
            self.pass_tick(loss=0, repeat=0)

    def _lose_or_delay(self, sent: Sent) -> None:
        if self.chance.random() < 0.5:
            self.flying.append(sent)

    def _deliver(self, sent: Sent) -> None:
        if (sent.source, sent.outgoing.target) in self.cut:
            return
        node = self.node_by_name[sent.outgoing.target]
        if node.frozen:
            self.flying.append(sent)
            return
        # Through the codec, as over the wire.
        kind, body = messages.encode(sent.outgoing.message)
        message = messages.decode(kind, body)
        node.run(lambda replica: replica.step(Received(message)))


names = st.sampled_from(NAMES)


class ReplicaFaults(RuleBasedStateMachine):
    """Any faults in any order; accepted entries stay."""

    fleet: Fleet
    requests: int

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        """Form a group, since faults before are another test's subject."""
        self.fleet = Fleet(seed)
        self.requests = 0
        while not self.fleet.witness.entry_by_index:
            self.fleet.pass_tick(loss=0, repeat=0)

    @rule(ticks=st.integers(1, 40), loss=st.sampled_from((0, 0.1, 0.6)))
    def let_time_pass(self, ticks: int, loss: float) -> None:
        for _ in range(ticks):
            self.fleet.pass_tick(loss, repeat=0.1)

    @rule(name=names, count=st.integers(1, 6), stale=st.integers(0, 2))
    def change(self, name: str, count: int, stale: int) -> None:
        for _ in range(count):
            replica = self.fleet.node_by_name[name].replica
            if replica is None:
                return
            self.requests += 1
            mark = ZoneMark(f'z{self.requests % 5}', bool(self.requests % 2))
            request = ChangeRequest(
                f'r{self.requests}',
                max(0, replica.machine.state.config_revision - stale),
                Edits(set_zones=(SetZone(mark),)),
            )
            for asked in NAMES:
                self.fleet.propose(asked, request)
            self.fleet.pass_tick(loss=0.1, repeat=0.1)

    @rule(name=names)
    def crash(self, name: str) -> None:
        self.fleet.node_by_name[name].crash()

    @rule(name=names, operations=st.integers(0, 12))
    def crash_within_a_write(self, name: str, operations: int) -> None:
        self.fleet.node_by_name[name].folder.operations_left = operations

    @rule(name=names)
    def restart(self, name: str) -> None:
        node = self.fleet.node_by_name[name]
        if node.replica is None:
            node.start()

    @precondition(lambda self: self.fleet.all_count())
    @rule(name=names)
    def lose_disk(self, name: str) -> None:
        node = self.fleet.node_by_name[name]
        node.crash()
        node.folder = FakeFolder(self.fleet.chance)
        node.start()

    @rule(name=names)
    def freeze(self, name: str) -> None:
        node = self.fleet.node_by_name[name]
        node.frozen = node.replica is not None

    @rule(name=names)
    def thaw(self, name: str) -> None:
        self.fleet.node_by_name[name].frozen = False

    @rule(source=names, receiver=names)
    def cut_one_way(self, source: str, receiver: str) -> None:
        self.fleet.cut.add((source, receiver))

    @rule()
    def mend_cuts(self) -> None:
        self.fleet.cut.clear()

    @rule(name=names)
    def stop_gracefully(self, name: str) -> None:
        node = self.fleet.node_by_name[name]
        if not node.frozen:
            node.run(lambda replica: replica.step(HandOverAsked()))

    @invariant()
    def one_leader_a_term(self) -> None:
        if hasattr(self, 'fleet'):
            self.fleet.see_leaders()

    def teardown(self) -> None:
        """After all faults are over, a change is accepted everywhere."""
        if not hasattr(self, 'fleet'):
            return
        fleet = self.fleet
        fleet.calm_down()
        assert fleet.all_count()
        edits = Edits(set_zones=(SetZone(ZoneMark('last', out=True)),))
        based_on = fleet.node_by_name['a'].replica.machine.state.config_revision
        request = ChangeRequest('last', based_on, edits)
        for name in NAMES:
            fleet.propose(name, request)
        for _ in range(20):
            fleet.pass_tick(loss=0, repeat=0)
        assert fleet.witness.answer_by_request['last'].code == ResultCode.OK
        states = {n.replica.machine.pack() for n in fleet.nodes}
        assert len(states) == 1


ReplicaFaults.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40
)
TestReplicaFaults = ReplicaFaults.TestCase
