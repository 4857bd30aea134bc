"""Control instances that run, and the choice of the first replica group."""

from collections.abc import Iterable

import attrs

from redwingstream.consensus.events import Peer
from redwingstream.consensus.messages import Voter
from redwingstream.directory.messages import ControlHello, ReplicaName
from redwingstream.packets.flow import Address

HELLO_INTERVAL = 0.4
"""Seconds between two hellos to the same control instance."""

RUNNING_TIMEOUT = 1.6
"""Seconds after a hello for which its sender counts as running; three hellos
may be lost."""

EVICT_AFTER = 20
"""Seconds for which a control instance that is no longer heard is still sent
hellos, so that both sides of a network partition find each other again when it
heals."""

FOUNDING_WAIT = 1.5
"""Seconds without a new control instance after which the first group is
chosen. All start within 0.3 s of each other; a slow instance needs 1 s to
start."""

ANNOUNCE_SECONDS = 3.0
"""Seconds after a change of the running control instances for which each hello
names all of them."""

ANNOUNCE_EVERY = 5
"""While nothing changes, one in this many hellos names the running
instances."""

MAX_CONTROLS = 64
"""Maximum number of control instances that are kept; a deployment reserves 8
instances for control."""


@attrs.define
class _Peer:
    """Last hello of another control instance; None before the first one."""

    hello: ControlHello | None
    heard_at: float
    named_at: float


class ControlDirectory:
    """The control instances that one of them knows.

    Parameters
    ----------
    own_address : Address
        Address of this control instance.
    seeds : iterable of Address
        Control instances that the settings name.
    """

    def __init__(self, own_address: Address, seeds: Iterable[Address]) -> None:
        self._own_address = own_address
        self._seeds = tuple(seeds)
        self._peer_by_address: dict[Address, _Peer] = {}
        self._last_joined_at = float('-inf')
        self._founders: tuple[ReplicaName, ...] = ()
        self._last_running: tuple[Address, ...] = ()
        self._running_changed_at = float('-inf')
        self._hello_count = 0

    def apply_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the control instances that the settings name."""
        self._seeds = tuple(seeds)

    def handle_hello(self, hello: ControlHello, now: float) -> None:
        """Record that the sender of a hello runs, and whom it names."""
        sender = Address(hello.sender)
        peer = self._peer_by_address.get(sender)
        if peer is None or peer.hello is None:
            self._last_joined_at = now
        if len(self._peer_by_address) < MAX_CONTROLS or peer is not None:
            self._peer_by_address[sender] = _Peer(hello, now, now)
        for address in map(Address, hello.controls):
            self._record_named(address, now)

    def record_named(self, addresses: Iterable[Address], now: float) -> None:
        """Record control instances that another source has named.

        They are sent hellos, but count as running only when they send one.
        """
        for address in addresses:
            self._record_named(address, now)

    def hello_targets(self, now: float) -> tuple[Address, ...]:
        """Return the addresses to send a hello to; evict expired ones."""
        for address, peer in tuple(self._peer_by_address.items()):
            if now - max(peer.heard_at, peer.named_at) > EVICT_AFTER:
                self._peer_by_address.pop(address)
        wanted = {*self._seeds, *self._peer_by_address} - {self._own_address}
        return tuple(sorted(wanted))

    def running(self, now: float) -> tuple[Address, ...]:
        """Return the control instances that run, this one first."""
        heard = [Address(hello.sender) for hello in self._recent_hellos(now)]
        return (self._own_address, *sorted(heard))

    def addresses_to_announce(self, now: float) -> tuple[Address, ...]:
        """Return the control instances that the next hello names, if any."""
        self._hello_count += 1
        running = self.running(now)
        if running != self._last_running:
            self._last_running = running
            self._running_changed_at = now
        has_changed = now - self._running_changed_at <= ANNOUNCE_SECONDS
        is_turn = self._hello_count % ANNOUNCE_EVERY == 0
        return running if has_changed or is_turn else ()

    def peers(self, now: float) -> tuple[Peer, ...]:
        """Return the replicas that run on other instances."""
        return tuple(
            Peer(Voter(hello.replica.name, hello.replica.identity), hello.zone)
            for hello in self._recent_hellos(now)
            if hello.replica is not None
        )

    def choose_founders(
        self, own_hello: ControlHello, size: int, now: float
    ) -> tuple[ReplicaName, ...]:
        """Choose the first replica group, if this instance is to choose it.

        Parameters
        ----------
        own_hello : ControlHello
            The hello of this instance.
        size : int
            Number of voting replicas in the group.
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        tuple of ReplicaName
            The first group; empty when another instance chooses it, or while
            the others have not all been heard.

        Notes
        -----
        All instances are configured with the same seeds at the first start.
        The one with the lowest address chooses, once, after it has heard all
        the others.
        """
        if self._founders or not self._may_choose(own_hello, now):
            return self._founders
        fresh = [
            hello
            for hello in (own_hello, *self._recent_hellos(now))
            if hello.is_fresh and hello.replica is not None
        ]
        self._founders = _spread_over_zones(fresh, size)
        return self._founders

    def _may_choose(self, own_hello: ControlHello, now: float) -> bool:
        if not self._seeds or self._own_address != min(self._seeds):
            return False
        heard = {Address(hello.sender) for hello in self._recent_hellos(now)}
        all_seeds = set(self._seeds) <= heard | {self._own_address}
        waited = now - self._last_joined_at >= FOUNDING_WAIT
        has_replica = own_hello.replica is not None
        return all_seeds and waited and (own_hello.is_fresh or not has_replica)

    def _recent_hellos(self, now: float) -> list[ControlHello]:
        return [
            peer.hello
            for peer in self._peer_by_address.values()
            if peer.hello is not None and now - peer.heard_at <= RUNNING_TIMEOUT
        ]

    def _record_named(self, address: Address, now: float) -> None:
        if address == self._own_address:
            return
        peer = self._peer_by_address.get(address)
        if peer is not None:
            peer.named_at = now
        elif len(self._peer_by_address) < MAX_CONTROLS:
            self._peer_by_address[address] = _Peer(None, float('-inf'), now)


def _spread_over_zones(
    hellos: Iterable[ControlHello], size: int
) -> tuple[ReplicaName, ...]:
    replicas_by_zone: dict[str, list[ReplicaName]] = {}
    for hello in sorted(hellos, key=lambda hello: hello.sender):
        if hello.replica is not None:
            replicas_by_zone.setdefault(hello.zone, []).append(hello.replica)
    chosen: list[ReplicaName] = []
    while replicas_by_zone and len(chosen) < size:
        for zone in sorted(replicas_by_zone):
            chosen.append(replicas_by_zone[zone].pop(0))
            if not replicas_by_zone[zone]:
                replicas_by_zone.pop(zone)
    return tuple(chosen[:size])
