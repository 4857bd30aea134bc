"""Failure detection between peers, by probes on links without an answer.

A peer that has not answered since something was sent to it is probed; when the
probes stay unanswered too, it counts as silent until something is received from
it.  Safety does not depend on this: it only decides where to send, and fencing
by view number decides what takes effect.
"""

import attrs

from redwingstream.endpoints import Endpoint

PROBE_AFTER = 0.3
"""Seconds without an answer after which a peer is probed."""

SILENT_AFTER = 1.0
"""Seconds without an answer after which a peer counts as silent."""

UNUSED_TIMEOUT = 60.0
"""Seconds after the last message to a peer when its link is evicted."""

# Minimum number of seconds between two probes of one peer.
_PROBE_INTERVAL = 0.25


@attrs.define
class _Link:
    """Times of the messages to one peer, by the event loop's clock.

    Parameters
    ----------
    unanswered_since : float or None
        When the first message without an answer was sent; None when none is.
    probed_at : float
        When the peer was last probed.
    used_at : float
        When something was last sent to the peer.
    """

    unanswered_since: float | None = None
    probed_at: float = 0
    used_at: float = 0


class PeerLinks:
    """Links of one process to the peers to which it sends.

    Notes
    -----
    Guards against a link that fails for good while the peer is alive, and
    against a dead peer that the control instances have not removed yet; both
    show as packets that are not answered.  The detection is reliable because
    every peer answers a probe at once, whatever its load.
    """

    def __init__(self) -> None:
        self._link_by_peer: dict[Endpoint, _Link] = {}

    def record_sent(self, peer: Endpoint, now: float) -> None:
        """Record that something that needs an answer was sent to a peer."""
        link = self._link_by_peer.setdefault(peer, _Link())
        link.used_at = now
        if link.unanswered_since is None:
            link.unanswered_since = now

    def record_heard(self, peer: Endpoint) -> None:
        """Record that something was received from a peer."""
        link = self._link_by_peer.get(peer)
        if link is not None:
            link.unanswered_since = None

    def is_silent(self, peer: Endpoint, now: float) -> bool:
        """Whether a peer has not answered for ``SILENT_AFTER`` seconds."""
        link = self._link_by_peer.get(peer)
        if link is None or link.unanswered_since is None:
            return False
        return now - link.unanswered_since > SILENT_AFTER

    def due_probes(self, now: float) -> list[Endpoint]:
        """Return the peers to probe now, and evict unused links."""
        due = []
        for peer, link in list(self._link_by_peer.items()):
            if now - link.used_at > UNUSED_TIMEOUT:
                self._link_by_peer.pop(peer)
            elif _is_due(link, now):
                link.probed_at = now
                due.append(peer)
        return due


def _is_due(link: _Link, now: float) -> bool:
    if link.unanswered_since is None:
        return False
    is_waiting = now - link.unanswered_since > PROBE_AFTER
    return is_waiting and now - link.probed_at >= _PROBE_INTERVAL
