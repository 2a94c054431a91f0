"""Assembles one caller's request within its size limits."""

import h11

from cicadahoist.requests import BodyHold, HeaderList
from cicadahoist.rules import CallerLimits

HTTP_BAD_REQUEST = 400
HTTP_TOO_LARGE = 413
HTTP_HEADER_TOO_LARGE = 431


class RawRequest:
    """
    A request as it was read.

    :param method: method as sent
    :param path: request target as sent
    :param headers: header fields, their names in lower case
    :param body: the complete body
    :param since_ms: earliest time at which its first byte can have arrived
    """

    __slots__ = ('body', 'headers', 'hold', 'method', 'path', 'since_ms')

    def __init__(
        self,
        method: bytes,
        path: bytes,
        headers: HeaderList,
        body: bytes,
        since_ms: int,
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.since_ms = since_ms
        self.hold: BodyHold | None = None


class HeadRefusal:
    """
    Answer to a request whose body is not read.

    :param status: status of the answer
    :param headers: headers of the answer, none for no special ones
    """

    __slots__ = ('headers', 'status')

    def __init__(self, status: int, headers: HeaderList | None = None) -> None:
        self.status = status
        self.headers = headers or []


class RequestReader:
    """
    Collects the parts of one request.

    :param limits: limits on the sizes of the head and of the body
    :param request: the head as h11 has parsed it
    """

    __slots__ = ('_body', '_limits', '_request')

    def __init__(self, limits: CallerLimits, request: h11.Request) -> None:
        self._limits = limits
        self._request = request
        self._body = bytearray()

    @property
    def stated_bytes(self) -> int | None:
        """Length of the body as stated, none if it is sent in chunks."""
        names = dict(self._request.headers)
        if b'transfer-encoding' in names:
            return None
        return int(names.get(b'content-length', b'0'))

    def check_head(self) -> int | None:
        """
        Check the head of the request.

        :return: status of the refusal, none if the head is accepted
        """
        headers = list(self._request.headers)
        size = sum(len(name) + len(text) for name, text in headers)
        if size > self._limits.header_bytes:
            return HTTP_HEADER_TOO_LARGE
        names = {name for name, _ in headers}
        if names.issuperset((b'transfer-encoding', b'content-length')):
            # A body with two framings is a means of request smuggling.
            return HTTP_BAD_REQUEST
        if (self.stated_bytes or 0) > self._limits.body_bytes:
            return HTTP_TOO_LARGE
        return None

    def add_body(self, piece: bytes) -> int | None:
        """
        Add a piece of the body.

        :return: status of the refusal if the body is too long, else none
        """
        self._body += piece
        if len(self._body) > self._limits.body_bytes:
            return HTTP_TOO_LARGE
        return None

    def clear(self) -> None:
        """Drop what was added of the body."""
        self._body.clear()

    def build_head(self) -> RawRequest:
        """Return the request without its body."""
        request = self._request
        return RawRequest(
            bytes(request.method),
            bytes(request.target),
            [(bytes(name), bytes(text)) for name, text in request.headers],
            b'',
            0,
        )

    def build_request(self, since_ms: int) -> RawRequest:
        """
        Return the complete request.

        :param since_ms: earliest time at which its first byte can have arrived
        """
        raw = self.build_head()
        raw.body = bytes(self._body)
        raw.since_ms = since_ms
        return raw


def check_incomplete_head(
    http: h11.Connection, limits: CallerLimits
) -> int | None:
    """
    Check the part of a head that has arrived.

    :return: status of the refusal, none if the head may go on
    """
    if http.their_state is not h11.IDLE:
        return None
    received, _ = http.trailing_data
    return (
        HTTP_HEADER_TOO_LARGE if len(received) > limits.header_bytes else None
    )
