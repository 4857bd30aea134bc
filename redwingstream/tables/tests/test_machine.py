"""Operators' changes, members and views in the replicated state."""

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
from redwingstream.tables.machine.deltas import Deltas
from redwingstream.tables.machine.machine import StateMachine
from redwingstream.tables.machine.messages import (
    AdmitMember,
    LeaveMember,
    RemoveMember,
    SettleView,
)
from redwingstream.tables.machine.state import MAX_ANSWERS, MachineState
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
LONGEST_STOP = 1.0
"""Seconds that the answer may take, on a busy machine too."""


class Bench:
    """A state machine that is fed one command after the other."""

    def __init__(self) -> None:
        self.machine = StateMachine()
        self.index = 0
        self.requests = 0

    def apply(self, command: object) -> object:
        """Apply a command as the next entry, through its codec."""
        self.index += 1
        return self.machine.apply(
            Entry(self.index, 1, *messages.encode(command))
        )

    def change(self, edits: Edits, *, force: bool = False) -> ChangeAnswer:
        """Make a change based on the current revision."""
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
        """Hosts in the newest view."""
        return [member.host for member in self.view().members]

    def chain(self) -> list[int]:
        """Numbers of the unsettled views."""
        return [earlier.number for earlier in self.view().unsettled]


@pytest.fixture
def bench() -> Bench:
    """A machine with a pool in use and two agents."""
    made = Bench()
    made.change(Edits(set_pools=(POOL,), set_routes=(ROUTE,)))
    made.admit('sward-1')
    made.admit('sward-2', zone='angus-glens')
    return made


