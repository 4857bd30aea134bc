"""Which control instances a hello names."""

from redwingstream.directory.controls import (
    HELLO_EVERY,
    NAMED_EVERY,
    NAMED_FOR,
    Controls,
)
from redwingstream.directory.messages import ControlHello
from redwingstream.packets.flow import Address

OWN = Address(101)
OTHER = Address(102)


def _hello(sender: Address) -> ControlHello:
    return ControlHello(sender, 1, 'north', None, is_fresh=False)


class TestNaming:
    """Hellos name the running instances when somebody may need it."""

    def test_after_a_change(self) -> None:
        controls = Controls(OWN, ())
        controls.hear(_hello(OTHER), 0)
        assert controls.to_name(0) == (OWN, OTHER)
        assert controls.to_name(NAMED_FOR / 10) == (OWN, OTHER)

    def test_now_and_then_while_nothing_changes(self) -> None:
        """Guards against an instance that missed the hellos with names."""
        controls = Controls(OWN, ())
        named = []
        for number in range(4 * NAMED_EVERY):
            now = number * HELLO_EVERY
            controls.hear(_hello(OTHER), now)
            named.append((now, bool(controls.to_name(now))))
        later = [has_names for now, has_names in named if now > NAMED_FOR]
        assert 0 < later.count(True) <= len(later) // NAMED_EVERY + 1
