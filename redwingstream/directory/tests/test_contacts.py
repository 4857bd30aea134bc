"""Selection of sources and backoff of unanswered inquiries."""

import pytest

from redwingstream.directory.contacts import (
    EVICT_AFTER,
    FIRST_PAUSE,
    MAX_BACKOFF_FACTOR,
    SOURCE_COUNT,
    UNRESPONSIVE_AFTER,
    Contacts,
)
from redwingstream.packets.flow import Address

CONTROLS = tuple(map(Address, range(101, 113)))


@pytest.fixture
def contacts() -> Contacts:
    return Contacts(CONTROLS, 0, salt=7)


class TestSources:
    """The control instances that agents' records are read from."""

    @pytest.mark.parametrize('number', [1, 2, 3, 12])
    def test_are_limited_in_number(self, number) -> None:
        contacts = Contacts(CONTROLS[:number], 0, salt=7)
        assert len(contacts.sources()) == min(number, SOURCE_COUNT)

    def test_are_stable_while_they_answer(self, contacts) -> None:
        """Guards against repeated full reads of the records."""
        before = contacts.sources()
        for address in before:
            contacts.contact_by_address[address].record_inquiry(1)
            contacts.contact_by_address[address].record_answer(0.4, 1)
        contacts.record_running(Address(999), 2)
        assert len(before & contacts.sources()) >= SOURCE_COUNT - 1

    def test_unresponsive_one_is_replaced(self, contacts) -> None:
        """Guards against a stale view while other instances run."""
        lost = min(contacts.sources())
        for _ in range(UNRESPONSIVE_AFTER):
            contacts.contact_by_address[lost].record_inquiry(1)
        assert lost not in contacts.sources()
        assert len(contacts.sources()) == SOURCE_COUNT
        contacts.contact_by_address[lost].record_answer(0.4, 2)
        assert lost in contacts.sources()

    def test_are_selected_when_none_responds(self, contacts) -> None:
        for contact in contacts.contact_by_address.values():
            for _ in range(UNRESPONSIVE_AFTER):
                contact.record_inquiry(1)
        assert len(contacts.sources()) == SOURCE_COUNT
        assert not contacts.responsive(contacts.sources())


class TestBackoff:
    """Pauses between unanswered inquiries to a control instance."""

    def test_doubles_up_to_the_maximum(self, contacts) -> None:
        """Guards against saturating the link of a restarted instance."""
        contact = contacts.contact_by_address[CONTROLS[0]]
        pauses = []
        for _ in range(9):
            contact.record_inquiry(0)
            pauses.append(contact.due_at / FIRST_PAUSE)
        assert pauses[:5] == [1, 1, 1, 1, 2]
        assert set(pauses[5:]) == {MAX_BACKOFF_FACTOR}

    def test_ends_with_an_answer(self, contacts) -> None:
        contact = contacts.contact_by_address[CONTROLS[0]]
        for _ in range(9):
            contact.record_inquiry(0)
        contact.record_answer(0.4, 5)
        contact.record_inquiry(6)
        assert contact.due_at == 6 + FIRST_PAUSE


class TestEviction:
    """Expiry of contacts."""

    def test_keeps_seeds(self, contacts) -> None:
        contacts.record_running(Address(999), 0)
        contacts.evict_expired(EVICT_AFTER + 1)
        assert set(contacts.contact_by_address) == set(CONTROLS)
