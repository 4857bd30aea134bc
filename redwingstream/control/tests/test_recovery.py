"""Recovery of a single replica: refusal without confirmation, and result."""

import pathlib

import pytest

from redwingstream.consensus.events import HardState
from redwingstream.consensus.messages import Entry, Snapshot, Voter
from redwingstream.control.recovery import INDEX_JUMP, recover_single_replica
from redwingstream.control.settings import ControlSettings
from redwingstream.endpoints import Endpoint
from redwingstream.errors import SettingError
from redwingstream.placement.effects import InEffect, Recovering
from redwingstream.placement.keeper import BucketKeeper
from redwingstream.placement.tests.fakes import MemoryStore
from redwingstream.storage.disk import open_folder
from redwingstream.storage.store import LoadedState, ReplicaStore
from redwingstream.tables.edits import (
    ChangeRequest,
    Edits,
    SetPool,
    SetZone,
)
from redwingstream.tables.machine.messages import AdmitMember
from redwingstream.tables.machine.state_machine import StateMachine
from redwingstream.tables.rows import Pool, Role, ZoneMark
from redwingstream.wire import messages

ENDPOINT = Endpoint('10.0.1.1', 7000)
COMMANDS = (
    ChangeRequest(
        'r1',
        0,
        Edits(
            set_pools=(SetPool(Pool('sward-live', ('sward-*',))),),
            set_zones=(SetZone(ZoneMark('maipu', out=True)),),
        ),
    ),
    AdmitMember(
        'sward-1', Role.AGENT, '10.0.3.1:7000', 'carse', 'sward-live', 100, 7
    ),
)


@pytest.fixture
def settings(tmp_path: pathlib.Path) -> ControlSettings:
    """Settings of a replica whose folder holds two entries of term 3."""
    entries = [
        Entry(index, 3, *messages.encode(command))
        for index, command in enumerate(COMMANDS, start=1)
    ]
    group = tuple(Voter(f'10.0.1.{number}:7000', number) for number in (1, 2))
    with open_folder(tmp_path) as folder:
        store = ReplicaStore(folder)
        store.load(lambda: 1)
        hard_state = HardState(3, '')
        store.save_snapshot(Snapshot(0, 0, group, b''), hard_state, entries)
    return ControlSettings('c1', ENDPOINT, 'carse', tmp_path, (ENDPOINT,), b'')


def load(settings: ControlSettings) -> LoadedState:
    """Return what the folder holds now."""
    with open_folder(settings.data_folder) as folder:
        return ReplicaStore(folder).load(int)


class TestRecoverSingleReplica:
    """Recovery from the data folder of one replica."""

    @pytest.mark.parametrize('confirmed', [None, 0, 2])
    def test_reports_first_what_may_be_lost(self, settings, confirmed) -> None:
        """An operator must not lose changes without having confirmed it.

        Without a matching confirmation nothing is changed.  The error names
        the last revision in the folder, the zones out of service, and the
        option that confirms.
        """
        before = load(settings)
        with pytest.raises(SettingError, match='maipu') as caught:
            recover_single_replica(settings, confirmed)
        assert '--lose-changes-after 1;' in str(caught.value)
        assert load(settings) == before

    def test_continues_with_much_higher_numbers(self, settings) -> None:
        """Balancers must not keep lost tables after a recovery.

        They may have applied revisions that the surviving replica has never
        seen.  Its tables would look older to them, and agents would fence its
        views.
        """
        recovered = recover_single_replica(settings, 1)
        assert (
            recovered.revision == recovered.config_revision == recovered.index
        )
        assert recovered.index == 2 + INDEX_JUMP
        loaded = load(settings)
        assert loaded.hard_state == HardState(4, '')
        assert loaded.snapshot.group == (Voter(str(ENDPOINT), 1),)
        assert not loaded.entries

    def test_views_follow_an_unknown_earlier_view(self, settings) -> None:
        """A replayed request must not run again after a recovery.

        Its bucket moved under a view that was lost.  The new home asks the
        home and heir of the last known view, and would conclude that it has
        every record.  An earlier view whose member cannot be reached stands
        for the lost ones, so that homes treat possible replays as replays.
        """
        recover_single_replica(settings, 1)
        machine = StateMachine()
        machine.load(load(settings).snapshot.state)
        view = machine.state.view_by_pool['sward-live']
        assert view.number == 2 + INDEX_JUMP
        keeper = BucketKeeper('sward-1', 2, view.pool, MemoryStore(), 247)
        keeper.apply_view(view, 0)
        for second in range(247):
            keeper.tick(second)
        assert isinstance(keeper.status(0), Recovering)
        for second in range(247, 250):
            keeper.tick(second)
        assert isinstance(keeper.status(0), InEffect)
        latest = view.unsettled[1]
        assert latest.number == 2
        assert latest.members == view.members
