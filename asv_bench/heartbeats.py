"""What members cost the leader of the control instances, by their number.

Bytes and microseconds for each heartbeat, milliseconds for each look at all
leases, and the burst when every process of a zone announces itself at once.
``python -m asv_bench.heartbeats``.
"""

import random
import time

import attrs

from asv_bench import fitting, output
from asv_bench.fleets import Fleet, FleetShape
from redwingstream.control.members import MemberService
from redwingstream.membership.messages import Announce, Challenge, Heartbeat
from redwingstream.tables.machine.state_machine import StateMachine
from redwingstream.wire.frames import FrameCodec

SIZES = (200, 400, 800, 1600)
KEY = b'k' * 32
LEASE = 3.0
MICRO = 1e6
MILLI = 1000


@attrs.frozen
class FakeConsensus:
    """A leader that is ready."""

    is_ready: bool = True
    leader: str = '10.1.0.1:7000'


@attrs.define
class FakeReplica:
    """A replica whose commands are counted instead of agreed on."""

    machine: StateMachine
    consensus: FakeConsensus = FakeConsensus()
    proposed: int = 0

    def propose(self, command: object, done: object) -> None:
        """Count a command."""
        self.proposed += 1


@attrs.frozen
class HeartbeatCost:
    """Cost of the members to the leader.

    Parameters
    ----------
    members : int
        How many.
    bytes_in, bytes_out : float
        Frame bytes for each heartbeat and its answer.
    beat_us : float
        Microseconds for each: open, decide, seal.
    tick_ms : float
        Milliseconds for one look at all leases and views.
    """

    members: int
    bytes_in: float
    bytes_out: float
    beat_us: float
    tick_ms: float


class Leader:
    """The members' desk of a leader, with frames but without sockets."""

    def __init__(self, agents: int) -> None:
        self.fleet = Fleet(FleetShape.of_agents(agents))
        self.replica = FakeReplica(self.fleet.machine)
        self.now = 100.0
        self.desk = MemberService(
            self.replica, LEASE, random.Random(1), lambda: self.now
        )
        self.codec = FrameCodec(KEY)
        self.bytes_out = 0

    def frames(self) -> list[bytes]:
        """Return one heartbeat frame of every member."""
        codec = FrameCodec(KEY)
        return [
            codec.seal(_beat_of(member.host, member.incarnation))
            for member in self.fleet.machine.state.member_by_host.values()
        ]

    def take(self, frames: list[bytes], boots: list[int]) -> float:
        """Take heartbeats; return the seconds that they took."""
        self.bytes_out = 0
        started = time.perf_counter()
        for frame, boot in zip(frames, boots, strict=True):
            beat = self.codec.open(frame).payload
            self.desk.on_heartbeat(beat, boot, self._reply)
        return time.perf_counter() - started

    def tick(self) -> float:
        """Look at all leases; return the seconds that it took."""
        started = time.perf_counter()
        self.desk.on_tick()
        return time.perf_counter() - started

    def _reply(self, message: object) -> None:
        self.bytes_out += len(self.codec.seal(message))


def measure(agents: int) -> HeartbeatCost:
    """Return the cost at one size."""
    leader = Leader(agents)
    members = leader.fleet.machine.state.member_by_host.values()
    boots = [member.boot for member in members]
    frames = leader.frames()
    seconds = leader.take(frames, boots)
    leader.tick()
    ticks = [leader.tick() for _ in range(fitting.REPEATS)]
    return HeartbeatCost(
        members=len(frames),
        bytes_in=sum(map(len, frames)) / len(frames),
        bytes_out=leader.bytes_out / len(frames),
        beat_us=seconds / len(frames) * MICRO,
        tick_ms=min(ticks) * MILLI,
    )


def announcement_bytes() -> dict[str, int]:
    """Return the frame bytes of each message of an announcement."""
    codec = FrameCodec(KEY)
    announce = Announce(
        'host-1200', 'agent', '10.10.4.201:7000', 'zone-a', 'pool-300', 100
    )
    proved = attrs.evolve(announce, challenge=(1 << 62) + 1)
    return {
        'Announce': len(codec.seal(announce)),
        'Challenge': len(codec.seal(Challenge((1 << 62) + 1))),
        'Announce with challenge': len(codec.seal(proved)),
    }


def main() -> None:
    """Measure at every size; print costs and slopes."""
    report = output.Report('heartbeats')
    runs = [
        [measure(agents) for agents in SIZES] for _ in range(fitting.REPEATS)
    ]
    rows = []
    for at_size in zip(*runs, strict=True):
        rows.append(
            {
                'members': at_size[0].members,
                'bytes in': at_size[0].bytes_in,
                'bytes out': at_size[0].bytes_out,
                'us a heartbeat': fitting.spread(
                    [run.beat_us for run in at_size]
                ),
                'ms a look': fitting.spread([run.tick_ms for run in at_size]),
            }
        )
    report.add('heartbeats at the leader', rows)
    sizes = [row['members'] for row in rows]
    slopes = []
    for column in ('us a heartbeat', 'ms a look'):
        line = fitting.fit(sizes, [row[column].middle for row in rows])
        slopes.append({'column': column, **attrs.asdict(line)})
    report.add('slopes for one more member', slopes)
    report.add('frame bytes of an announcement', [announcement_bytes()])
    report.finish(output.read_flags('heartbeats').json)


def _beat_of(host: str, incarnation: int) -> Heartbeat:
    return Heartbeat(
        host=host,
        incarnation=incarnation,
        revision=1 << 20,
        settled_view=1 << 20,
        in_flight=3,
        flows=1000,
        limit=8,
    )


if __name__ == '__main__':
    main()
