"""A process without signals, files and a log, for tests of the roles."""

from collections.abc import Callable
from types import SimpleNamespace

import attrs

from redwingstream.fleet.deployment import Deployment
from redwingstream.fleet.process import KEY_SIZE
from redwingstream.wire.frames import FrameCodec

KEY = b'k' * KEY_SIZE


@attrs.define
class FakeSocket:
    """Keeps what is sent."""

    sent: list[bytes] = attrs.field(factory=list)
    targets: list[tuple[str, int]] = attrs.field(factory=list)

    def send(self, payload: bytes, target: tuple[str, int]) -> None:
        """Keep a datagram."""
        self.sent.append(payload)
        self.targets.append(target)


class FakeProcess(SimpleNamespace):
    """A process without signals and without a log."""

    def __init__(
        self, deployment: Deployment, clock: Callable[[], float]
    ) -> None:
        super().__init__(
            deployment=deployment,
            clock=clock,
            started_at=clock(),
            log=SimpleNamespace(write=_ignore),
            codec=FrameCodec(KEY),
        )

    def when_reloaded(self, act: Callable[[Deployment], None]) -> None:
        """Settings do not change here."""


def _ignore(event: object) -> None:
    """Take no notice of an event."""
