"""Reads one caller's request within its bounds, by h11."""

import h11

from cicadahoist.requests import HeaderList
from cicadahoist.rules import CallerLimits

HTTP_BAD_REQUEST = 400
HTTP_TOO_LARGE = 413
HTTP_HEADER_TOO_LARGE = 431


class RawRequest:
    """
    A request as it was read.

    :param path: request target as sent
    :param headers: names in lower case
    """

    __slots__ = ('body', 'headers', 'method', 'path')

    def __init__(
        self, method: bytes, path: bytes, headers: HeaderList, body: bytes
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


class RequestReader:
    """
    Collects one request.

    :param limits: bounds on what it may hold
    """

    __slots__ = ('_body', '_limits', '_request')

    def __init__(self, limits: CallerLimits, request: h11.Request) -> None:
        self._limits = limits
        self._request = request
        self._body = bytearray()

    def check_head(self) -> int | None:
        """Return the status for a head that is not accepted, or none."""
        headers = list(self._request.headers)
        size = sum(len(name) + len(text) for name, text in headers)
        if size > self._limits.header_bytes:
            return HTTP_HEADER_TOO_LARGE
        names = {name for name, _ in headers}
        if names.issuperset((b'transfer-encoding', b'content-length')):
            # Two framings of one body are how requests are smuggled.
            return HTTP_BAD_REQUEST
        return None

    def add_body(self, piece: bytes) -> int | None:
        """Add a piece of the body; return the status if it is too long."""
        self._body += piece
        if len(self._body) > self._limits.body_bytes:
            return HTTP_TOO_LARGE
        return None

    def build_request(self) -> RawRequest:
        """Return the request."""
        request = self._request
        return RawRequest(
            bytes(request.method),
            bytes(request.target),
            [(bytes(name), bytes(text)) for name, text in request.headers],
            bytes(self._body),
        )
