"""Digest of what a request asks for.

The paper that the ledger follows sums up part of the data; here a false match
would hand one request's answer to another one, so the digest is one that
nobody can aim at: 16 bytes of BLAKE2b over all options and the payload.
xxhash would save 0.25 of 1.3 microseconds, most of which go into walking the
options, but a caller can make two requests collide under it.
"""

import hashlib

from aiocoap.message import Message

from redwingstream.wire.coap import DEADLINE_OPTION

CHECKSUM_SIZE = 16
_LENGTH_BYTES = 4
# No option has this number, so options and payload cannot be confused.
_PAYLOAD_MARK = b'\xff' * _LENGTH_BYTES
_PERSON = b'request'


def request_checksum(request: Message) -> bytes:
    """Return the digest of method, options and payload of a request.

    Message id and token are in the request's key.  The deadline is left out:
    a caller that repeats a request has less time left, and with the deadline
    in the digest its replay would pass for a new request and run twice.

    Parameters
    ----------
    request : Message
        A decoded request.

    Returns
    -------
    bytes
        :data:`CHECKSUM_SIZE` bytes.
    """
    digest = hashlib.blake2b(digest_size=CHECKSUM_SIZE, person=_PERSON)
    digest.update(int(request.code).to_bytes(1, 'big'))
    for option in request.opt.option_list():
        if option.number != DEADLINE_OPTION:
            encoded = option.encode()
            # Lengths keep the end of one option apart from the next one.
            digest.update(int(option.number).to_bytes(_LENGTH_BYTES, 'big'))
            digest.update(len(encoded).to_bytes(_LENGTH_BYTES, 'big'))
            digest.update(encoded)
    digest.update(_PAYLOAD_MARK)
    digest.update(request.payload)
    return digest.digest()
