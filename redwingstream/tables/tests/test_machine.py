"""Changes by operators, members and views in the replicated state."""

import time

import pytest

from redwingstream.consensus.messages import Entry
from redwingstream.errors import ResultCode
from redwingstream.placement.effects import Recovering
from redwingstream.placement.keeper import BucketKeeper
from redwingstream.placement.tests.fakes import MemoryStore
from redwingstream.tables.edits import (
    ChangeAnswer,
    ChangeRequest,
    DrainMember,
    Edits,
    RemoveRow,
    SetPool,
    SetRoute,
    SetZone,
)
from redwingstream.tables.history import TablesHistory
from redwingstream.tables.machine.messages import (
    AdmitMember,
    LeaveMember,
    RemoveMember,
    SettleView,
)
from redwingstream.tables.machine.recent_changes import RecentChanges
from redwingstream.tables.machine.state import MAX_ANSWERS, MachineState
from redwingstream.tables.machine.state_machine import StateMachine
from redwingstream.tables.machine.views import (
    MAX_UNSETTLED_VIEWS,
    exclusion_reason,
)
from redwingstream.tables.messages import (
    RowName,
    Table,
)
from redwingstream.tables.rows import (
    Member,
    Pool,
    PoolView,
    Role,
    Route,
    ZoneMark,
)
from redwingstream.tables.snapshot import Tables
from redwingstream.wire import messages

SERVICE = '10.0.0.1:5683'
POOL = SetPool(Pool('sward-live', ('sward-*',)))
ROUTE = SetRoute(Route(SERVICE, 'sward-live'))
ZONE_OUT = SetZone(ZoneMark('carse', out=True))
MANY_ROWS = 20000
MAX_ANSWER_SECONDS = 1.0
"""Maximum seconds to make the answer; enough on a busy computer, too."""


class Harness:
    """State machine to which a test applies one command after the other."""

    def __init__(self) -> None:
        self.machine = StateMachine()
        self.index = 0
        self.requests = 0

    def apply(self, command: object) -> object:
        """Encode a command and apply it as the next entry."""
        self.index += 1
        return self.machine.apply(
            Entry(self.index, 1, *messages.encode(command))
        )

    def change(self, edits: Edits, *, force: bool = False) -> ChangeAnswer:
        """Apply a change based on the current revision."""
        self.requests += 1
        based_on = self.machine.state.config_revision
        name = f'r{self.requests}'
        return self.apply(ChangeRequest(name, based_on, edits, force))

    def admit(
        self, host: str, boot: int = 1, zone: str = 'carse'
    ) -> AdmitMember:
        """Admit an agent."""
        return self.apply(
            AdmitMember(
                host, Role.AGENT, '127.0.0.1:1', zone, 'sward-live', 100, boot
            ),
        )

    def member(self, host: str) -> Member:
        """Return a member."""
        return self.machine.tables.member_by_host[host]

    def view(self) -> PoolView:
        """Return the newest view."""
        return self.machine.tables.view_by_pool['sward-live']

    def hosts(self) -> list[str]:
        """Return the hosts of the newest view."""
        return [member.host for member in self.view().members]

    def unsettled_numbers(self) -> list[int]:
        """Return the numbers of the unsettled views."""
        return [earlier.number for earlier in self.view().unsettled]


@pytest.fixture
def harness() -> Harness:
    """A state machine with a pool in use and two agents."""
    created = Harness()
    created.change(Edits(set_pools=(POOL,), set_routes=(ROUTE,)))
    created.admit('sward-1')
    created.admit('sward-2', zone='angus-glens')
    return created


