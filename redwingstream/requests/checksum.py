"""Digest of the contents of a request.

A collision would give the answer of one request to another one, so the digest
covers all options and the payload (the paper that the ledger follows uses a sum
over part of the data) and is collision-resistant: 16 bytes of BLAKE2b.  xxhash
would save 0.25 of 1.3 microseconds, most of which are spent on iterating over
the options, but a caller can construct two requests that collide.
"""

import hashlib

from aiocoap.message import Message

from redwingstream.wire.coap import DEADLINE_OPTION

CHECKSUM_SIZE = 16
_LENGTH_BYTES = 4
# No option has this number, which separates the options from the payload.
_PAYLOAD_MARK = b'\xff' * _LENGTH_BYTES
_PERSON = b'request'


def request_checksum(request: Message) -> bytes:
    """Return the digest of method, options and payload of a request.

    Message id and token are part of the request's key.  The deadline is left
    out: a caller that repeats a request has less time left, and if the digest
    included the deadline, the replay would be treated as a new request and run
    a second time.

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
            # The lengths delimit the options.
            digest.update(int(option.number).to_bytes(_LENGTH_BYTES, 'big'))
            digest.update(len(encoded).to_bytes(_LENGTH_BYTES, 'big'))
            digest.update(encoded)
    digest.update(_PAYLOAD_MARK)
    digest.update(request.payload)
    return digest.digest()
