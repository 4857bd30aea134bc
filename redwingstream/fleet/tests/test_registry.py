"""What a control instance answers."""

import attrs
import pytest

from redwingstream.directory.book import AgentBook
from redwingstream.directory.controls import Controls
from redwingstream.directory.inquiry import WARM_AFTER
from redwingstream.directory.messages import (
    AgentRecord,
    Inquiry,
    Readiness,
    Report,
    Unchanged,
)
from redwingstream.fleet.registry import (
    FULL_EVERY,
    LISTENER_PAUSES,
    UNCONFIRMED_AGE,
    Registry,
    TableSource,
)
from redwingstream.packets.flow import Address
from redwingstream.tables.machine.machine import Machine

OWN = Address(101)
BOOT = 5
NOW = WARM_AFTER + 1
RECORD = AgentRecord(201, 'north', 'feed', 1, 1, Readiness.READY, is_cold=False)


def _tables(revision: int = 0, age: float = 0) -> TableSource:
    machine = Machine()
    machine.state.revision = revision
    return TableSource(revision, age, machine.update_since)


@pytest.fixture
def registry() -> Registry:
    return Registry(OWN, BOOT, 0, AgentBook(), Controls(OWN, ()))


class TestShortAnswer:
    """Whoever misses nothing is told so in a few bytes."""

    def test_to_one_that_misses_nothing(self, registry) -> None:
        answer = registry.answer(Inquiry(1, 0, BOOT, 0), _tables(), NOW)
        assert answer == Unchanged(1, OWN, 0, 0)

    @pytest.mark.parametrize(
        'inquiry',
        [
            Inquiry(1, 0, BOOT + 1, 0),
            Inquiry(1, 3, BOOT, 0),
            Inquiry(1, 0, BOOT, 9),
            Inquiry(FULL_EVERY, 0, BOOT, 0),
            Inquiry(1, 0, BOOT, 0, '', RECORD),
        ],
        ids=['another run', 'other tables', 'other agents', 'its turn', 'new'],
    )
    def test_not_to_others(self, registry, inquiry) -> None:
        assert isinstance(registry.answer(inquiry, _tables(), NOW), Report)

    def test_not_while_nobody_leads(self, registry) -> None:
        """Guards against tables that count as confirmed and are not."""
        tables = _tables(age=UNCONFIRMED_AGE * 2)
        answer = registry.answer(Inquiry(1, 0, BOOT, 0), tables, NOW)
        assert isinstance(answer, Report)

    def test_not_before_all_agents_were_heard(self, registry) -> None:
        """Guards against flows declared dead by a view with gaps."""
        inquiry = Inquiry(1, 0, BOOT, 0)
        answer = registry.answer(inquiry, _tables(), WARM_AFTER / 2)
        assert isinstance(answer, Report)


class TestPause:
    """How often a process is to ask."""

    def test_is_longer_for_one_that_says_nothing(self, registry) -> None:
        inquiry = Inquiry(FULL_EVERY, 0, 0, 0)
        listener = registry.answer(inquiry, _tables(), NOW)
        speaking = attrs.evolve(inquiry, record=RECORD)
        agent = registry.answer(speaking, _tables(), NOW)
        assert listener.pause == agent.pause * LISTENER_PAUSES
