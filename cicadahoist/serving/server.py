"""Servers for callers, with a graceful stop, and for the readiness check."""

from collections.abc import Callable, Mapping
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Site

from cicadahoist.clock import Clock
from cicadahoist.log import get_logger
from cicadahoist.loop_times import LoopTimes
from cicadahoist.metrics import render_metrics
from cicadahoist.outside.http import (
    HTTP_NOT_FOUND,
    HTTP_OK,
    HTTP_UNAVAILABLE,
)
from cicadahoist.outside.sockets import accept_waiting
from cicadahoist.policy.caller_admission.departure import UNREADY_WAIT_MS
from cicadahoist.serving.front import Front
from cicadahoist.serving.inbound import CallerConnections

logger = get_logger(__name__)

DRAIN_POLL_MS = 50
LISTEN_BACKLOG = 512


class FrontServer:
    """
    Serves callers.

    :param front: admits and handles requests
    :param host: IP address to listen on
    :param port: port for callers
    :param grace_ms: time from SIGTERM to SIGKILL
    :param clock: clock of the process
    :param loop_times: turns of the event loop
    :param reactor: the twisted reactor
    :param max_connections: connections of callers that may be open, none for
        no bound
    """

    __slots__ = (
        '_clock',
        '_connections',
        '_front',
        '_grace_ms',
        '_host',
        '_listening_port',
        '_port',
        '_reactor',
    )

    def __init__(
        self,
        front: Front,
        host: str,
        port: int,
        grace_ms: int,
        clock: Clock,
        loop_times: LoopTimes,
        reactor: Any,
        max_connections: int | None = None,
    ) -> None:
        self._front = front
        self._host = host
        self._port = port
        self._grace_ms = grace_ms
        self._clock = clock
        self._reactor = reactor
        self._connections = CallerConnections(
            front, clock, loop_times, max_connections
        )
        self._listening_port: Any = None

    async def start(self) -> None:
        """Start to accept callers."""
        self._listening_port = self._reactor.listenTCP(
            self._port, self._connections, LISTEN_BACKLOG, self._host
        )
        self._connections.start_sweeping()

    async def stop(self) -> None:
        """Report unready, stop listening and wait for open requests to end."""
        departure = self._front.departure
        departure.begin(self._clock.now_ms(), self._grace_ms)
        logger.bind(open=self._connections.count_open()).info('leaving')
        await self._clock.sleep(UNREADY_WAIT_MS)
        # A request that is not read can be sent to another instance without
        # risk; one that is read near the end of the grace would be cut off.
        if self._listening_port is not None:
            accept_waiting(self._listening_port)
            await self._listening_port.stopListening()
        while self._clock.now_ms() < departure.cut_ms:
            self._connections.close_unused()
            if not self._connections.count_open():
                break
            await self._clock.sleep(DRAIN_POLL_MS)
        logger.bind(open=self._connections.count_open()).info('left')
        if self._connections.count_open():
            # What is read from now on is refused.
            departure.is_over = True
            self._connections.end_requests()
            await self._clock.sleep(DRAIN_POLL_MS)
            self._connections.abort_unsent()
        self._connections.report_unread()
        self._connections.stop_sweeping()


class ReadyServer:
    """
    Serves the platform's readiness check and the metrics.

    :param is_ready: returns whether this instance accepts callers
    :param path: path of the readiness check
    :param host: IP address to listen on
    :param port: port of the readiness check
    :param reactor: the twisted reactor
    """

    __slots__ = (
        '_host',
        '_is_ready',
        '_listening_port',
        '_port',
        '_reactor',
        '_site',
    )

    def __init__(
        self, is_ready: Any, path: str, host: str, port: int, reactor: Any
    ) -> None:
        self._host = host
        self._port = port
        self._reactor = reactor
        self._listening_port: Any = None
        self._is_ready = is_ready
        pages: dict[str, _Page] = {
            path: self._render_ready,
            '/metrics': _render_metrics,
        }
        self._site = Site(_Pages(pages))

    async def start(self) -> None:
        """Start to listen."""
        self._listening_port = self._reactor.listenTCP(
            self._port, self._site, interface=self._host
        )

    async def stop(self) -> None:
        """Stop listening."""
        await self._listening_port.stopListening()

    def _render_ready(self, request: Any) -> bytes:
        status = HTTP_OK if self._is_ready() else HTTP_UNAVAILABLE
        request.setResponseCode(status)
        return b''


_Page = Callable[[Any], bytes]


class _Pages(Resource):
    """Renders pages by path, whatever the method."""

    isLeaf = True

    def __init__(self, page_by_path: Mapping[str, _Page]) -> None:
        super().__init__()
        self._page_by_path = page_by_path

    def render(self, request: Any) -> bytes:
        """Return the page of a request."""
        page = self._page_by_path.get(request.path.decode('latin-1'))
        if page is None:
            request.setResponseCode(HTTP_NOT_FOUND)
            return b''
        return page(request)


def _render_metrics(request: Any) -> bytes:
    request.setHeader(b'Content-Type', b'text/plain; version=0.0.4')
    return render_metrics()
