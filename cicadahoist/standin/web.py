"""HTTP serving shared by the stand-ins."""

from collections.abc import Callable
from typing import Any

import msgspec
from klein import Klein
from twisted.web.server import Site

from cicadahoist.outside.http import HTTP_OK

ADDRESS = '127.0.0.1'


class ErrorDetail(msgspec.Struct, frozen=True):
    """Description of an error."""

    message: str


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of a failed call."""

    error: ErrorDetail


class WebApp:
    """HTTP routes of a stand-in."""

    __slots__ = ('_klein',)

    def __init__(self) -> None:
        self._klein = Klein()

    def add(self, methods: str, path: str, handler: Callable[..., Any]) -> None:
        """
        Add a route.

        :param methods: space-separated HTTP methods
        :param path: path with placeholders in angle brackets
        :param handler: called with the request and the placeholders by name
        """
        self._klein.route(
            path, methods=methods.split(), endpoint=f'{methods} {path}'
        )(handler)

    def resource(self) -> Any:
        """Return the routes as a twisted resource."""
        return self._klein.resource()

    def listen(self, reactor: Any, port: int) -> Any:
        """Listen on the loopback address and return the listening port."""
        site = Site(self.resource())
        site.displayTracebacks = False
        return reactor.listenTCP(port, site, interface=ADDRESS)


def answer(request: Any, body: Any, status: int = HTTP_OK) -> bytes:
    """Set status and headers of an answer and return its JSON body."""
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    encoded = msgspec.json.encode(body)
    request.setHeader('Content-Length', str(len(encoded)))
    return encoded


def refuse(
    request: Any, status: int, message: str, retry_after_s: int = 0
) -> bytes:
    """Set status and headers of an error and return its JSON body."""
    if retry_after_s:
        request.setHeader('Retry-After', str(retry_after_s))
    return answer(request, ErrorBody(ErrorDetail(message)), status)


def read_body(request: Any) -> bytes:
    """Return the body of a request."""
    return request.content.read()


def get_query_argument(request: Any, name: str, default: str = '') -> str:
    """Return the first value of a query argument, or the default."""
    lines = request.args.get(name.encode())
    return lines[0].decode() if lines else default


def abort(request: Any) -> None:
    """Abort the connection of a request without an answer."""
    transport = request.transport
    if transport is not None:
        request.channel.forceAbortClient()
