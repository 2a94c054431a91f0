"""HTTP towards targets and the platform, by treq."""

import socket
from typing import Any

import msgspec
import treq
from twisted.internet import error as network_errors
from twisted.internet.abstract import isIPAddress, isIPv6Address
from twisted.internet.defer import (
    CancelledError,
    Deferred,
    TimeoutError,
    succeed,
)
from twisted.internet.endpoints import (
    HostnameEndpoint,
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
)
from twisted.internet.protocol import Factory, Protocol
from twisted.web.client import (
    URI,
    Agent,
    HTTPConnectionPool,
    RequestGenerationFailed,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseDone,
    ResponseFailed,
    ResponseNeverReceived,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from cicadahoist.clock import MS_PER_S
from cicadahoist.errors import LostAfterSendError, NotSentError, TargetDownError

MAX_CONNECTIONS = 256
LINGER_OFF = b'\x01\x00\x00\x00\x00\x00\x00\x00'

HTTP_OK = 200
HTTP_NO_CONTENT = 204
HTTP_MULTIPLE_CHOICES = 300
HTTP_NOT_MODIFIED = 304
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_PRECONDITION_FAILED = 412
HTTP_TOO_LARGE = 413
HTTP_LOCKED = 423
HTTP_BUSY = 429
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503

# Raised before the first byte of a request is written.
NOT_SENT_ERRORS = (
    network_errors.ConnectError,
    network_errors.ConnectingCancelledError,
    network_errors.DNSLookupError,
    RequestNotSent,
)
# Raised when a request may have been written in part or whole.
SENT_ERRORS = (
    network_errors.ConnectionClosed,
    RequestGenerationFailed,
    RequestTransmissionFailed,
    ResponseFailed,
    ResponseNeverReceived,
    PotentialDataLoss,
    CancelledError,
    TimeoutError,
)


class TargetResponse:
    """
    An answer whose status and headers arrived and whose body is to come.

    :param status: HTTP status
    :param headers: headers as they arrived
    """

    __slots__ = ('_reactor', '_response', 'headers', 'status')

    def __init__(self, response: Any, reactor: Any) -> None:
        self._response = response
        self._reactor = reactor
        self.status: int = response.code
        self.headers: Headers = response.headers

    def header(self, name: str) -> str:
        """Return a header, empty where there is none."""
        found = self.headers.getRawHeaders(name)
        return found[-1] if found else ''

    def deliver(self, receiver: Protocol) -> None:
        """
        Pass the body on to a twisted protocol, chunk by chunk.

        The receiver may pause and resume its transport. Its
        ``connectionLost`` gets ``ResponseDone`` after a whole body.
        """
        self._response.deliverBody(receiver)

    def abort(self) -> None:
        """Close the connection; only for a body that nothing receives."""
        self._response.deliverBody(_Closing())

    async def read_body(self, timeout_ms: int = 0) -> bytes:
        """
        Return the whole body.

        :param timeout_ms: longest wait for its end, 0 for no bound
        :raises LostAfterSendError: the body broke off
        """
        collector = _Collector()
        if timeout_ms:
            collector.whole.addTimeout(timeout_ms / MS_PER_S, self._reactor)
        self._response.deliverBody(collector)
        try:
            return await collector.whole
        except SENT_ERRORS as error:
            raise lost_after_send('answer', error) from error

    async def read_json(self) -> Any:
        """Return the decoded JSON body."""
        return msgspec.json.decode(await self.read_body())


@implementer(IBodyProducer)
class BytesProducer:
    """
    Writes a body in one go.

    The producer that treq makes of bytes waits for turns of the reactor.

    :param body: the whole body
    """

    __slots__ = ('_body', 'length')

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> 'Deferred[None]':  # noqa: N802
        """Write the body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Nothing is left to pause."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Nothing is left to resume."""

    def stopProducing(self) -> None:  # noqa: N802
        """Nothing is left to stop."""


def _producer(body: bytes) -> Any:
    return BytesProducer(body)


class HttpClient:
    """
    Sends calls and tells unsent calls from lost ones.

    :param connect_timeout_ms: longest time to connect
    :param reuse: whether connections are kept for later calls; a call on a
        kept connection that the other side just closed is lost after sending
    :param send_timeout_ms: time after which the kernel drops bytes that the
        other side has not acknowledged, 0 for the kernel's own bound
    """

    __slots__ = ('_agent', '_endpoints', '_pool', '_reactor')

    def __init__(
        self,
        reactor: Any,
        connect_timeout_ms: int,
        *,
        reuse: bool = True,
        send_timeout_ms: int = 0,
    ) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=reuse)
        self._pool.maxPersistentPerHost = MAX_CONNECTIONS
        self._pool.retryAutomatically = False
        self._endpoints: Any = _Endpoints(
            reactor, connect_timeout_ms, send_timeout_ms
        )
        self._agent: Any = Agent.usingEndpointFactory(
            reactor, self._endpoints, pool=self._pool
        )

    @classmethod
    def over(cls, endpoints: Any, reactor: Any) -> 'HttpClient':
        """
        Return a client that connects by given endpoints.

        :param endpoints: a twisted ``IAgentEndpointFactory`` provider
        :param reactor: schedules timeouts
        """
        client = cls(reactor, 0)
        client._endpoints = endpoints
        client._agent = Agent.usingEndpointFactory(
            reactor, endpoints, pool=client._pool
        )
        return client

    async def probe(self, url: str) -> None:
        """
        Open a connection and close it; no byte is sent.

        :raises TargetDownError: nothing listens there
        :raises NotSentError: the connection was not made in time
        """
        endpoint = self._endpoints.endpointForURI(URI.fromBytes(url.encode()))
        try:
            opened = await endpoint.connect(Factory.forProtocol(Protocol))
        except network_errors.ConnectionRefusedError as refused:
            raise _target_down(url) from refused
        except NOT_SENT_ERRORS as unsent:
            raise NotSentError(
                f'{url}: {unsent!r}', remedy='send it to another target'
            ) from unsent
        opened.transport.abortConnection()

    async def call(
        self,
        method: str,
        url: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_ms: int = 0,
    ) -> TargetResponse:
        """
        Send a call and return the answer once its headers arrived.

        :param timeout_ms: longest wait for the headers, 0 for no bound
        :raises NotSentError: no byte of the call was written
        :raises LostAfterSendError: the call may have arrived
        """
        timeout_s = timeout_ms / MS_PER_S if timeout_ms else None
        sent_headers: Any = headers
        try:
            response = await treq.request(
                method,
                url,
                headers=sent_headers,
                data=None if body is None else _producer(body),
                agent=self._agent,
                reactor=self._reactor,
                timeout=timeout_s,
                allow_redirects=False,
                unbuffered=True,
            )
        except network_errors.ConnectionRefusedError as refused:
            raise _target_down(url) from refused
        except NOT_SENT_ERRORS as unsent:
            raise NotSentError(
                f'{method} {url}: {unsent!r}',
                remedy='send it to another target',
            ) from unsent
        except SENT_ERRORS as lost:
            raise lost_after_send(f'{method} {url}', lost) from lost
        return TargetResponse(response, self._reactor)

    def close(self) -> 'Deferred[Any]':
        """Close kept connections."""
        return self._pool.closeCachedConnections()


