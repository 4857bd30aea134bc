"""An answer in many blocks, put together and checked (RFC 7959)."""

import enum

import attrs
from aiocoap.message import Message

BLOCK_EXPONENT = 6


class BlockState(enum.Enum):
    """What a block was for the answer as a whole."""

    MORE = 'more'
    LAST = 'last'
    WRONG = 'wrong'


@attrs.frozen
class Whole:
    """An answer that was put together.

    Parameters
    ----------
    body : bytes
        All blocks, in order.
    etag : bytes
        Entity tag that every block carried.
    blocks : int
        How many there were.
    """

    body: bytes
    etag: bytes
    blocks: int


@attrs.define
class Blocks:
    """The blocks that have come so far."""

    etag: bytes | None = None
    _parts: list[bytes] = attrs.field(factory=list)

    @property
    def count(self) -> int:
        """How many there are; also the number of the next one."""
        return len(self._parts)

    def take(self, response: Message) -> BlockState:
        """Add the next block.

        Notes
        -----
        A block of another number or with another entity tag belongs to another
        exchange or another version of the answer.  Put together they would
        make an answer that never was, so such a block spoils the whole.
        """
        block = response.opt.block2
        number = block.block_number if block else 0
        if number != self.count:
            return BlockState.WRONG
        if self.count and response.opt.etag != self.etag:
            return BlockState.WRONG
        self.etag = response.opt.etag
        self._parts.append(response.payload)
        return BlockState.MORE if block and block.more else BlockState.LAST

    def whole(self) -> Whole:
        """Return the answer; all blocks are there."""
        return Whole(b''.join(self._parts), self.etag or b'', self.count)
