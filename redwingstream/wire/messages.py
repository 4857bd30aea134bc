"""Numbered message classes and their msgpack codec.

A message is a frozen ``attrs`` class with a kind number.  The frame holds the
number, so that a receiver knows the class before it decodes the message, and
msgspec checks each field against its annotation while it decodes.

Kind numbers by area: 1-15 wire and membership, 16-31 tables and operators,
32-41 consensus, 42-47 commands of the replicated log (``tables/machine``),
48-63 forwarding, 64-79 placement, 80-95 directory.
"""

from collections.abc import Callable
from typing import Any, TypeVar, dataclass_transform

import attrs
import msgspec

from redwingstream.errors import WireError

MAX_KIND = 255

MessageT = TypeVar('MessageT', bound=type)

_encoder = msgspec.msgpack.Encoder()
_class_by_kind: dict[int, type] = {}
_kind_by_class: dict[type, int] = {}
_decoder_by_kind: dict[int, msgspec.msgpack.Decoder[Any]] = {}


@dataclass_transform(frozen_default=True, field_specifiers=(attrs.field,))
def message(kind: int) -> Callable[[MessageT], MessageT]:
    """Make a class a frozen ``attrs`` message with a kind number.

    Parameters
    ----------
    kind : int
        Unique number, 1 to 255.  It must never be reused for another class.

    Returns
    -------
    callable
        The class decorator.

    Raises
    ------
    ValueError
        When the number is out of range or already used.
    """

    def decorate(plain: MessageT) -> MessageT:
        frozen = attrs.frozen(plain)
        _register(kind, frozen)
        return frozen

    return decorate


def encode(payload: object) -> tuple[int, bytes]:
    """Return the kind number of a message and its msgpack bytes."""
    return _kind_by_class[type(payload)], _encoder.encode(payload)


def decode(kind: int, payload: bytes | memoryview) -> object:
    """Decode a message of a kind.

    Parameters
    ----------
    kind : int
        Kind number in the frame.
    payload : bytes
        Message in msgpack.

    Returns
    -------
    object
        An instance of the class registered for the kind.

    Raises
    ------
    WireError
        When the kind is unknown or a field does not match its annotation.
    """
    decoder = _decoder_by_kind.get(kind) or _make_decoder(kind)
    try:
        return decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(f'message of kind {kind} is malformed: {error}') from (
            error
        )


def _register(kind: int, registered: type) -> None:
    if not 0 < kind <= MAX_KIND:
        raise ValueError(
            f'kind {kind} of {registered.__name__} is not 1 to {MAX_KIND}'
        )
    if kind in _class_by_kind:
        taken = _class_by_kind[kind].__name__
        raise ValueError(
            f'kind {kind} of {registered.__name__} is taken by {taken}'
        )
    _class_by_kind[kind] = registered
    _kind_by_class[registered] = kind


def _make_decoder(kind: int) -> msgspec.msgpack.Decoder[Any]:
    found = _class_by_kind.get(kind)
    if found is None:
        raise WireError(f'message kind {kind} is unknown to this process')
    decoder = msgspec.msgpack.Decoder(found)
    _decoder_by_kind[kind] = decoder
    return decoder
