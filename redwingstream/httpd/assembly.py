"""Builds requests from the bytes received on a connection.

The parser of httptools calls back for each part of a request; this module
collects the parts and enforces the size limits.
"""

from collections.abc import Callable

import attrs
import httptools

from redwingstream.httpd.messages import Request

MAX_BODY_BYTES = 8388608
"""Maximum size of a request body in bytes; 40,000 routes take less."""

MAX_HEAD_BYTES = 16384
"""Maximum size of the request target and the headers together, in bytes."""


class TooLargeError(Exception):
    """The body of a request is larger than allowed."""


class MalformedError(Exception):
    """The bytes received are not a valid request, or its head is too large."""


@attrs.define
class _PartialRequest:
    """A request that is not yet complete.

    Parameters
    ----------
    target : bytes
        The request target as far as received.
    head_size, body_size : int
        Bytes received of the head and of the body.
    pieces : list of bytes
        The body as far as received.
    """

    target: bytes = b''
    head_size: int = 0
    body_size: int = 0
    pieces: list[bytes] = attrs.field(factory=list)


class RequestAssembler:
    """Builds the requests of one connection.

    The parser calls the methods ``on_...``.

    Parameters
    ----------
    on_request : callable
        Called with each complete request.
    """

    def __init__(self, on_request: Callable[[Request], None]) -> None:
        self._on_request = on_request
        self._partial = _PartialRequest()
        self._is_too_large = False
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, piece: bytes) -> None:
        """Parse bytes received on the connection.

        Parameters
        ----------
        piece : bytes
            The bytes, which may hold parts of one or several requests.

        Raises
        ------
        MalformedError
            If the bytes are not a valid request or the head is too large.
        TooLargeError
            If the body is too large.  After either error the connection
            cannot be used any more.
        """
        try:
            self._parser.feed_data(piece)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise MalformedError(str(error)) from error
        if self._partial.body_size > MAX_BODY_BYTES:
            raise TooLargeError(f'body of more than {MAX_BODY_BYTES} bytes')
        if self._partial.head_size > MAX_HEAD_BYTES:
            raise MalformedError(f'head of more than {MAX_HEAD_BYTES} bytes')

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._partial = _PartialRequest()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._partial.target += url
        self._partial.head_size += len(url)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add the size of a header; the headers themselves are not used."""
        self._partial.head_size += len(name) + len(text)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, unless the body is too large."""
        self._partial.body_size += len(body)
        if self._partial.body_size <= MAX_BODY_BYTES:
            self._partial.pieces.append(body)

    def on_message_complete(self) -> None:
        """Pass on the complete request, unless it is too large."""
        partial = self._partial
        if (
            partial.body_size > MAX_BODY_BYTES
            or partial.head_size > MAX_HEAD_BYTES
        ):
            return
        method = self._parser.get_method().decode('ascii', 'replace')
        target = partial.target.decode('ascii', 'replace')
        path = target.partition('?')[0]
        self._on_request(Request(method, path, b''.join(partial.pieces)))
        self._partial = _PartialRequest()
