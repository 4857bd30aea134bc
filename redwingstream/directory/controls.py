"""Which control instances run, and how the first group is chosen."""

from collections.abc import Iterable

import attrs

from redwingstream.consensus.events import Peer
from redwingstream.consensus.messages import Voter
from redwingstream.directory.messages import ControlHello, ReplicaName
from redwingstream.packets.flow import Address

HELLO_EVERY = 0.4
"""Seconds between two hellos to the same control instance."""

RUNS_FOR = 1.6
"""Seconds after a hello for which its sender counts as running; three of them
may be lost."""

ASKED_FOR = 20
"""Seconds for which a control instance that is not heard any more is still sent
hellos, so that both ends of a cut find each other again when it heals."""

FOUNDING_WAIT = 1.5
"""Seconds without a new control instance after which the first group is chosen.
All start within 0.3 s of each other; a slow one needs a second to start."""

NAMED_FOR = 3.0
"""Seconds after a change among the running control instances for which each
hello names all of them."""

NAMED_EVERY = 5
"""Otherwise each so many hellos do."""

MAX_CONTROLS = 64
"""Control instances that are remembered; 8 are set aside for control."""


@attrs.define
class _Known:
    hello: ControlHello | None
    heard_at: float
    named_at: float


class Controls:
    """The control instances that one of them knows.

    Parameters
    ----------
    own : Address
        Its own address.
    seeds : iterable of Address
        Control instances that the settings name.
    """

    def __init__(self, own: Address, seeds: Iterable[Address]) -> None:
        self._own = own
        self._seeds = tuple(seeds)
        self._known_by_address: dict[Address, _Known] = {}
        self._grew_at = float('-inf')
        self._founding: tuple[ReplicaName, ...] = ()
        self._named: tuple[Address, ...] = ()
        self._named_since = float('-inf')
        self._hellos = 0

    def follow_seeds(self, seeds: Iterable[Address]) -> None:
        """Take the control instances that the settings name now."""
        self._seeds = tuple(seeds)

    def hear(self, hello: ControlHello, now: float) -> None:
        """Take a hello."""
        sender = Address(hello.sender)
        known = self._known_by_address.get(sender)
        if known is None or known.hello is None:
            self._grew_at = now
        if len(self._known_by_address) < MAX_CONTROLS or known is not None:
            self._known_by_address[sender] = _Known(hello, now, now)
        for address in map(Address, hello.controls):
            self._name(address, now)

    def name(self, addresses: Iterable[Address], now: float) -> None:
        """Take note of control instances that somebody has named."""
        for address in addresses:
            self._name(address, now)

    def targets(self, now: float) -> tuple[Address, ...]:
        """Return whom to send a hello."""
        for address, known in tuple(self._known_by_address.items()):
            if now - max(known.heard_at, known.named_at) > ASKED_FOR:
                self._known_by_address.pop(address)
        wanted = {*self._seeds, *self._known_by_address} - {self._own}
        return tuple(sorted(wanted))

    def running(self, now: float) -> tuple[Address, ...]:
        """Return the control instances that run, this one included."""
        heard = [Address(hello.sender) for hello in self._lately(now)]
        return (self._own, *sorted(heard))

    def to_name(self, now: float) -> tuple[Address, ...]:
        """Return the control instances that the next hello names, if any."""
        self._hellos += 1
        running = self.running(now)
        if running != self._named:
            self._named = running
            self._named_since = now
        has_changed = now - self._named_since <= NAMED_FOR
        is_turn = self._hellos % NAMED_EVERY == 0
        return running if has_changed or is_turn else ()

    def peers(self, now: float) -> tuple[Peer, ...]:
        """Return the replicas that run on other instances."""
        return tuple(
            Peer(Voter(hello.replica.name, hello.replica.identity), hello.zone)
            for hello in self._lately(now)
            if hello.replica is not None
        )

    def choose_founders(
        self, own: ControlHello, size: int, now: float
    ) -> tuple[ReplicaName, ...]:
        """Choose the first group, if that is this instance's to do.

        Parameters
        ----------
        own : ControlHello
            What this instance says of itself.
        size : int
            How many replicas count.
        now : float
            The time in seconds.

        Returns
        -------
        tuple of ReplicaName
            The first group; empty when it is not to be chosen here, or not
            yet.

        Notes
        -----
        All instances are given the same seeds at the first start, and the
        first of them chooses, once, after it has heard all the others.
        """
        if self._founding or not self._may_choose(own, now):
            return self._founding
        fresh = [
            hello
            for hello in (own, *self._lately(now))
            if hello.is_fresh and hello.replica is not None
        ]
        self._founding = _spread_over_zones(fresh, size)
        return self._founding

    def _may_choose(self, own: ControlHello, now: float) -> bool:
        if not self._seeds or self._own != min(self._seeds):
            return False
        heard = {Address(hello.sender) for hello in self._lately(now)}
        all_seeds = set(self._seeds) <= heard | {self._own}
        waited = now - self._grew_at >= FOUNDING_WAIT
        has_replica = own.replica is not None
        return all_seeds and waited and (own.is_fresh or not has_replica)

    def _lately(self, now: float) -> list[ControlHello]:
        return [
            known.hello
            for known in self._known_by_address.values()
            if known.hello is not None and now - known.heard_at <= RUNS_FOR
        ]

    def _name(self, address: Address, now: float) -> None:
        if address == self._own:
            return
        known = self._known_by_address.get(address)
        if known is not None:
            known.named_at = now
        elif len(self._known_by_address) < MAX_CONTROLS:
            self._known_by_address[address] = _Known(None, float('-inf'), now)


def _spread_over_zones(
    hellos: Iterable[ControlHello], size: int
) -> tuple[ReplicaName, ...]:
    by_zone: dict[str, list[ReplicaName]] = {}
    for hello in sorted(hellos, key=lambda hello: hello.sender):
        if hello.replica is not None:
            by_zone.setdefault(hello.zone, []).append(hello.replica)
    chosen: list[ReplicaName] = []
    while by_zone and len(chosen) < size:
        for zone in sorted(by_zone):
            chosen.append(by_zone[zone].pop(0))
            if not by_zone[zone]:
                by_zone.pop(zone)
    return tuple(chosen[:size])
