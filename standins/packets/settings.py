"""The settings file of a process, as the platform writes it."""

from collections.abc import Iterable
from pathlib import Path

import attrs

PACKET_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
APP_PORT = 8165
OUTBOUND_PORT = 8162
INTERNAL_PORTS = (7720, 7735)


@attrs.frozen
class Machine:
    """A machine of the platform.

    Parameters
    ----------
    name : str
        Its name.
    host : str
        Its IP address.
    zone : str
        Its zone.
    service : str
        What the server on it serves; empty for one without a server.
    folder : Path or None
        Its disk.
    is_first_start : bool
        True when the whole system starts for the first time.
    tolerated_losses : int
        How many machines with a disk may be lost at once.
    link_mbps : float
        Rate of its link in Mbit/s; 0 if the settings do not state it.
    """

    name: str
    host: str
    zone: str
    service: str = ''
    folder: Path | None = None
    is_first_start: bool = True
    tolerated_losses: int = 1
    link_mbps: float = 0


def write_settings(
    path: Path, machine: Machine, role: str, seeds: Iterable[str]
) -> None:
    """Write the settings file of one process of a machine."""
    host = machine.host
    lines = [
        f'node_name={machine.name}',
        f'role={role}',
        f'ip={host}',
        f'zone={machine.zone}',
        f'listen.datagram_addr={host}:{PACKET_PORT}',
        f'listen.readiness_addr={host}:{READY_PORT}',
        f'listen.control={host}:{CONTROL_PORT}',
        f'internal_ports={INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}',
        f'seeds={",".join(f"{seed}:{CONTROL_PORT}" for seed in seeds)}',
        f'bootstrap={str(machine.is_first_start).lower()}',
        'heartbeat_ms=1200',
        f'fault_tolerance.machines={machine.tolerated_losses}',
        'bounds.cold_burst_factor=1.5',
        'bounds.cold_slack=5',
        'bounds.grace_s=6',
        'a.field.that.nobody.knows=yet',
    ]
    if machine.service:
        lines.extend(
            (
                f'app={host}:{APP_PORT}',
                f'listen.outbound={host}:{OUTBOUND_PORT}',
                f'service={machine.service}',
            ),
        )
    if machine.link_mbps:
        lines.append(f'limits.link_mbps={machine.link_mbps}')
    if machine.folder is not None and role == 'control':
        lines.append(f'data_dir={machine.folder}')
    path.write_text('\n'.join(lines))
