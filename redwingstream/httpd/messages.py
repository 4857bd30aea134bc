"""HTTP requests and responses, and how a response is encoded."""

from types import MappingProxyType

import attrs

OK = 200
TEMPORARY_REDIRECT = 307
BAD_REQUEST = 400
NOT_FOUND = 404
REQUEST_TIMEOUT = 408
CONTENT_TOO_LARGE = 413
UNPROCESSABLE = 422
INTERNAL_ERROR = 500
UNAVAILABLE = 503

REASON_BY_STATUS = MappingProxyType(
    {
        OK: 'OK',
        TEMPORARY_REDIRECT: 'Temporary Redirect',
        BAD_REQUEST: 'Bad Request',
        NOT_FOUND: 'Not Found',
        REQUEST_TIMEOUT: 'Request Timeout',
        CONTENT_TOO_LARGE: 'Content Too Large',
        UNPROCESSABLE: 'Unprocessable Content',
        INTERNAL_ERROR: 'Internal Server Error',
        UNAVAILABLE: 'Service Unavailable',
    }
)

JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain; charset=utf-8'


@attrs.frozen
class Request:
    """A complete request.

    Parameters
    ----------
    method : str
        The method in upper case.
    path : str
        The path of the request target, without the query.
    body : bytes
        The body; empty if there is none.
    """

    method: str
    path: str
    body: bytes = b''


@attrs.frozen
class Response:
    """The response to a request.

    Parameters
    ----------
    status : int
        Status code, one of the constants of this module.
    body : bytes
        The body; empty if there is none.
    content_type : str
        Media type of the body.
    location : str
        URL that the caller is redirected to; empty without a redirect.
    retry_after : int
        Seconds after which the caller may try again; 0 leaves the header out.
    """

    status: int
    body: bytes = b''
    content_type: str = JSON_TYPE
    location: str = ''
    retry_after: int = 0


def render(response: Response, *, keep_open: bool) -> bytes:
    """Encode a response.

    Parameters
    ----------
    response : Response
        The response.
    keep_open : bool
        Whether the connection stays open afterwards.

    Returns
    -------
    bytes
        The status line, the headers and the body.
    """
    reason = REASON_BY_STATUS[response.status]
    lines = [
        f'HTTP/1.1 {response.status} {reason}',
        f'Content-Length: {len(response.body)}',
        f'Connection: {"keep-alive" if keep_open else "close"}',
    ]
    if response.body:
        lines.append(f'Content-Type: {response.content_type}')
    if response.location:
        lines.append(f'Location: {response.location}')
    if response.retry_after:
        lines.append(f'Retry-After: {response.retry_after}')
    head = '\r\n'.join(lines).encode()
    return b''.join((head, b'\r\n\r\n', response.body))
