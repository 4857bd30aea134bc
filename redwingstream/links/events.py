"""Log events of the link scheduler."""

from redwingstream.eventlog.lines import event


@event
class LinkFull:
    """The link of this instance became full.

    Parameters
    ----------
    reason : str
        Whether urgent packets exceed its rate or bulk packets wait too long.
    """

    reason: str


@event
class LinkHasCapacity:
    """The link of this instance has capacity again.

    Parameters
    ----------
    full_for : float
        Seconds from the first to the last time at which it was full.
    """

    full_for: float
