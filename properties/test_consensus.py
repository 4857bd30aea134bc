"""Replicas under lost, repeated and reordered messages, crashes, lost disks."""

from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from properties.seeds import seed_of
from redwingstream.consensus.events import HandOverRequested
from redwingstream.control.tests.fakes import NAMES, Fleet
from redwingstream.errors import ResultCode
from redwingstream.storage.tests.fakes import FakeFolder
from redwingstream.tables.edits import (
    ChangeRequest,
    Edits,
    SetZone,
)
from redwingstream.tables.rows import ZoneMark

names = st.sampled_from(NAMES)


def _all_count(faults: 'ReplicaFaults') -> bool:
    return faults.fleet.all_are_voters()


@seed(seed_of('consensus.ReplicaFaults'))
class ReplicaFaults(RuleBasedStateMachine):
    """Any faults in any order; accepted entries stay."""

    fleet: Fleet
    requests: int

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        """Form a group, since faults before are another test's subject."""
        self.fleet = Fleet(seed).form_group()
        self.requests = 0

    @rule(ticks=st.integers(1, 40), loss=st.sampled_from((0, 0.1, 0.6)))
    def let_time_pass(self, ticks: int, loss: float) -> None:
        for _ in range(ticks):
            self.fleet.pass_tick(loss, repeat=0.1)

    @rule(name=names, count=st.integers(1, 6), stale=st.integers(0, 2))
    def change(self, name: str, count: int, stale: int) -> None:
        for _ in range(count):
            node = self.fleet.node_by_name[name]
            if node.replica is None:
                return
            self.requests += 1
            mark = ZoneMark(f'z{self.requests % 5}', bool(self.requests % 2))
            request = ChangeRequest(
                f'r{self.requests}',
                max(0, node.config_revision() - stale),
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
        node = self.fleet.node_by_name[name]
        node.folder.operations_left = operations

    @rule(name=names)
    def restart(self, name: str) -> None:
        node = self.fleet.node_by_name[name]
        if node.replica is None:
            node.start()

    @precondition(_all_count)
    @rule(name=names)
    def lose_disk(self, name: str) -> None:
        node = self.fleet.node_by_name[name]
        node.crash()
        node.folder = FakeFolder(self.fleet.rng)
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
        self.fleet.cut_links.add((source, receiver))

    @rule()
    def mend_cuts(self) -> None:
        self.fleet.cut_links.clear()

    @rule(name=names)
    def stop_gracefully(self, name: str) -> None:
        node = self.fleet.node_by_name[name]
        if not node.frozen:
            node.run(lambda replica: replica.step(HandOverRequested()))

    @invariant()
    def one_leader_a_term(self) -> None:
        if hasattr(self, 'fleet'):
            self.fleet.check_leaders()

    def teardown(self) -> None:
        """After all faults are over, a change is accepted everywhere."""
        if not hasattr(self, 'fleet'):
            return
        fleet = self.fleet
        fleet.heal_all()
        assert _all_count(self)
        edits = Edits(set_zones=(SetZone(ZoneMark('last', out=True)),))
        based_on = fleet.node_by_name['a'].config_revision()
        request = ChangeRequest('last', based_on, edits)
        for name in NAMES:
            fleet.propose(name, request)
        fleet.pass_ticks(20)
        assert fleet.checker.answer_by_request['last'].code == ResultCode.OK
        states = {node.packed_state() for node in fleet.nodes}
        assert len(states) == 1


ReplicaFaults.TestCase.settings = settings(
    max_examples=90, stateful_step_count=40
)
TestReplicaFaults = ReplicaFaults.TestCase
