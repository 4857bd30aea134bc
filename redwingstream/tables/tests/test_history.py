"""Tables of a follower: it applies newer updates and ignores older ones."""

from hypothesis import given
from hypothesis import strategies as st

from redwingstream.tables.history import (
    MAX_KEPT_UPDATES,
    TablesHistory,
    merge_updates,
)
from redwingstream.tables.messages import RowName, Table, TablesUpdate
from redwingstream.tables.rows import Pool, Route, ZoneMark
from redwingstream.tables.snapshot import Tables


def zone_update(since: int, revision: int, *, out: bool) -> TablesUpdate:
    """Return an update that takes a zone out of service or puts it back."""
    mark = ZoneMark('carse', out)
    return TablesUpdate(since=since, revision=revision, zones=(mark,))


def update_at(revision: int) -> TablesUpdate:
    """Return the update from the previous revision, different for each."""
    route = Route(f'127.0.0.1:{1 + revision % 5}', f'pool-{revision}')
    pool = Pool(f'pool-{revision}', ('*',))
    former = RowName(Table.POOL, f'pool-{revision - 2}')
    return TablesUpdate(
        since=revision - 1,
        revision=revision,
        routes=(route,),
        pools=(pool,),
        removed=(former,),
    )


def tables_at(revision: int) -> Tables:
    """Return the tables after all updates up to a revision."""
    tables = Tables()
    for number in range(1, revision + 1):
        update = update_at(number)
        if number == 1:
            update = TablesUpdate(0, 1, update.routes, update.pools)
        tables = tables.updated(update)
    return tables


class TestTablesHistory:
    """Updates that are applied and sent to peers."""

    def test_delayed_older_update_does_not_put_a_zone_back(self) -> None:
        """A zone that operators have taken out must not get traffic again.

        The zone is in service at revision 1 and out at revision 2.  The network
        delivers the update to revision 1 after the one to revision 2.
        """
        history = TablesHistory()
        assert history.apply_update(zone_update(0, 2, out=True))
        assert not history.apply_update(zone_update(0, 1, out=False))
        assert history.tables.is_zone_out('carse')

    def test_ignores_an_update_after_a_gap(self) -> None:
        history = TablesHistory()
        history.apply_update(zone_update(0, 2, out=True))
        assert not history.apply_update(zone_update(5, 6, out=False))

    @given(
        have=st.integers(0, 30), reach=st.integers(1, 30), known=st.integers(1)
    )
    def test_sends_a_peer_the_changes_that_it_lacks(
        self, have: int, reach: int, known: int
    ) -> None:
        start = min(known, reach)
        history = TablesHistory()
        history.apply_update(tables_at(start).as_update())
        for number in range(start + 1, reach + 1):
            history.apply_update(update_at(number))
        peer = tables_at(min(have, reach))
        update = history.update_since(peer.revision)
        assert peer.updated(update) == tables_at(reach)

    def test_keeps_a_bounded_number_of_updates(self) -> None:
        history = TablesHistory()
        history.apply_update(tables_at(1).as_update())
        for number in range(2, MAX_KEPT_UPDATES + 10):
            history.apply_update(update_at(number))
        assert history.update_since(2).since == 0
        assert history.update_since(MAX_KEPT_UPDATES).since == MAX_KEPT_UPDATES


class TestMergeUpdates:
    """Several updates are merged into one."""

    def test_a_row_set_after_its_removal_is_present(self) -> None:
        pool = Pool('maps', ('*',))
        removal = TablesUpdate(1, 2, removed=(RowName(Table.POOL, 'maps'),))
        addition = TablesUpdate(2, 3, pools=(pool,))
        merged = merge_updates(1, (removal, addition))
        assert merged == TablesUpdate(1, 3, pools=(pool,))
