"""Connection pools and endpoints for HTTP clients."""

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.abstract import isIPAddress, isIPv6Address
from twisted.internet.defer import Deferred, fail
from twisted.internet.endpoints import (
    HostnameEndpoint,
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
)
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure
from twisted.web.client import (
    HTTP11ClientProtocol,
    HTTPConnectionPool,
    RequestNotSent,
)
from twisted.web.http import _DataLoss
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from cicadahoist.clock import MS_PER_S
from cicadahoist.errors import AnswerTooLongError
from cicadahoist.log import get_logger
from cicadahoist.outside.connection_end import ConnectionEnd

logger = get_logger(__name__)

MAX_CONNECTIONS = 256
# Longest head of an answer, with the interim (1xx) heads before it. An answer
# exceeds it with the read of up to 64 KB that goes beyond it.
MAX_HEAD_BYTES = 16_384
# Below the idle timeout of 5 s that common servers use.
IDLE_MS = 4000
# SO_LINGER with 0 s: closing resets the connection and drops unsent bytes.
RESET_ON_CLOSE = b'\x01\x00\x00\x00\x00\x00\x00\x00'


class _CutBody:
    """Decoder of a body that is not whole, whatever has arrived of it."""

    def noMoreData(self) -> None:  # noqa: N802
        raise _DataLoss


@implementer(IHalfCloseableProtocol)
class CallConnection(HTTP11ClientProtocol):
    """
    Connection that is used again only if each byte belonged to a call.

    The protocol of twisted drops what follows an answer in one read, and lets
    its pool use a connection until its close is reported. It bounds each line
    of a head, but neither their number nor that of the interim heads. It takes
    a reset for the end of a body without a length.

    :param on_idle: called when the connection can be used again
    """

    transport: Any

    def __init__(self, on_idle: Callable[[Any], None]) -> None:
        super().__init__(on_idle)
        self._received_bytes = 0
        self._is_in_head = False
        self._is_too_long = False
        self._is_spent = False
        self._end: ConnectionEnd | None = None

    @property
    def state(self) -> str:
        """State that the pool reads before it uses the connection again."""
        return 'SPENT' if self._is_spent else self._state

    def request(self, request: Any) -> 'Deferred[Any]':
        """Send a request; return its answer once the head has arrived."""
        if self._is_spent:
            return fail(RequestNotSent())
        self._received_bytes = 0
        self._is_in_head = True
        return super().request(request).addBoth(self._leave_head)

    def dataReceived(self, received: bytes) -> None:  # noqa: N802
        """Parse bytes of an answer, and end it if its head is too long."""
        if self._parser is None:
            self._end_use(len(received))
            self.transport.abortConnection()
            return
        self._received_bytes += len(received)
        super().dataReceived(received)
        if self._is_in_head and self._received_bytes > MAX_HEAD_BYTES:
            self._is_too_long = True
            self.transport.abortConnection()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close as the other side has closed, which ends a body."""
        self._is_spent = True
        self._end = ConnectionEnd.from_transport(self.transport)
        if self._end.is_clean:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this side never closes only its half."""

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the end of the connection to the call that uses it."""
        is_closed = reason is not None and reason.check(ConnectionDone)
        is_clean = is_closed and (self._end is None or self._end.is_clean)
        parser: Any = self._parser
        if parser is not None and parser.bodyDecoder is not None:
            if not is_clean:
                parser.bodyDecoder = _CutBody()
        if self._is_too_long:
            reason = Failure(
                AnswerTooLongError(
                    f'head of an answer of more than {MAX_HEAD_BYTES} bytes',
                    remedy='see why the target sends bytes without end',
                )
            )
        super().connectionLost(reason)

    def _leave_head(self, answer: Any) -> Any:
        self._is_in_head = False
        return answer

    def _finishResponse(self, rest: bytes) -> None:  # noqa: N802
        if rest:
            self._end_use(len(rest))
            if self._currentRequest is not None:
                self._currentRequest.persistent = False
        super()._finishResponse(rest)

    def _end_use(self, excess_bytes: int) -> None:
        if not self._is_spent:
            logger.info(
                'connection closed, {0} bytes came that no call was due',
                excess_bytes,
            )
        self._is_spent = True


class _ConnectionFactory(Factory):
    noisy = False

    def __init__(self, on_idle: Callable[[Any], None], endpoint: str) -> None:
        self._on_idle = on_idle
        self._endpoint = endpoint

    def __repr__(self) -> str:
        return f'connections to {self._endpoint}'

    def buildProtocol(self, addr: Any) -> CallConnection:  # noqa: N802
        return CallConnection(self._on_idle)


class _Pool(HTTPConnectionPool):
    _factory: Any = _ConnectionFactory


def new_pool(reactor: Any, idle_ms: int, *, reuse: bool) -> Any:
    """
    Return a connection pool that never retries a request by itself.

    :param idle_ms: time after which an idle connection is closed
    :param reuse: whether connections are kept for later requests
    """
    pool: Any = _Pool(reactor, persistent=reuse)
    pool.maxPersistentPerHost = MAX_CONNECTIONS
    pool.cachedConnectionTimeout = idle_ms / MS_PER_S
    pool.retryAutomatically = False
    return pool


@implementer(IAgentEndpointFactory)
class Endpoints:
    """
    Creates endpoints that set the socket options of a client.

    :param connect_timeout_ms: time limit for connecting
    :param send_timeout_ms: time after which the kernel drops bytes that the
        other side has not acknowledged, 0 for the kernel's default
    """

    __slots__ = ('_connect_timeout_s', '_reactor', '_send_timeout_ms')

    def __init__(
        self, reactor: Any, connect_timeout_ms: int, send_timeout_ms: int
    ) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_ms / MS_PER_S
        self._send_timeout_ms = send_timeout_ms

    def endpointForURI(self, uri: Any) -> '_Endpoint':  # noqa: N802
        """Return an endpoint for the host and port of a URI."""
        host = uri.host.decode()
        # HostnameEndpoint resolves even IP addresses, in a thread.
        kind: Any = HostnameEndpoint
        if isIPAddress(host):
            kind = TCP4ClientEndpoint
        elif isIPv6Address(host):
            kind = TCP6ClientEndpoint
        inner = kind(
            self._reactor, host, uri.port, timeout=self._connect_timeout_s
        )
        return _Endpoint(inner, self._send_timeout_ms)


class _Endpoint:
    __slots__ = ('_inner', '_send_timeout_ms')

    def __init__(self, inner: Any, send_timeout_ms: int) -> None:
        self._inner = inner
        self._send_timeout_ms = send_timeout_ms

    def connect(self, factory: Any) -> 'Deferred[Any]':
        return self._inner.connect(factory).addCallback(self._set_options)

    def _set_options(self, protocol: Any) -> Any:
        protocol.transport.setTcpNoDelay(True)
        if self._send_timeout_ms:
            handle = protocol.transport.getHandle()
            handle.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                self._send_timeout_ms,
            )
            handle.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        return protocol
