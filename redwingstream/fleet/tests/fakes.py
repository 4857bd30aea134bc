"""A process without signals, files and a log, for tests of the roles."""

from collections.abc import Callable
from types import SimpleNamespace

import attrs

from redwingstream.fleet.deployment import Deployment, ListenEndpoints
from redwingstream.fleet.process import KEY_SIZE
from redwingstream.openings.cold_limit import ColdLimit
from redwingstream.wire.frames import FrameCodec

FIRST_PORT = 7720
KEY = b'k' * KEY_SIZE
DEPLOYMENT = Deployment(
    node='front-1',
    zone='north',
    host='10.1.0.100',
    listening=ListenEndpoints(),
    first_port=FIRST_PORT,
    last_port=FIRST_PORT + 10,
    seeds=('10.9.0.1',),
    data_folder=None,
    is_first_start=False,
    tolerated_losses=1,
    local_server=None,
    cold_limit=ColdLimit(1, 5),
    report_interval=1,
    grace_seconds=5,
    max_flow_age=60,
)


@attrs.define
class FakeSocket:
    """Records the datagrams that are sent."""

    sent: list[bytes] = attrs.field(factory=list)
    targets: list[tuple[str, int]] = attrs.field(factory=list)

    def send(self, payload: bytes, target: tuple[str, int]) -> None:
        """Record a datagram."""
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

    def on_reload(self, callback: Callable[[Deployment], None]) -> None:
        """Ignore the callback: the settings do not change."""


def _ignore(event: object) -> None:
    """Discard an event."""