class TestChanges:
    """Concurrent changes by operators, and retries of changes."""

    def test_second_change_based_on_the_same_revision_conflicts(
        self, harness: Harness
    ) -> None:
        """A change by one operator must not silently undo another's.

        Two operators read the same revision and send different changes; the
        second operator has not seen the effect of the first change.
        """
        first = ChangeRequest('first', 1, Edits(set_zones=(ZONE_OUT,)))
        second = ChangeRequest('second', 1, Edits(set_pools=(POOL,)))
        accepted = harness.apply(first)
        refused = harness.apply(second)
        assert accepted == ChangeAnswer(ResultCode.OK, '', harness.index - 1)
        assert refused.code == ResultCode.CONFLICT
        assert refused.revision == accepted.revision
        assert str(accepted.revision) in refused.text

    def test_retry_gets_the_first_answer(self, harness: Harness) -> None:
        """A retry must not be reported as a conflict with its own change.

        The answer to an accepted change is lost; another change is accepted
        and the replica restarts from a snapshot.  Then the operator's tool
        sends the same request again.
        """
        request = ChangeRequest('first', 1, Edits(set_zones=(ZONE_OUT,)))
        answer = harness.apply(request)
        harness.change(Edits(set_pools=(SetPool(Pool('x', ())),)))
        restarted = Harness()
        restarted.index = harness.index
        restarted.machine.load(harness.machine.pack())
        before = restarted.machine.pack()
        assert restarted.apply(request) == answer
        assert restarted.machine.pack() == before

    def test_another_change_with_a_used_request_id_is_refused(
        self, harness: Harness
    ) -> None:
        harness.apply(ChangeRequest('r', 1, Edits(set_zones=(ZONE_OUT,))))
        answer = harness.apply(ChangeRequest('r', 1, Edits()))
        assert answer.code == ResultCode.REQUEST_ID_REUSED

    def test_retry_after_eviction_of_the_answer_changes_nothing(
        self, harness: Harness
    ) -> None:
        """An old change must not be applied a second time.

        An accepted change is followed by so many requests that its answer is
        evicted; then a delayed copy of it arrives.
        """
        request = ChangeRequest('old', 1, Edits(set_zones=(ZONE_OUT,)))
        harness.apply(request)
        back = SetZone(ZoneMark('carse', out=False))
        harness.change(Edits(set_zones=(back,)))
        for number in range(MAX_ANSWERS):
            harness.apply(ChangeRequest(f'x{number}', 0, Edits()))
        assert harness.apply(request).code == ResultCode.CONFLICT
        assert not harness.machine.tables.is_zone_out('carse')

    @pytest.mark.parametrize(
        ('edits', 'expected_text'),
        [
            (Edits(set_routes=(SetRoute(Route('x:1', 'sward-live')),)), 'x:1'),
            (
                Edits(
                    set_routes=(
                        SetRoute(Route(SERVICE, 'sward-live', '10.0.0.1/8')),
                    ),
                ),
                '10.0.0.1/8',
            ),
            (
                Edits(
                    set_routes=(
                        SetRoute(Route(f'10.0.0.1:{"1" * 5000}', 'sward-live')),
                    ),
                ),
                '255',
            ),
            (Edits(set_pools=(SetPool(Pool('p', ('h' * 300,))),)), '255'),
            (Edits(set_pools=(SetPool(Pool('p', (), 48)),)), '48'),
            (Edits(set_pools=(SetPool(Pool('p', (), 0)),)), '0'),
            (Edits(set_pools=(SetPool(Pool('sward-live', (), 32)),)), '32'),
            (Edits(set_pools=(SetPool(Pool('', ())),)), "''"),
            (Edits(remove=(RemoveRow(RowName(Table.VIEW, 'v')),)), 'view'),
        ],
    )
    def test_bad_row_is_refused_even_if_forced(
        self, harness: Harness, edits: Edits, expected_text: str
    ) -> None:
        before = harness.machine.tables
        answer = harness.change(edits, force=True)
        assert answer.code == ResultCode.BAD_ROW
        assert expected_text in answer.text
        assert harness.machine.tables == before

    def test_refusal_names_the_unknown_row(self, harness: Harness) -> None:
        for edits in (
            Edits(remove=(RemoveRow(RowName(Table.ROUTE, 'nowhere')),)),
            Edits(drain=(DrainMember('nowhere', draining=True),)),
        ):
            answer = harness.change(edits)
            assert answer.code == ResultCode.UNKNOWN_ROW
            assert 'nowhere' in answer.text

    @pytest.mark.parametrize(
        ('service', 'callers', 'expected_text'),
        [
            (SERVICE, '10.1.0.0/255.255.0.0', '10.1.0.0/16'),
            ('10.0.0.1:05683', '10.1.0.0/16', SERVICE),
            ('::1:5683', '::/0', '[::1]:5683'),
            ('[::1]:5683', '0.0.0.0/0', '::/0'),
            ('10.0.0.1:0', '0.0.0.0/0', 'port'),
        ],
    )
    def test_route_that_matches_no_packet_is_refused(
        self, harness: Harness, service: str, callers: str, expected_text: str
    ) -> None:
        """Two balancers must not route the same caller to different pools.

        If a network could be written in two forms, two routes to two pools
        could have the same callers, and the order in which a process received
        them would decide.  A service that is not in canonical form, has no port
        or has another IP version than its callers would match no packet.
        """
        route = SetRoute(Route(service, 'sward-live', callers))
        answer = harness.change(Edits(set_routes=(route,)), force=True)
        assert answer.code == ResultCode.BAD_ROW
        assert expected_text in answer.text

    def test_route_to_a_missing_pool_needs_force(
        self, harness: Harness
    ) -> None:
        route = SetRoute(Route('10.0.0.2:1', 'later'))
        refused = harness.change(Edits(set_routes=(route,)))
        forced = harness.change(Edits(set_routes=(route,)), force=True)
        assert refused.code == ResultCode.MISSING_POOL
        assert forced.code == ResultCode.OK
        assert "'later'" in forced.warnings[0]

    @pytest.mark.parametrize(
        'edits',
        [
            Edits(set_pools=(SetPool(Pool('sward-live', ('other-*',))),)),
            Edits(
                drain=(
                    DrainMember('sward-1', draining=True),
                    DrainMember('sward-2', draining=True),
                ),
            ),
            Edits(
                set_zones=(
                    ZONE_OUT,
                    SetZone(ZoneMark('angus-glens', out=True)),
                ),
            ),
        ],
    )
    def test_emptying_a_pool_in_use_needs_force(
        self, harness: Harness, edits: Edits
    ) -> None:
        refused = harness.change(edits)
        assert refused.code == ResultCode.POOL_IN_USE
        assert harness.hosts() == ['sward-1', 'sward-2']
        forced = harness.change(edits, force=True)
        assert forced.code == ResultCode.OK
        assert "'sward-live'" in forced.warnings[0]
        assert harness.hosts() == []

    def test_removing_a_pool_in_use_needs_force(self, harness: Harness) -> None:
        edits = Edits(remove=(RemoveRow(RowName(Table.POOL, 'sward-live')),))
        assert harness.change(edits).code == ResultCode.MISSING_POOL
        assert len(harness.change(edits, force=True).warnings) == 2


