"""Control instances that a hello names."""

from redwingstream.directory.control_directory import (
    ANNOUNCE_EVERY,
    ANNOUNCE_SECONDS,
    HELLO_INTERVAL,
    ControlDirectory,
)
from redwingstream.directory.messages import ControlHello
from redwingstream.packets.flow import Address

OWN = Address(101)
OTHER = Address(102)


def _hello(sender: Address) -> ControlHello:
    return ControlHello(sender, 1, 'north', None, is_fresh=False)


class TestAnnouncement:
    """Hellos name the running instances when others may not know them."""

    def test_after_a_change(self) -> None:
        controls = ControlDirectory(OWN, ())
        controls.handle_hello(_hello(OTHER), 0)
        assert controls.addresses_to_announce(0) == (OWN, OTHER)
        assert controls.addresses_to_announce(ANNOUNCE_SECONDS / 10) == (
            OWN,
            OTHER,
        )

    def test_periodic_while_nothing_changes(self) -> None:
        """Guards against an instance that missed the hellos with names."""
        controls = ControlDirectory(OWN, ())
        named = []
        for number in range(4 * ANNOUNCE_EVERY):
            now = number * HELLO_INTERVAL
            controls.handle_hello(_hello(OTHER), now)
            named.append((now, bool(controls.addresses_to_announce(now))))
        later = [
            has_names for now, has_names in named if now > ANNOUNCE_SECONDS
        ]
        assert 0 < later.count(True) <= len(later) // ANNOUNCE_EVERY + 1
