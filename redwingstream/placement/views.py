"""Home and heir of each bucket in a view and in those not yet settled."""

import attrs

from redwingstream.placement.rendezvous import Pair, PairTable
from redwingstream.tables.rows import PoolView, ViewMember


@attrs.frozen
class Identity:
    """One run of an agent.

    Parameters
    ----------
    host : str
        Name of its host.
    incarnation : int
        Which run; another run of the same host remembers nothing of this one.
    """

    host: str
    incarnation: int

    def is_run_of(self, member: ViewMember | None) -> bool:
        """Whether a member of a view is this run."""
        if member is None or member.host != self.host:
            return False
        return member.incarnation == self.incarnation

    def is_in(self, pair: Pair) -> bool:
        """Whether this run is home or heir."""
        return self.is_run_of(pair.home) or self.is_run_of(pair.heir)


class ViewPairs:
    """The pairs of a committed view and of its unsettled earlier views.

    Parameters
    ----------
    view : PoolView
        The committed view.
    former : ViewPairs, optional
        Those of the view before; tables that it has are not computed again.
    """

    def __init__(
        self, view: PoolView, former: 'ViewPairs | None' = None
    ) -> None:
        self.view = view
        known = {} if former is None else former.table_by_number()
        self._newest = known.get(view.number) or PairTable.from_view(view)
        self._earlier_by_number = {
            earlier.number: known.get(earlier.number)
            or PairTable(earlier.members, view.pool)
            for earlier in view.unsettled
        }
        self._run_by_host = {
            member.host: member.incarnation for member in view.members
        }

    def table_by_number(self) -> dict[int, PairTable]:
        """Return the tables of all views that are known here."""
        return {**self._earlier_by_number, self.view.number: self._newest}

    def newest(self, bucket: int) -> Pair:
        """Return home and heir of a bucket in the view itself."""
        return self._newest.pair(bucket)

    def earlier(self, bucket: int) -> dict[int, Pair]:
        """Return the bucket's pairs in the unsettled views by number."""
        return {
            number: table.pair(bucket)
            for number, table in self._earlier_by_number.items()
        }

    def earlier_of(self, bucket: int, run: Identity) -> set[int]:
        """Return the unsettled views in which a run is home or heir."""
        return {
            number
            for number, pair in self.earlier(bucket).items()
            if run.is_in(pair)
        }

    def earlier_numbers(self) -> frozenset[int]:
        """Return the numbers of the unsettled views."""
        return frozenset(self._earlier_by_number)

    def living(self, pair: Pair) -> tuple[ViewMember, ...]:
        """Return those of a pair whose run is not known to have ended.

        A member of the view with a later incarnation of the same host shows
        that the former run is gone.
        """
        return tuple(
            member
            for member in pair.members()
            if self._run_by_host.get(member.host, 0) <= member.incarnation
        )