class TestMembers:
    """Runs of processes, and the views computed from them."""

    def test_the_same_run_keeps_its_incarnation(self, harness: Harness) -> None:
        first = harness.member('sward-1')
        revision = harness.machine.tables.revision
        assert harness.admit('sward-1') == first
        assert harness.machine.tables.revision == revision

    def test_another_run_gets_a_higher_incarnation(
        self, harness: Harness
    ) -> None:
        first = harness.member('sward-1')
        second = harness.admit('sward-1', boot=2)
        assert second.incarnation > first.incarnation
        harness.apply(RemoveMember('sward-1', first.incarnation))
        assert 'sward-1' in harness.machine.tables.member_by_host

    def test_host_that_the_pool_does_not_admit_is_in_no_view(
        self, harness: Harness
    ) -> None:
        member = harness.admit('cover-1')
        assert 'cover-1' not in harness.hosts()
        assert 'sward-*' in exclusion_reason(harness.machine.state, member)

    def test_draining_member_leaves_the_view_and_stays_a_member(
        self, harness: Harness
    ) -> None:
        member = harness.member('sward-1')
        harness.apply(LeaveMember('sward-1', member.incarnation))
        assert harness.hosts() == ['sward-2']
        assert harness.member('sward-1').draining

    def test_members_of_a_zone_out_of_service_leave_the_view(
        self, harness: Harness
    ) -> None:
        harness.change(Edits(set_zones=(ZONE_OUT,)))
        assert harness.hosts() == ['sward-2']

    def test_only_the_newest_view_is_settled(self, harness: Harness) -> None:
        """A bucket must not be served without asking for its records.

        A view is reported as settled while the next one is being committed;
        the unsettled views of the newer one must stay.
        """
        number = harness.view().number
        harness.admit('sward-3')
        harness.apply(SettleView('sward-live', number))
        assert harness.unsettled_numbers()[0] == number
        newest = harness.view().number
        harness.apply(SettleView('sward-live', newest))
        assert harness.unsettled_numbers() == []
        view = harness.view()
        assert view.number == newest

    def test_long_chain_ends_in_a_view_without_members(
        self, harness: Harness
    ) -> None:
        """A request must not run a second time.

        A host repeatedly fails and returns, and views change faster than they
        settle.  If the oldest unsettled view were dropped, a new home would
        treat a replay of a request recorded in that view as a new request.
        """
        for boot in range(2, 2 * MAX_UNSETTLED_VIEWS):
            harness.admit('sward-1', boot=boot)
        view = harness.view()
        assert len(view.unsettled) == MAX_UNSETTLED_VIEWS
        latest = view.members[0].incarnation
        keeper = BucketKeeper('sward-1', latest, view.pool, MemoryStore(), 247)
        keeper.apply_view(view, 0)
        assert isinstance(keeper.status(0), Recovering)
        assert all(earlier.members for earlier in view.unsettled[:-1])


