"""Values that a majority has reached, also while the group changes.

A change of the group takes two entries, as joint consensus does.  From the
first entry on, votes, entries and reads need a majority of the group before
the change and one of the group after it.  The second entry ends this; it is
appended once the first one is committed.  Any two majorities that decide
something share a replica.  The group never tolerates fewer losses than its
size allows, since the replaced replica still helps to commit the change.
"""

from collections.abc import Iterable, Mapping

from redwingstream.consensus.messages import Voter

UNREACHED = float('-inf')
"""Value of a replica that was not heard."""


def quorum_value(
    groups: Iterable[tuple[Voter, ...]], reached: Mapping[Voter, float]
) -> float:
    """Return the highest value that a majority of each group has reached.

    Parameters
    ----------
    groups : iterable of tuple of Voter
        Groups that have to agree.
    reached : mapping
        Index, round or time in seconds of each replica that was heard.

    Returns
    -------
    float
        ``UNREACHED`` when some group has no majority among those heard.
    """
    return min(_majority_value(group, reached) for group in groups)


def _majority_value(
    group: tuple[Voter, ...], reached: Mapping[Voter, float]
) -> float:
    ascending = sorted(reached.get(voter, UNREACHED) for voter in group)
    return ascending[(len(ascending) - 1) // 2]
