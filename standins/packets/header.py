"""The header of a packet, as an end of a flow reads and writes it."""

import hashlib
import ipaddress
import struct

import attrs

HEAD = struct.Struct('<4s4sHHIIIIHBB')
SYN = 64
ACK = 128
FIN = 32
RST = 4
BOUNCED = 8
FULL_PACKET = 1200
"""Bytes of data of a full packet.  A request ends with a packet of fewer."""

_KEY = b'only the ends know this'
_SUM_SIZE = 4
_UNSUMMED_FLAGS = 0xFF & ~BOUNCED


@attrs.frozen
class End:
    """An end of a flow."""

    host: str
    port: int


@attrs.frozen
class Packet:
    """A packet as its sender wrote it, with what the system may write.

    Parameters
    ----------
    source, target : End
        From whom and to whom.
    seq, ack : int
        The sender's position, and how far it has received.
    flags : int
        What the packet is for.
    data : bytes
        What it carries.
    echo, pad : int
        Written by the system only.
    """

    source: End
    target: End
    seq: int = 0
    ack: int = 0
    flags: int = 0
    data: bytes = b''
    echo: int = 0
    pad: int = 0

    @property
    def flow(self) -> tuple[End, End]:
        """Both ends, the sender first."""
        return (self.source, self.target)

    def pack(self) -> bytes:
        """Return the bytes, with the sum that only the ends can compute."""
        return self._packed(self._sum())

    def _sum(self) -> int:
        summed = attrs.evolve(
            self, echo=0, pad=0, flags=self.flags & _UNSUMMED_FLAGS
        )
        digest = hashlib.blake2b(
            summed._packed(0), key=_KEY, digest_size=_SUM_SIZE
        )
        return int.from_bytes(digest.digest(), 'little')

    def _packed(self, checksum: int) -> bytes:
        head = HEAD.pack(
            _host_bytes(self.target.host),
            _host_bytes(self.source.host),
            self.source.port,
            self.target.port,
            self.seq,
            self.ack,
            self.echo,
            checksum,
            len(self.data),
            self.flags,
            self.pad,
        )
        return head + self.data


@attrs.frozen
class Received:
    """A packet that came, and whether its sender wrote it so."""

    packet: Packet
    is_genuine: bool


def read_packet(datagram: bytes) -> Received:
    """Read a packet; raise ``ValueError`` when it is none."""
    if len(datagram) < HEAD.size:
        raise ValueError(f'{len(datagram)} bytes are no packet')
    fields = HEAD.unpack_from(datagram)
    packet = Packet(
        End(_host_text(fields[1]), fields[2]),
        End(_host_text(fields[0]), fields[3]),
        fields[4],
        fields[5],
        fields[9],
        datagram[HEAD.size :],
        fields[6],
        fields[10],
    )
    is_whole = len(packet.data) == fields[8]
    return Received(packet, is_whole and fields[7] == packet._sum())


def _host_bytes(host: str) -> bytes:
    return bytes(reversed(ipaddress.IPv4Address(host).packed))


def _host_text(packed: bytes) -> str:
    return str(ipaddress.IPv4Address(bytes(reversed(packed))))
