"""Limits on the size and duration of a caller's requests."""

from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site
from zope.interface import implementer

from cicadahoist.clock import Clock, Timer
from cicadahoist.config import Config
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.metrics import Metrics
from cicadahoist.outside.sockets import count_unsent_bytes, has_unread_input
from cicadahoist.reasons import Refusal
from cicadahoist.settings import BODY_LIMIT, HEADER_TIMEOUT

IDLE_TIMEOUT_S = 60
# Time in which a caller may read the end of an answer and close.
LINGER_MS = 2000


class BoundedRequest(Request):
    """A request that is refused once its body exceeds the limit."""

    channel: Any

    def __init__(self, channel: Any, queued: Any = None) -> None:
        super().__init__(channel, queued)
        self.received_bytes = 0

    def gotLength(self, length: int | None) -> None:
        """Refuse a body whose declared length exceeds the limit."""
        super().gotLength(length)
        if length is not None and length > self.channel.factory.body_limit:
            self.channel.refuse(Refusal.body_too_large)

    def handleContentChunk(self, data: bytes) -> None:
        """Refuse a body once it exceeds the limit."""
        self.received_bytes += len(data)
        if self.received_bytes > self.channel.factory.body_limit:
            self.channel.refuse(Refusal.body_too_large)
        else:
            super().handleContentChunk(data)


@implementer(IHalfCloseableProtocol)
class BoundedChannel(HTTPChannel):
    """
    A connection with a time limit for receiving each request.

    After its last answer only the direction to the caller is closed, and input
    is dropped until the caller has closed too: the reset that a close with
    unread input sends may destroy an answer that the caller has not read yet.
    """

    transport: Any

    def __init__(self) -> None:
        super().__init__()
        self.request_timer: Timer | None = None
        self._linger: Timer | None = None
        self._is_closing = False
        # Bytes of the last answer that were unsent at the last idle timeout.
        self._unsent_bytes = 0

    @property
    def is_reading(self) -> bool:
        """Whether a part of a request has been read, and no more than that."""
        is_begun = bool(self.requests or self._buffer)
        return is_begun and not (self._handlingRequest or self._is_closing)

    def dataReceived(self, data: bytes) -> None:
        """Process received bytes, and limit the time to receive the rest."""
        if self._is_closing:
            return
        super().dataReceived(data)
        if self.is_reading and self.request_timer is None:
            self.request_timer = self.factory.clock.call_later(
                self.factory.header_timeout_ms,
                self.refuse,
                Refusal.header_too_slow,
            )

    def lineReceived(self, line: bytes) -> None:
        """Process a line, unless the last answer was written."""
        if not self._is_closing:
            super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a request with a line that is too long."""
        self.refuse(Refusal.bad_request)

    def rawDataReceived(self, data: bytes) -> None:
        """Process a part of a body, unless the last answer was written."""
        if not self._is_closing:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        """Stop the time limit, and handle the request unless it is refused."""
        if self._is_closing:
            return
        self._stop_timer()
        super().allContentReceived()

    def timeoutConnection(self) -> None:
        """
        Close an idle connection, unless bytes of a request have arrived.

        A connection is not idle while its caller reads the last answer.
        """
        previous_bytes = self._unsent_bytes
        self._unsent_bytes = count_unsent_bytes(self.transport)
        if self._unsent_bytes and self._unsent_bytes == previous_bytes:
            self.transport.abortConnection()
        elif (
            self._unsent_bytes
            or self.is_reading
            or has_unread_input(self.transport)
        ):
            self.setTimeout(self.timeOut)
        else:
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def loseConnection(self) -> None:
        """Close once all answers are sent and the caller has closed."""
        if self._is_closing:
            return
        self._is_closing = True
        self._stop_timer()
        self.setTimeout(None)
        self.transport.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def writeConnectionLost(self) -> None:
        """Limit the time that the caller has to close."""
        self._linger = self.factory.clock.call_later(
            LINGER_MS, self.transport.loseConnection
        )

    def readConnectionLost(self) -> None:
        """Close, after all answers are sent if the last one was written."""
        if self._is_closing:
            self.transport.loseConnection()
        else:
            self.transport.connectionLost(Failure(ConnectionDone()))

    def connectionLost(self, reason: Any = None) -> None:
        """Stop the time limits."""
        self._stop_timer()
        if self._linger is not None and self._linger.active():
            self._linger.cancel()
        super().connectionLost(reason)

    def refuse(self, reason: Refusal) -> None:
        """Send a refusal and close the connection."""
        if self._is_closing:
            return
        self.factory.metrics.count_refusal(reason)
        refused = RequestRefusedError(reason, 'the request was not read')
        body = refused.encode_body('')
        self.transport.write(
            b'HTTP/1.1 %d Refused\r\n'
            b'Content-Type: application/json\r\n'
            b'Content-Length: %d\r\n'
            b'Connection: close\r\n\r\n%b' % (reason.status, len(body), body)
        )
        self.loseConnection()

    def _stop_timer(self) -> None:
        if self.request_timer is not None and self.request_timer.active():
            self.request_timer.cancel()
        self.request_timer = None


class BoundedSite(Site):
    """
    Serves a resource with limits on requests.

    :param resource: the twisted resource
    :param clock: clock of the process
    :param metrics: counts refusals
    :param body_limit: maximum length of a body in bytes
    :param header_timeout_ms: maximum time from the first byte of a request
        to its last one
    """

    protocol: Any = BoundedChannel

    def __init__(
        self,
        resource: Any,
        clock: Clock,
        metrics: Metrics,
        body_limit: int,
        header_timeout_ms: int,
    ) -> None:
        super().__init__(
            resource,
            requestFactory=BoundedRequest,
            timeout=IDLE_TIMEOUT_S,
            reactor=clock.scheduler,
        )
        self.clock = clock
        self.metrics = metrics
        self.body_limit = body_limit
        self.header_timeout_ms = header_timeout_ms

    @classmethod
    def from_config(
        cls, config: Config, resource: Any, clock: Clock, metrics: Metrics
    ) -> 'BoundedSite':
        """Return a site with the limits given in the settings."""
        return cls(
            resource,
            clock,
            metrics,
            config.read(BODY_LIMIT),
            config.read(HEADER_TIMEOUT),
        )
