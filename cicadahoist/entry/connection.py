"""Limits on the size and duration of a caller's requests."""

from typing import Any

from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from cicadahoist.clock import Clock, Timer
from cicadahoist.config import Config
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.metrics import Metrics
from cicadahoist.reasons import Refusal
from cicadahoist.settings import BODY_LIMIT, HEADER_TIMEOUT

IDLE_TIMEOUT_S = 60


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


class BoundedChannel(HTTPChannel):
    """A connection with a time limit for receiving each request."""

    transport: Any

    def __init__(self) -> None:
        super().__init__()
        self.request_timer: Timer | None = None
        self.is_refused = False

    def dataReceived(self, data: bytes) -> None:
        """Process received bytes, unless the connection was refused."""
        if not self.is_refused:
            super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:
        """Start the time limit at the first line of a request."""
        if self.request_timer is None:
            self.request_timer = self.factory.clock.call_later(
                self.factory.header_timeout_ms,
                self.refuse,
                Refusal.header_too_slow,
            )
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a request with a line that is too long."""
        self.refuse(Refusal.bad_request)

    def allContentReceived(self) -> None:
        """Stop the time limit, and handle the request unless it is refused."""
        if self.is_refused:
            return
        self._stop_timer()
        super().allContentReceived()

    def connectionLost(self, reason: Any = None) -> None:
        """Stop the time limit."""
        self._stop_timer()
        super().connectionLost(reason)

    def refuse(self, reason: Refusal) -> None:
        """Send a refusal and close the connection."""
        if self.is_refused:
            return
        self.is_refused = True
        self._stop_timer()
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
    :param header_timeout_ms: maximum time from the first line of a request
        to its last byte
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
