"""HTTP client for targets and the platform, based on treq."""

from typing import Any

import msgspec
import treq
from twisted.internet import error as network_errors
from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.protocol import Factory, Protocol
from twisted.web.client import (
    URI,
    Agent,
    RequestGenerationFailed,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
    ResponseNeverReceived,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers

from cicadahoist.clock import MS_PER_S
from cicadahoist.errors import LostAfterSendError, NotSentError, TargetDownError
from cicadahoist.outside.bodies import (
    MAX_BODY_BYTES,
    BodyCollector,
    BytesProducer,
    ClosingReceiver,
)
from cicadahoist.outside.connections import IDLE_MS, Endpoints, new_pool

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
# Statuses of answers are below this one; RFC 9110, section 15.
STATUS_END = 600
FINAL_STATUSES = range(HTTP_OK, STATUS_END)

# Raised before the first byte of a request was written.
NOT_SENT_ERRORS = (
    network_errors.ConnectError,
    network_errors.ConnectingCancelledError,
    network_errors.DNSLookupError,
    RequestNotSent,
)
# Raised when all or part of a request may have been written.
MAYBE_SENT_ERRORS = (
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
    An answer whose status and headers have arrived, but not yet its body.

    :param status: HTTP status
    :param headers: headers as received
    :param max_body_bytes: longest body that `read_body` returns
    """

    __slots__ = (
        '_reactor',
        '_response',
        'headers',
        'max_body_bytes',
        'status',
    )

    def __init__(
        self, response: Any, reactor: Any, max_body_bytes: int
    ) -> None:
        self._response = response
        self.max_body_bytes = max_body_bytes
        self._reactor = reactor
        self.status: int = response.code
        self.headers: Headers = response.headers

    def header(self, name: str) -> str:
        """Return the last value of a header, empty if it is absent."""
        found = self.headers.getRawHeaders(name)
        return found[-1] if found else ''

    def deliver(self, receiver: Protocol) -> None:
        """
        Deliver the body to a twisted protocol, chunk by chunk.

        The receiver may pause and resume its transport. Its
        ``connectionLost`` gets ``ResponseDone`` after a complete body.
        """
        self._response.deliverBody(receiver)

    def abort(self) -> None:
        """Close the connection; valid only if nothing receives the body."""
        self._response.deliverBody(ClosingReceiver())

    async def read_body(
        self, timeout_ms: int = 0, *, accepts_unframed: bool = False
    ) -> bytes:
        """
        Return the complete body.

        :param timeout_ms: time limit for its end, 0 for none
        :param accepts_unframed: whether a body with neither a length nor chunks
            ends with its connection; the caller has to check that it is whole
        :raises LostAfterSendError: the body ended early or the limit passed
        :raises AnswerTooLongError: the body is longer than `max_body_bytes`
        """
        collector = BodyCollector(
            self.max_body_bytes, accepts_unframed=accepts_unframed
        )
        if timeout_ms:
            collector.complete_body.addTimeout(
                timeout_ms / MS_PER_S, self._reactor
            )
        self._response.deliverBody(collector)
        try:
            return await collector.complete_body
        except MAYBE_SENT_ERRORS as error:
            raise build_lost_error('answer', error) from error

    async def read_json(self) -> Any:
        """Return the decoded JSON body."""
        return msgspec.json.decode(await self.read_body())


class HttpClient:
    """
    Sends calls; its errors separate unsent calls from those lost after sending.

    An answer does not state which call it belongs to. It counts for the call
    of its connection, so that each call has a connection of its own unless the
    server is known to answer each call once.

    :param connect_timeout_ms: time limit for connecting
    :param reuse: whether connections are kept for later calls; not for targets,
        which may answer twice. A call on a kept connection that the other side
        just closed is lost after sending
    :param idle_ms: time after which an idle connection is closed
    :param send_timeout_ms: time after which the kernel drops bytes that the
        other side has not acknowledged, 0 for the kernel's default
    """

    __slots__ = ('_agent', '_endpoints', '_pool', '_reactor')

    def __init__(
        self,
        reactor: Any,
        connect_timeout_ms: int,
        *,
        reuse: bool = False,
        idle_ms: int = IDLE_MS,
        send_timeout_ms: int = 0,
    ) -> None:
        self._reactor = reactor
        self._pool = new_pool(reactor, idle_ms, reuse=reuse)
        self._endpoints: Any = Endpoints(
            reactor, connect_timeout_ms, send_timeout_ms
        )
        self._agent: Any = Agent.usingEndpointFactory(
            reactor, self._endpoints, pool=self._pool
        )

    @classmethod
    def with_endpoints(cls, endpoints: Any, reactor: Any) -> 'HttpClient':
        """
        Return a client that connects through the given endpoints.

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
        Open a connection and close it without sending a byte.

        :raises TargetDownError: the connection was refused
        :raises NotSentError: no connection was made in time
        """
        endpoint = self._endpoints.endpointForURI(URI.fromBytes(url.encode()))
        try:
            opened = await endpoint.connect(Factory.forProtocol(Protocol))
        except network_errors.ConnectionRefusedError as refused:
            raise _build_refused_error(url) from refused
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
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> TargetResponse:
        """
        Send a call and return the answer once its headers have arrived.

        :param timeout_ms: time limit for the headers, 0 for none
        :param max_body_bytes: longest body of the answer
        :raises NotSentError: no byte of the call was written
        :raises LostAfterSendError: the call may have arrived
        """
        timeout_s = timeout_ms / MS_PER_S if timeout_ms else None
        sent_headers: Any = headers
        producer: Any = None if body is None else BytesProducer(body)
        try:
            response = await treq.request(
                method,
                url,
                headers=sent_headers,
                data=producer,
                agent=self._agent,
                reactor=self._reactor,
                timeout=timeout_s,
                allow_redirects=False,
                unbuffered=True,
            )
        except network_errors.ConnectionRefusedError as refused:
            raise _build_refused_error(url) from refused
        except NOT_SENT_ERRORS as unsent:
            raise NotSentError(
                f'{method} {url}: {unsent!r}',
                remedy='send it to another target',
            ) from unsent
        except MAYBE_SENT_ERRORS as lost:
            raise build_lost_error(f'{method} {url}', lost) from lost
        answer = TargetResponse(response, self._reactor, max_body_bytes)
        if answer.status not in FINAL_STATUSES:
            answer.abort()
            raise LostAfterSendError(
                f'{method} {url}: answer with status {answer.status}',
                remedy='look up whether it took effect',
            )
        return answer

    def close(self) -> 'Deferred[Any]':
        """Close the idle connections of the pool."""
        return self._pool.closeCachedConnections()


def _build_refused_error(url: str) -> TargetDownError:
    return TargetDownError(
        f'{url}: connection refused', remedy='send it to another target'
    )


def build_lost_error(
    call_name: str, error: BaseException
) -> LostAfterSendError:
    """Return the typed error of a call that failed after sending."""
    return LostAfterSendError(
        f'{call_name}: {error!r}', remedy='look up whether it took effect'
    )