class TestChanges:
    """Operators race each other and send again."""

    def test_one_of_two_with_equal_revisions_wins(self, bench: Bench) -> None:
        """One operator's change would silently undo another's.

        Two operators look at the same revision and send different changes.
        The second one has never seen what the first one did.
        """
        first = ChangeRequest('first', 1, Edits(set_zones=(ZONE_OUT,)))
        second = ChangeRequest('second', 1, Edits(set_pools=(POOL,)))
        accepted = bench.apply(first)
        refused = bench.apply(second)
        assert accepted == ChangeAnswer(ResultCode.OK, '', bench.index - 1)
        assert refused.code == ResultCode.CONFLICT
        assert refused.revision == accepted.revision
        assert str(accepted.revision) in refused.text

    def test_a_resend_gets_the_first_answer(self, bench: Bench) -> None:
        """An operator would be told of a conflict with his own change.

        The answer to an accepted change is lost; meanwhile another change
        is accepted and the replica restarts from a snapshot.  The operator's
        tool sends the same request again.
        """
        request = ChangeRequest('first', 1, Edits(set_zones=(ZONE_OUT,)))
        answer = bench.apply(request)
        bench.change(Edits(set_pools=(SetPool(Pool('x', ())),)))
        restarted = Bench()
        restarted.index = bench.index
        restarted.machine.load(bench.machine.pack())
        before = restarted.machine.pack()
        assert restarted.apply(request) == answer
        assert restarted.machine.pack() == before

    def test_another_change_under_a_used_id_is_refused(
        self, bench: Bench
    ) -> None:
        bench.apply(ChangeRequest('r', 1, Edits(set_zones=(ZONE_OUT,))))
        answer = bench.apply(ChangeRequest('r', 1, Edits()))
        assert answer.code == ResultCode.REQUEST_ID_REUSED

    def test_a_resend_after_it_was_forgotten_changes_nothing(
        self, bench: Bench
    ) -> None:
        """A change made long ago would be made once more.

        More requests than are remembered follow an accepted change, then a
        resend of it arrives that the network held back.
        """
        request = ChangeRequest('old', 1, Edits(set_zones=(ZONE_OUT,)))
        bench.apply(request)
        back = SetZone(ZoneMark('carse', out=False))
        bench.change(Edits(set_zones=(back,)))
        for number in range(MAX_ANSWERS):
            bench.apply(ChangeRequest(f'x{number}', 0, Edits()))
        assert bench.apply(request).code == ResultCode.CONFLICT
        assert not bench.machine.tables.is_zone_out('carse')

    @pytest.mark.parametrize(
        ('edits', 'met'),
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
    def test_a_bad_row_is_refused_even_by_force(
        self, bench: Bench, edits: Edits, met: str
    ) -> None:
        before = bench.machine.tables
        answer = bench.change(edits, force=True)
        assert answer.code == ResultCode.BAD_ROW
        assert met in answer.text
        assert bench.machine.tables == before

    def test_an_unknown_row_is_named(self, bench: Bench) -> None:
        for edits in (
            Edits(remove=(RemoveRow(RowName(Table.ROUTE, 'nowhere')),)),
            Edits(drain=(DrainMember('nowhere', draining=True),)),
        ):
            answer = bench.change(edits)
            assert answer.code == ResultCode.UNKNOWN_ROW
            assert 'nowhere' in answer.text

    @pytest.mark.parametrize(
        ('service', 'callers', 'usual'),
        [
            (SERVICE, '10.1.0.0/255.255.0.0', '10.1.0.0/16'),
            ('10.0.0.1:05683', '10.1.0.0/16', SERVICE),
            ('::1:5683', '::/0', '[::1]:5683'),
            ('[::1]:5683', '0.0.0.0/0', '::/0'),
            ('10.0.0.1:0', '0.0.0.0/0', 'port'),
        ],
    )
    def test_a_route_that_no_packet_meets_is_refused(
        self, bench: Bench, service: str, callers: str, usual: str
    ) -> None:
        """Two balancers send one adviser's requests to different services.

        A network is written in two forms, so that two routes with two pools
        hold the same callers; which one counts depends on the order in which
        a process got them.  A service in an unusual form, without a port or
        of another IP version than its callers is accepted and never met.
        """
        route = SetRoute(Route(service, 'sward-live', callers))
        answer = bench.change(Edits(set_routes=(route,)), force=True)
        assert answer.code == ResultCode.BAD_ROW
        assert usual in answer.text

    def test_a_missing_pool_takes_force(self, bench: Bench) -> None:
        route = SetRoute(Route('10.0.0.2:1', 'later'))
        refused = bench.change(Edits(set_routes=(route,)))
        forced = bench.change(Edits(set_routes=(route,)), force=True)
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
    def test_emptying_a_pool_in_use_takes_force(
        self, bench: Bench, edits: Edits
    ) -> None:
        refused = bench.change(edits)
        assert refused.code == ResultCode.POOL_IN_USE
        assert bench.hosts() == ['sward-1', 'sward-2']
        forced = bench.change(edits, force=True)
        assert forced.code == ResultCode.OK
        assert "'sward-live'" in forced.warnings[0]
        assert bench.hosts() == []

    def test_removing_a_pool_in_use_takes_force(self, bench: Bench) -> None:
        edits = Edits(remove=(RemoveRow(RowName(Table.POOL, 'sward-live')),))
        assert bench.change(edits).code == ResultCode.MISSING_POOL
        assert len(bench.change(edits, force=True).warnings) == 2


class TestMembers:
    """Runs of processes and the views that follow."""

    def test_the_same_run_keeps_its_incarnation(self, bench: Bench) -> None:
        first = bench.member('sward-1')
        revision = bench.machine.tables.revision
        assert bench.admit('sward-1') == first
        assert bench.machine.tables.revision == revision

    def test_another_run_gets_a_higher_one(self, bench: Bench) -> None:
        first = bench.member('sward-1')
        second = bench.admit('sward-1', boot=2)
        assert second.incarnation > first.incarnation
        bench.apply(RemoveMember('sward-1', first.incarnation))
        assert 'sward-1' in bench.machine.tables.member_by_host

    def test_a_host_not_admitted_is_kept_out(self, bench: Bench) -> None:
        member = bench.admit('cover-1')
        assert 'cover-1' not in bench.hosts()
        assert 'sward-*' in exclusion_reason(bench.machine.state, member)

    def test_a_draining_member_leaves_views_only(self, bench: Bench) -> None:
        member = bench.member('sward-1')
        bench.apply(LeaveMember('sward-1', member.incarnation))
        assert bench.hosts() == ['sward-2']
        assert bench.member('sward-1').draining

    def test_a_zone_out_leaves_views(self, bench: Bench) -> None:
        bench.change(Edits(set_zones=(ZONE_OUT,)))
        assert bench.hosts() == ['sward-2']

    def test_settling_takes_the_newest_view(self, bench: Bench) -> None:
        """A bucket would be served without asking who holds its records.

        A view is reported settled while the next one is being committed; the
        chain of the newer view must stay.
        """
        number = bench.view().number
        bench.admit('sward-3')
        bench.apply(SettleView('sward-live', number))
        assert bench.chain()[0] == number
        newest = bench.view().number
        bench.apply(SettleView('sward-live', newest))
        assert bench.chain() == []
        view = bench.view()
        assert view.number == newest

    def test_a_long_chain_ends_in_a_view_nobody_answers_for(
        self, bench: Bench
    ) -> None:
        """A bay would be reserved twice.

        A host flaps, and views change faster than they settle.  Were the
        oldest earlier view dropped, a new home would take a replay of a
        request recorded under it for a new one.
        """
        for boot in range(2, 2 * MAX_UNSETTLED_VIEWS):
            bench.admit('sward-1', boot=boot)
        view = bench.view()
        assert len(view.unsettled) == MAX_UNSETTLED_VIEWS
        latest = view.members[0].incarnation
        keeper = BucketKeeper('sward-1', latest, view.pool, MemoryStore(), 247)
        keeper.apply_view(view, 0)
        assert isinstance(keeper.status(0), Recovering)
        assert all(earlier.members for earlier in view.unsettled[:-1])


class TestDrainMarks:
    """What operators decided about a host outlives its runs."""

    @pytest.mark.parametrize('is_removed', [False, True])
    def test_a_new_run_of_a_drained_host_drains(
        self, bench: Bench, is_removed: bool
    ) -> None:
        """A server under repair gets feeds and bookings again.

        Operators drain a host.  Its agent restarts, or is silent for a lease
        and is removed; then it announces itself.  The mark stood in the row
        of the former run only, so the accepted change was undone.
        """
        mark = DrainMember('sward-1', draining=True)
        bench.change(Edits(drain=(mark,)))
        if is_removed:
            incarnation = bench.member('sward-1').incarnation
            bench.apply(RemoveMember('sward-1', incarnation))
        bench.machine.load(bench.machine.pack())
        bench.admit('sward-1', boot=2)
        assert bench.member('sward-1').draining
        assert bench.hosts() == ['sward-2']

    def test_a_mark_can_be_taken_back_while_its_host_is_away(
        self, bench: Bench
    ) -> None:
        bench.change(Edits(drain=(DrainMember('sward-1', draining=True),)))
        incarnation = bench.member('sward-1').incarnation
        bench.apply(RemoveMember('sward-1', incarnation))
        taken_back = DrainMember('sward-1', draining=False)
        answer = bench.change(Edits(drain=(taken_back,)))
        assert answer.code == ResultCode.OK
        bench.admit('sward-1', boot=2)
        assert bench.hosts() == ['sward-1', 'sward-2']

    def test_a_refused_change_leaves_no_mark(self, bench: Bench) -> None:
        marks = tuple(
            DrainMember(host, draining=True) for host in bench.hosts()
        )
        answer = bench.change(Edits(drain=marks))
        assert answer.code == ResultCode.POOL_IN_USE
        bench.admit('sward-1', boot=2)
        assert not bench.member('sward-1').draining

    def test_a_run_that_left_by_itself_leaves_no_mark(
        self, bench: Bench
    ) -> None:
        incarnation = bench.member('sward-1').incarnation
        bench.apply(LeaveMember('sward-1', incarnation))
        bench.admit('sward-1', boot=2)
        assert not bench.member('sward-1').draining


class TestDeltas:
    """What a process gets that asks for news."""

    def test_deltas_lead_to_the_same_tables(self, bench: Bench) -> None:
        copy = Tables().updated(bench.machine.update_since(0))
        bench.change(Edits(set_zones=(ZONE_OUT,)))
        bench.admit('sward-3')
        member = bench.member('sward-2')
        bench.apply(RemoveMember('sward-2', member.incarnation))
        update = bench.machine.update_since(copy.revision)
        assert update.since == copy.revision
        assert not update.pools
        assert copy.updated(update) == bench.machine.tables

    def test_too_old_a_revision_gets_a_full_copy(self, bench: Bench) -> None:
        """A node that was away for long would keep a gap.

        The replica restarts from a snapshot and does not know any more what
        changed before it; the node asks from a revision below.
        """
        copy = Tables().updated(bench.machine.update_since(0))
        bench.change(Edits(set_zones=(ZONE_OUT,)))
        bench.machine.load(bench.machine.pack())
        update = bench.machine.update_since(copy.revision)
        assert update.since == 0
        assert copy.updated(update) == bench.machine.tables

    def test_a_process_that_is_ahead_gets_no_rows(self, bench: Bench) -> None:
        """Waiting for a change to be in force fills the links to control.

        The tool asks every process with the new revision, again and again;
        each one that had not got there sent all of its tables.
        """
        bench.change(Edits(set_zones=(ZONE_OUT,)))
        ahead = bench.machine.tables.revision + 1
        update = bench.machine.update_since(ahead)
        member = TablesHistory()
        member.apply_update(bench.machine.update_since(0))
        assert member.update_since(ahead) == update
        assert update.revision == bench.machine.tables.revision
        assert not update.zones
        assert not update.pools

    def test_many_changed_rows_do_not_stop_a_control_instance(self) -> None:
        """Leaders change again and again when one cut-off node returns.

        A node has missed hundreds of changes of many rows and asks for them.
        The answer compared each row with each other one, on the loop that
        also has to send the leader's heartbeats.
        """
        state = MachineState(revision=1)
        for number in range(MANY_ROWS):
            mark = ZoneMark(f'zone-{number}', out=False)
            state.put(Table.ZONE, mark.zone, mark)
        deltas = Deltas(0)
        gone = RowName(Table.ZONE, 'gone')
        deltas.note(2, [*state.touched, gone])
        state.revision = 2
        before = time.perf_counter()
        update = deltas.since(state, 1)
        assert time.perf_counter() - before < LONGEST_STOP
        assert len(update.zones) == MANY_ROWS
        assert update.removed == (gone,)

    def test_a_change_without_effect_has_a_revision(self, bench: Bench) -> None:
        """An operator's tool would wait for ever for a change in force.

        The change sets what is already set; its answer names a revision, and
        every process has to reach it.
        """
        answer = bench.change(Edits(set_pools=(POOL,)))
        assert bench.machine.tables.revision == answer.revision
