"""Connections of callers: limits on requests, and graceful closes."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.server import Request, Site

from cicadahoist.clock import Clock, Timer
from cicadahoist.config import Config
from cicadahoist.entry.lingering import LingeringChannel
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.metrics import Metrics
from cicadahoist.outside.sockets import count_unsent_bytes, has_unread_input
from cicadahoist.reasons import Refusal
from cicadahoist.settings import BODY_LIMIT, HEADER_TIMEOUT

IDLE_TIMEOUT_S = 60
# A timer of this length fires after the event loop has read all sockets.
NEXT_TURN_MS = 10


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


class BoundedChannel(LingeringChannel):
    """A connection with a time limit for receiving each request."""

    def __init__(self) -> None:
        super().__init__()
        self.request_timer: Timer | None = None
        # Bytes of the last answer that were unsent at the last idle timeout.
        self._unsent_bytes = 0

    @property
    def is_reading(self) -> bool:
        """Whether a part of a request has been read, and no more than that."""
        is_begun = bool(self.requests or self._buffer)
        return is_begun and not (self._handlingRequest or self.is_closing)

    def dataReceived(self, data: bytes) -> None:
        """Process received bytes, and limit the time to receive the rest."""
        super().dataReceived(data)
        if self.factory.is_closing:
            self.close_unused()
        elif self.is_reading and self.request_timer is None:
            self.request_timer = self.factory.clock.call_later(
                self.factory.header_timeout_ms, self._refuse_as_too_slow
            )

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a request with a line that is too long."""
        self.refuse(Refusal.bad_request)

    def allContentReceived(self) -> None:
        """Stop the time limit, as the request is complete."""
        self._stop_timer()
        super().allContentReceived()

    def writeHeaders(
        self, version: bytes, code: bytes, reason: bytes, headers: Any
    ) -> None:
        """Announce in the last answer before a stop that it is the last one."""
        has_read_ahead = bool(self._buffer) or any(self._dataBuffer)
        if self.factory.is_leaving and not has_read_ahead:
            self.persistent = False
            headers.setRawHeaders(b'Connection', [b'close'])
        super().writeHeaders(version, code, reason, headers)

    def requestDone(self, request: Any) -> None:
        """Continue with the next request, or close at a stop."""
        super().requestDone(request)
        if self.factory.is_closing:
            self.close_unused()

    def close_unused(self) -> None:
        """Close, unless a request is handled; refuse one read in part."""
        if self._handlingRequest or self.is_closing:
            return
        if self.is_reading:
            self.refuse(Refusal.leaving)
        elif has_unread_input(self.transport):
            return
        elif count_unsent_bytes(self.transport):
            self.loseConnection()
        else:
            self.transport.unregisterProducer()
            self.transport.loseConnection()

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
        self._stop_timer()
        super().loseConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Stop the time limit."""
        self._stop_timer()
        super().connectionLost(reason)
        self.factory.remove(self)

    def refuse(self, reason: Refusal) -> None:
        """Send a refusal and close the connection."""
        if self.is_closing:
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

    def _refuse_as_too_slow(self) -> None:
        if has_unread_input(self.transport):
            # The rest may have arrived: the next turn reads it first.
            self.request_timer = self.factory.clock.call_later(
                NEXT_TURN_MS, self._refuse_as_too_slow
            )
        else:
            self.refuse(Refusal.header_too_slow)

    def _stop_timer(self) -> None:
        if self.request_timer is not None and self.request_timer.active():
            self.request_timer.cancel()
        self.request_timer = None


class BoundedSite(Site):
    """
    Serves a resource with limits on requests, and closes gracefully.

    While ``is_leaving`` is set, each answer announces the close of its
    connection. While ``is_closing`` is set, no connection is kept.

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
        self.is_leaving = False
        self.is_closing = False
        self._channels: set[BoundedChannel] = set()
        self._close_waiters: list[Deferred[None]] = []

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

    def buildProtocol(self, addr: Any) -> Any:
        """Return the protocol of a new connection."""
        channel = super().buildProtocol(addr)
        self._channels.add(channel)
        return channel

    def remove(self, channel: BoundedChannel) -> None:
        """Remove a connection that is lost."""
        self._channels.discard(channel)
        if not self._channels:
            close_waiters = self._close_waiters
            self._close_waiters = []
            for closed in close_waiters:
                closed.callback(None)

    def close_unused(self) -> None:
        """Close all connections, each after the requests that it has sent."""
        self.is_leaving = True
        self.is_closing = True
        for channel in list(self._channels):
            channel.close_unused()

    def abort_all(self) -> None:
        """Close all connections at once."""
        for channel in list(self._channels):
            channel.transport.abortConnection()

    async def wait_until_closed(self) -> None:
        """Wait until no connection is left."""
        if self._channels:
            closed: Deferred[None] = Deferred()
            self._close_waiters.append(closed)
            await closed
