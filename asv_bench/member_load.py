"""What many members at rest cost a real control process.

Members that only announce themselves and beat, each with a socket of its own in
this process; the processor time is the control process's.  At rest a process's
time is counted in hundredths of a second, so it takes many members to see it.
``python -m asv_bench.member_load``.
"""

import asyncio
import contextlib
import pathlib
import tempfile
from collections.abc import Iterator

import attrs

from asv_bench import fitting, output
from asv_bench.idle import CONTROL, control_process, cpu_of
from asv_bench.packet_processes import resident_kb
from redwingstream.endpoints import Endpoint
from redwingstream.errors import WireError
from redwingstream.membership.announcer import (
    HEARTBEAT_INTERVAL,
    Announcer,
    SendToControl,
    Vitals,
)
from redwingstream.membership.messages import (
    Announce,
    Challenge,
    HeartbeatAck,
)
from redwingstream.tables.rows import Role
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams
from redwingstream.wire.frames import FrameCodec

SIZES = (100, 200, 400, 800)
WATCHED = 10.0
MOST_SECONDS = 30


class BareMember:
    """A member that holds no tables and carries nothing.

    Parameters
    ----------
    number : int
        Which.
    key : bytes
        Key of the fleet.
    """

    def __init__(self, number: int, key: bytes) -> None:
        host, low = divmod(number, 250)
        self.endpoint = Endpoint(f'127.72.{20 + host}.{low + 1}', 7000)
        announce = Announce(
            f'bare-{number}', Role.BALANCER, str(self.endpoint), 'z0', '', 1
        )
        self.announcer = Announcer(announce, (CONTROL,))
        self._codec = FrameCodec(key)
        self._socket: DatagramSocket | None = None

    @contextlib.contextmanager
    def opened(self) -> Iterator[None]:
        """Hold its socket open."""
        with open_datagrams(self.endpoint, self._take) as sock:
            self._socket = sock
            yield

    def beat(self, now: float) -> None:
        """Say what is due."""
        self._say(self.announcer.tick(now, Vitals(revision=1)))

    def _say(self, sends: list[SendToControl]) -> None:
        for send in sends:
            frame = self._codec.seal(send.message)
            self._socket.send(frame, send.endpoint.as_pair())

    def _take(self, frame: bytes, source: tuple[str, int]) -> None:
        now = asyncio.get_running_loop().time()
        try:
            answer = self._codec.open(frame).payload
        except WireError:
            return
        match answer:
            case Challenge():
                self._say(self.announcer.on_challenge(answer, now))
            case HeartbeatAck():
                sender = Endpoint(*source)
                self._say(self.announcer.on_ack(answer, sender, now))


async def beat_all(members: list[BareMember]) -> None:
    """Let every member beat, spread over the interval."""
    loop = asyncio.get_running_loop()
    pause = HEARTBEAT_INTERVAL / len(members)
    due = loop.time()
    while members:
        for member in members:
            member.beat(loop.time())
            due += pause
            await asyncio.sleep(max(0, due - loop.time()))


async def measure(size: int, control: int, key: bytes) -> dict[str, object]:
    """Return what control spends on so many members."""
    members = [BareMember(number, key) for number in range(size)]
    with contextlib.ExitStack() as stack:
        for member in members:
            stack.enter_context(member.opened())
        beating = asyncio.create_task(beat_all(members))
        loop = asyncio.get_running_loop()
        started, cpu = loop.time(), cpu_of(control)
        async with asyncio.timeout(MOST_SECONDS):
            while not all(each.announcer.is_member for each in members):
                await asyncio.sleep(0.1)
        joined, joining = loop.time() - started, cpu_of(control) - cpu
        cpu = cpu_of(control)
        await asyncio.sleep(WATCHED)
        resting = cpu_of(control) - cpu
        beating.cancel()
    return {
        'members': size,
        'all admitted s': joined,
        'ms of control for each admission': joining / size * 1000,
        'core of control at rest, %': resting / WATCHED * 100,
        'control resident KB': resident_kb(control),
    }


def run(size: int) -> dict[str, object]:
    """Measure one size with a control process of its own."""
    with tempfile.TemporaryDirectory(prefix='members-') as name:
        folder = pathlib.Path(name)
        with control_process(folder) as control:
            key = (folder / 'key').read_bytes()
            return asyncio.run(measure(size, control, key))


def main() -> None:
    """Measure all sizes; print the slopes."""
    report = output.Report('member_load')
    flags = output.read_flags('member_load')
    rows = [run(size) for size in SIZES]
    report.add('bare members of one control process', rows)
    slopes = []
    for column in ('core of control at rest, %', 'control resident KB'):
        line = fitting.fit(SIZES, [row[column] for row in rows])
        slopes.append({'what': column, **attrs.asdict(line)})
    report.add('slopes for one more member', slopes)
    report.finish(flags.json)


if __name__ == '__main__':
    main()
