"""Which peers have gone silent: probes on links that should be heard from.

A peer that was sent something and has been silent since is probed; when the
probes stay unanswered too it counts as silent until it is heard again.  No
promise hangs on this: it only decides where to send, and fencing by view number
decides what takes effect.
"""

import attrs

from redwingstream.endpoints import Endpoint

PROBE_AFTER = 0.3
"""Seconds without a reaction after which a peer is probed."""

SILENT_AFTER = 1.0
"""Seconds without a reaction after which a peer counts as silent."""

FORGOTTEN_AFTER = 60.0
"""Seconds after which a peer that nothing was sent to is forgotten."""

# Seconds between two probes of one peer.
_PROBE_INTERVAL = 0.25


@attrs.define
class _Link:
    """When a peer was first sent something that it has not reacted to."""

    waiting_since: float | None = None
    probed_at: float = 0
    used_at: float = 0


class PeerLinks:
    """The links of one process to the peers that it sends to.

    Notes
    -----
    Guards against a link that goes silent for good while the peer lives, and
    against a dead peer that control has not removed yet.  It shows as packets
    that nobody answers.  The guard holds because every peer answers a probe at
    once, whatever else it has to do.
    """

    def __init__(self) -> None:
        self._link_by_peer: dict[Endpoint, _Link] = {}

    def record_sent(self, peer: Endpoint, now: float) -> None:
        """Note that a peer was sent something that it should react to."""
        link = self._link_by_peer.setdefault(peer, _Link())
        link.used_at = now
        if link.waiting_since is None:
            link.waiting_since = now

    def record_heard(self, peer: Endpoint) -> None:
        """Note that a peer was heard from."""
        link = self._link_by_peer.get(peer)
        if link is not None:
            link.waiting_since = None

    def is_silent(self, peer: Endpoint, now: float) -> bool:
        """Whether a peer has not reacted for ``SILENT_AFTER`` seconds."""
        link = self._link_by_peer.get(peer)
        if link is None or link.waiting_since is None:
            return False
        return now - link.waiting_since > SILENT_AFTER

    def due_probes(self, now: float) -> list[Endpoint]:
        """Return the peers to probe now, and forget the unused ones."""
        due = []
        for peer, link in list(self._link_by_peer.items()):
            if now - link.used_at > FORGOTTEN_AFTER:
                self._link_by_peer.pop(peer)
            elif _is_due(link, now):
                link.probed_at = now
                due.append(peer)
        return due


def _is_due(link: _Link, now: float) -> bool:
    if link.waiting_since is None:
        return False
    is_waiting = now - link.waiting_since > PROBE_AFTER
    return is_waiting and now - link.probed_at >= _PROBE_INTERVAL
