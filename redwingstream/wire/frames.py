"""Authenticated frames with replay protection, each around one message.

Layout, big-endian: version (1 byte), kind (1), boot (8), sequence (8), MAC
(16), msgpack payload.  ``boot`` is a random number that each process draws when
it starts; ``sequence`` numbers the frames that it has sent since then.  The MAC
is keyed BLAKE2b over all other bytes.
"""

import hashlib
import hmac
import secrets
import struct
from collections import OrderedDict

import attrs

from redwingstream.errors import ResultCode, WireError
from redwingstream.wire import messages

VERSION = 1
MAC_SIZE = 16
# Size of a key in bytes; 64 is the maximum of BLAKE2b.
KEY_SIZE_MIN = 16
KEY_SIZE_MAX = 64
# Maximum size of a frame in bytes; it fits one UDP datagram.
MAX_FRAME = 60000
# A sequence number this far below the highest one of its boot is rejected.
REPLAY_WINDOW = 4096
# Number of boots whose replay windows are kept.
MAX_BOOTS = 32768

_PREFIX = struct.Struct('>BBQQ')
_HEADER_SIZE = _PREFIX.size + MAC_SIZE
_BOOT_BITS = 64


@attrs.frozen
class OpenedFrame:
    """Content of a frame that is authentic and not a replay.

    Parameters
    ----------
    boot : int
        Boot number of the sender.
    payload : object
        Decoded message.
    """

    boot: int
    payload: object


@attrs.define
class _ReplayWindow:
    """Sequence numbers received of one boot.

    ``highest`` is the highest one.  Bit n of ``seen`` stands for the number n
    below it.
    """

    highest: int = 0
    seen: int = 0

    def accept(self, sequence: int) -> bool:
        """Return whether a sequence number is new, and record it."""
        ahead = sequence - self.highest
        if ahead > 0:
            kept = self.seen << ahead if ahead < REPLAY_WINDOW else 0
            self.seen = (kept | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= REPLAY_WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True


class FrameCodec:
    """Seals messages into frames and opens frames, under one shared key.

    Parameters
    ----------
    key : bytes
        ``KEY_SIZE_MIN`` to ``KEY_SIZE_MAX`` bytes, the same in every process.
    max_frame : int
        Maximum size of a frame in bytes; the default fits one UDP datagram.

    Notes
    -----
    The replay window rejects a frame that the network or an attacker delivers
    again; otherwise an old heartbeat could keep a dead member in the view.  It
    works because boot numbers are random and each sequence number is used once.
    The windows of the last 32768 boots are kept.  A replay from an older boot
    is rejected by the incarnations and view numbers in the messages.
    """

    def __init__(self, key: bytes, max_frame: int = MAX_FRAME) -> None:
        self._key = key
        self._max_frame = max_frame
        self._boot = secrets.randbits(_BOOT_BITS)
        self._sequence = 0
        self._window_by_boot: OrderedDict[int, _ReplayWindow] = OrderedDict()

    @property
    def boot(self) -> int:
        """The random number of this run of the process."""
        return self._boot

    def seal(self, payload: object) -> bytes:
        """Return a frame with a message.

        Raises
        ------
        WireError
            When the frame would be longer than ``max_frame`` bytes.
        """
        kind, body = messages.encode(payload)
        if len(body) + _HEADER_SIZE > self._max_frame:
            raise WireError(
                f'message of kind {kind} has {len(body)} bytes; a frame takes '
                f'{self._max_frame - _HEADER_SIZE}',
            )
        self._sequence += 1
        prefix = _PREFIX.pack(VERSION, kind, self._boot, self._sequence)
        return b''.join((prefix, self._mac(prefix, body), body))

    def open(self, frame: bytes) -> OpenedFrame:
        """Verify a frame and return its content.

        Raises
        ------
        WireError
            With code ``MALFORMED``, ``UNAUTHENTIC`` or ``REPLAYED``.
        """
        if not _HEADER_SIZE <= len(frame) <= self._max_frame:
            raise WireError(
                f'frame has {len(frame)} bytes; allowed: {_HEADER_SIZE} to '
                f'{self._max_frame}',
            )
        version, kind, boot, sequence = _PREFIX.unpack_from(frame)
        body = frame[_HEADER_SIZE:]
        expected = self._mac(frame[: _PREFIX.size], body)
        if not hmac.compare_digest(
            expected, frame[_PREFIX.size : _HEADER_SIZE]
        ):
            raise WireError('frame has a wrong MAC', ResultCode.UNAUTHENTIC)
        if version != VERSION:
            raise WireError(f'frame version {version}; expected {VERSION}')
        if not self._window(boot).accept(sequence):
            raise WireError('frame was received before', ResultCode.REPLAYED)
        return OpenedFrame(boot, messages.decode(kind, body))

    def _mac(self, prefix: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(
            prefix + body, key=self._key, digest_size=MAC_SIZE
        ).digest()

    def _window(self, boot: int) -> _ReplayWindow:
        window = self._window_by_boot.get(boot)
        if window is None:
            window = _ReplayWindow()
            self._window_by_boot[boot] = window
            if len(self._window_by_boot) > MAX_BOOTS:
                self._window_by_boot.popitem(last=False)
        return window
