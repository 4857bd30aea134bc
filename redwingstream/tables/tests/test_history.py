"""Tables of a process that follows: newer always, older never."""

from hypothesis import given
from hypothesis import strategies as st

from redwingstream.tables.history import KEPT_UPDATES, TablesHistory, compose
from redwingstream.tables.messages import RowName, Table, TablesUpdate
from redwingstream.tables.rows import Pool, Route, ZoneMark
from redwingstream.tables.snapshot import Tables


def zone_update(since: int, revision: int, *, out: bool) -> TablesUpdate:
    """Return an update that marks a zone."""
    mark = ZoneMark('carse', out)
    return TablesUpdate(since=since, revision=revision, zones=(mark,))


def update_at(revision: int) -> TablesUpdate:
    """Return the update from the revision before, different for each."""
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
    """Updates taken and passed on."""

    def test_a_late_older_update_does_not_bring_a_zone_back(self) -> None:
        """A zone that operators took out gets traffic again.

        Out is revision 2, in was revision 1.  The network delivers the update
        to revision 1 late, after that to revision 2.
        """
        history = TablesHistory()
        assert history.apply_update(zone_update(0, 2, out=True))
        assert not history.apply_update(zone_update(0, 1, out=False))
        assert history.tables.is_zone_out('carse')

    def test_refuses_an_update_with_a_gap_before_it(self) -> None:
        history = TablesHistory()
        history.apply_update(zone_update(0, 2, out=True))
        assert not history.apply_update(zone_update(5, 6, out=False))

    @given(
        have=st.integers(0, 30), reach=st.integers(1, 30), known=st.integers(1)
    )
    def test_passes_on_what_a_peer_is_missing(
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
        for number in range(2, KEPT_UPDATES + 10):
            history.apply_update(update_at(number))
        assert history.update_since(2).since == 0
        assert history.update_since(KEPT_UPDATES).since == KEPT_UPDATES


class TestCompose:
    """Several updates in one."""

    def test_a_row_set_after_it_was_removed_is_there(self) -> None:
        pool = Pool('maps', ('*',))
        gone = TablesUpdate(1, 2, removed=(RowName(Table.POOL, 'maps'),))
        back = TablesUpdate(2, 3, pools=(pool,))
        composed = compose(1, (gone, back))
        assert composed == TablesUpdate(1, 3, pools=(pool,))