class TestDrainedHosts:
    """Draining of a host by operators applies to all its runs."""

    @pytest.mark.parametrize('is_removed', [False, True])
    def test_a_new_run_of_a_drained_host_drains(
        self, harness: Harness, is_removed: bool
    ) -> None:
        """A server under repair must not get traffic again.

        Operators drain a host.  Its agent restarts, or its lease expires and it
        is removed; then it announces itself again.  If draining were stored
        only in the row of the former run, the accepted change would be undone.
        """
        mark = DrainMember('sward-1', draining=True)
        harness.change(Edits(drain=(mark,)))
        if is_removed:
            incarnation = harness.member('sward-1').incarnation
            harness.apply(RemoveMember('sward-1', incarnation))
        harness.machine.load(harness.machine.pack())
        harness.admit('sward-1', boot=2)
        assert harness.member('sward-1').draining
        assert harness.hosts() == ['sward-2']

    def test_draining_can_be_cancelled_while_the_host_is_away(
        self, harness: Harness
    ) -> None:
        harness.change(Edits(drain=(DrainMember('sward-1', draining=True),)))
        incarnation = harness.member('sward-1').incarnation
        harness.apply(RemoveMember('sward-1', incarnation))
        cancelled = DrainMember('sward-1', draining=False)
        answer = harness.change(Edits(drain=(cancelled,)))
        assert answer.code == ResultCode.OK
        harness.admit('sward-1', boot=2)
        assert harness.hosts() == ['sward-1', 'sward-2']

    def test_refused_change_drains_no_host(self, harness: Harness) -> None:
        marks = tuple(
            DrainMember(host, draining=True) for host in harness.hosts()
        )
        answer = harness.change(Edits(drain=marks))
        assert answer.code == ResultCode.POOL_IN_USE
        harness.admit('sward-1', boot=2)
        assert not harness.member('sward-1').draining

    def test_run_that_left_by_itself_does_not_drain_the_next_one(
        self, harness: Harness
    ) -> None:
        incarnation = harness.member('sward-1').incarnation
        harness.apply(LeaveMember('sward-1', incarnation))
        harness.admit('sward-1', boot=2)
        assert not harness.member('sward-1').draining


class TestRecentChanges:
    """Answers to processes that ask for changes."""

    def test_changes_lead_to_the_same_tables(self, harness: Harness) -> None:
        copy = Tables().updated(harness.machine.update_since(0))
        harness.change(Edits(set_zones=(ZONE_OUT,)))
        harness.admit('sward-3')
        member = harness.member('sward-2')
        harness.apply(RemoveMember('sward-2', member.incarnation))
        update = harness.machine.update_since(copy.revision)
        assert update.since == copy.revision
        assert not update.pools
        assert copy.updated(update) == harness.machine.tables

    def test_revision_that_is_too_old_gets_a_full_copy(
        self, harness: Harness
    ) -> None:
        """A process that was away for long must not miss changes.

        The replica restarts from a snapshot and no longer knows the changes
        before it; the process asks for changes after an earlier revision.
        """
        copy = Tables().updated(harness.machine.update_since(0))
        harness.change(Edits(set_zones=(ZONE_OUT,)))
        harness.machine.load(harness.machine.pack())
        update = harness.machine.update_since(copy.revision)
        assert update.since == 0
        assert copy.updated(update) == harness.machine.tables

    def test_process_with_a_newer_revision_gets_no_rows(
        self, harness: Harness
    ) -> None:
        """Waiting for a change to take effect must not overload the network.

        The operators' tool polls every process with the new revision.  If a
        process that has not reached it answered with a full copy, every poll
        would transfer all tables.
        """
        harness.change(Edits(set_zones=(ZONE_OUT,)))
        ahead = harness.machine.tables.revision + 1
        update = harness.machine.update_since(ahead)
        member = TablesHistory()
        member.apply_update(harness.machine.update_since(0))
        assert member.update_since(ahead) == update
        assert update.revision == harness.machine.tables.revision
        assert not update.zones
        assert not update.pools

    def test_many_changed_rows_do_not_block_a_control_instance(self) -> None:
        """An answer with many rows must not cause changes of leader.

        A process that was disconnected asks for hundreds of changes of many
        rows.  Comparing each row with each other one would block the event
        loop, which also has to send the leader's heartbeats.
        """
        state = MachineState(revision=1)
        for number in range(MANY_ROWS):
            mark = ZoneMark(f'zone-{number}', out=False)
            state.put(Table.ZONE, mark.zone, mark)
        changes = RecentChanges(0)
        removed = RowName(Table.ZONE, 'gone')
        changes.record_revision(2, [*state.changed_rows, removed])
        state.revision = 2
        before = time.perf_counter()
        update = changes.update_since(state, 1)
        assert time.perf_counter() - before < MAX_ANSWER_SECONDS
        assert len(update.zones) == MANY_ROWS
        assert update.removed == (removed,)

    def test_change_without_effect_increases_the_revision(
        self, harness: Harness
    ) -> None:
        """An operator's tool must not wait forever for a change.

        The change sets rows to their current contents.  Its answer names a
        revision, and the tool waits until every process has reached it.
        """
        answer = harness.change(Edits(set_pools=(POOL,)))
        assert harness.machine.tables.revision == answer.revision
