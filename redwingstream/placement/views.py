"""Home and heir of each bucket in a view and in its unsettled earlier views."""

import attrs

from redwingstream.placement.rendezvous import Pair, PairTable
from redwingstream.tables.rows import PoolView, ViewMember


@attrs.frozen
class Identity:
    """One admitted run of an agent.

    Parameters
    ----------
    host : str
        Name of its host.
    incarnation : int
        Incarnation of the agent; another incarnation of the same host has none
        of the contents of this one.
    """

    host: str
    incarnation: int

    def is_run_of(self, member: ViewMember | None) -> bool:
        """Whether a member of a view is this incarnation."""
        if member is None or member.host != self.host:
            return False
        return member.incarnation == self.incarnation

    def is_in(self, pair: Pair) -> bool:
        """Whether this incarnation is home or heir."""
        return self.is_run_of(pair.home) or self.is_run_of(pair.heir)


class ViewPairs:
    """Pairs of home and heir in a committed view and its unsettled views.

    Parameters
    ----------
    view : PoolView
        The committed view.
    former : ViewPairs, optional
        Pairs of the view before; its tables are reused where views coincide.
    """

    def __init__(
        self, view: PoolView, former: 'ViewPairs | None' = None
    ) -> None:
        self.view = view
        known = {} if former is None else former.table_by_number()
        self._newest_table = known.get(view.number) or PairTable.from_view(view)
        self._earlier_table_by_number = {
            earlier.number: known.get(earlier.number)
            or PairTable(earlier.members, view.pool)
            for earlier in view.unsettled
        }
        self._incarnation_by_host = {
            member.host: member.incarnation for member in view.members
        }

    def table_by_number(self) -> dict[int, PairTable]:
        """Return the tables of the view and its unsettled views by number."""
        return {
            **self._earlier_table_by_number,
            self.view.number: self._newest_table,
        }

    def newest_pair(self, bucket: int) -> Pair:
        """Return home and heir of a bucket in the committed view."""
        return self._newest_table.pair(bucket)

    def earlier_pairs(self, bucket: int) -> dict[int, Pair]:
        """Return the bucket's pairs in the unsettled views, by view number."""
        return {
            number: table.pair(bucket)
            for number, table in self._earlier_table_by_number.items()
        }

    def earlier_views_with(self, bucket: int, run: Identity) -> set[int]:
        """Return the numbers of unsettled views with `run` as home or heir."""
        return {
            number
            for number, pair in self.earlier_pairs(bucket).items()
            if run.is_in(pair)
        }

    def earlier_numbers(self) -> frozenset[int]:
        """Return the numbers of the unsettled views."""
        return frozenset(self._earlier_table_by_number)

    def possibly_alive(self, pair: Pair) -> tuple[ViewMember, ...]:
        """Return the members of a pair that are not known to have ended.

        An incarnation has ended when the committed view has a later incarnation
        of the same host.
        """
        return tuple(
            member
            for member in pair.members()
            if self._incarnation_by_host.get(member.host, 0)
            <= member.incarnation
        )