def _target_down(url: str) -> TargetDownError:
    return TargetDownError(
        f'{url}: connection refused', remedy='send it to another target'
    )


def lost_after_send(what: str, error: BaseException) -> LostAfterSendError:
    """Return the typed error of a call that broke off."""
    return LostAfterSendError(
        f'{what}: {error!r}', remedy='look up whether it took effect'
    )


class _Collector(Protocol):
    def __init__(self) -> None:
        self.whole: Deferred[bytes] = Deferred(self._close)
        self._chunks: list[bytes] = []

    def dataReceived(self, chunk: bytes) -> None:  # noqa: N802
        self._chunks.append(chunk)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if self.whole.called:
            return
        if reason.check(ResponseDone):
            self.whole.callback(b''.join(self._chunks))
        else:
            self.whole.errback(reason)

    def _close(self, cancelled: Any) -> None:
        transport: Any = self.transport
        transport.stopProducing()


class _Closing(Protocol):
    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.loseConnection()


@implementer(IAgentEndpointFactory)
class _Endpoints:
    __slots__ = ('_connect_timeout_s', '_reactor', '_send_timeout_ms')

    def __init__(
        self, reactor: Any, connect_timeout_ms: int, send_timeout_ms: int
    ) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_ms / MS_PER_S
        self._send_timeout_ms = send_timeout_ms

    def endpointForURI(self, uri: Any) -> '_Endpoint':  # noqa: N802
        host = uri.host.decode()
        # HostnameEndpoint resolves IP numbers too, in a thread.
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
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
        return protocol
