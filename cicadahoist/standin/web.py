"""HTTP serving shared by the stand-ins."""

from collections.abc import Callable
from typing import Any

import msgspec
from klein import Klein
from twisted.web.server import Site

from cicadahoist.outside.http import HTTP_OK

ADDRESS = '127.0.0.1'


class ErrorDetail(msgspec.Struct, frozen=True):
    """What went wrong."""

    message: str


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of a failed call."""

    error: ErrorDetail


class WebApp:
    """Routes of one stand-in."""

    __slots__ = ('_klein',)

    def __init__(self) -> None:
        self._klein = Klein()

    def add(self, methods: str, path: str, handler: Callable[..., Any]) -> None:
        """
        Answer a path.

        :param methods: space-separated HTTP methods
        :param handler: gets the request and the parts of the path
        """
        self._klein.route(
            path, methods=methods.split(), endpoint=f'{methods} {path}'
        )(handler)

    def resource(self) -> Any:
        """Return the twisted resource."""
        return self._klein.resource()

    def listen(self, reactor: Any, port: int) -> Any:
        """Listen on loopback and return the listening port."""
        site = Site(self.resource())
        site.displayTracebacks = False
        return reactor.listenTCP(port, site, interface=ADDRESS)


def answer(request: Any, body: Any, status: int = HTTP_OK) -> bytes:
    """Set the status and return a JSON body."""
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    encoded = msgspec.json.encode(body)
    request.setHeader('Content-Length', str(len(encoded)))
    return encoded


def refuse(
    request: Any, status: int, message: str, retry_after_s: int = 0
) -> bytes:
    """Set the status and return an error body."""
    if retry_after_s:
        request.setHeader('Retry-After', str(retry_after_s))
    return answer(request, ErrorBody(ErrorDetail(message)), status)


def read_body(request: Any) -> bytes:
    """Return the body of a request."""
    return request.content.read()


def get_query_argument(request: Any, name: str, default: str = '') -> str:
    """Return an argument of the query."""
    lines = request.args.get(name.encode())
    return lines[0].decode() if lines else default


def abort(request: Any) -> None:
    """Close the connection of a request at once, without an answer."""
    transport = request.transport
    if transport is not None:
        request.channel.forceAbortClient()
