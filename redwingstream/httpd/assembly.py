"""Puts a request together from what the parser finds."""

from collections.abc import Callable

import attrs
import httptools

from redwingstream.httpd.messages import Request

MAX_BODY = 8388608
"""Bytes of a body; 40,000 routes take less."""

MAX_HEAD = 16384
"""Bytes of a request line and its headers together."""


class TooLargeError(Exception):
    """The body of a request is longer than allowed."""


class MalformedError(Exception):
    """What came is no request."""


@attrs.define
class _Arriving:
    """A request as far as it has arrived."""

    target: bytes = b''
    head_size: int = 0
    body_size: int = 0
    pieces: list[bytes] = attrs.field(factory=list)


class Assembly:
    """Requests of one connection; the parser calls the methods ``on_...``.

    Parameters
    ----------
    arrived : callable
        Takes each request that has arrived whole.
    """

    def __init__(self, arrived: Callable[[Request], None]) -> None:
        self._arrived = arrived
        self._arriving = _Arriving()
        self._is_too_large = False
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, piece: bytes) -> None:
        """Take what has come.

        Raises
        ------
        MalformedError, TooLargeError
            When the connection cannot go on.
        """
        try:
            self._parser.feed_data(piece)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise MalformedError(str(error)) from error
        if self._arriving.body_size > MAX_BODY:
            raise TooLargeError(f'body of more than {MAX_BODY} bytes')
        if self._arriving.head_size > MAX_HEAD:
            raise MalformedError(f'head of more than {MAX_HEAD} bytes')

    def on_message_begin(self) -> None:
        """Start a request."""
        self._arriving = _Arriving()

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        self._arriving.target += url
        self._arriving.head_size += len(url)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Count a header; none is needed here."""
        self._arriving.head_size += len(name) + len(text)

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self._arriving.body_size += len(body)
        if self._arriving.body_size <= MAX_BODY:
            self._arriving.pieces.append(body)

    def on_message_complete(self) -> None:
        """Hand the request over."""
        arriving = self._arriving
        if arriving.body_size > MAX_BODY or arriving.head_size > MAX_HEAD:
            return
        method = self._parser.get_method().decode('ascii', 'replace')
        target = arriving.target.decode('ascii', 'replace')
        path = target.partition('?')[0]
        self._arrived(Request(method, path, b''.join(arriving.pieces)))
        self._arriving = _Arriving()
