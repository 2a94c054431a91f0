"""Bounds on what a caller's connection may send."""

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
    """A request whose body is refused once it is above the limit."""

    channel: Any

    def __init__(self, channel: Any, queued: Any = None) -> None:
        super().__init__(channel, queued)
        self.received_bytes = 0

    def gotLength(self, length: int | None) -> None:
        """Refuse a body whose announced length is above the limit."""
        super().gotLength(length)
        if length is not None and length > self.channel.factory.body_limit:
            self.channel.refuse(Refusal.body_too_large)

    def handleContentChunk(self, data: bytes) -> None:
        """Refuse a body that grows above the limit."""
        self.received_bytes += len(data)
        if self.received_bytes > self.channel.factory.body_limit:
            self.channel.refuse(Refusal.body_too_large)
        else:
            super().handleContentChunk(data)


class BoundedChannel(HTTPChannel):
    """A connection on which each request has to arrive within a time."""

    transport: Any

    def __init__(self) -> None:
        super().__init__()
        self.request_timer: Timer | None = None
        self.is_refused = False

    def dataReceived(self, data: bytes) -> None:
        """Take bytes unless the connection was refused."""
        if not self.is_refused:
            super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:
        """Start the time limit with the first line of a request."""
        if self.request_timer is None:
            self.request_timer = self.factory.clock.call_later(
                self.factory.header_timeout_ms,
                self.refuse,
                Refusal.header_too_slow,
            )
        super().lineReceived(line)

    def allContentReceived(self) -> None:
        """End the time limit, as the request is whole."""
        self._stop_timer()
        super().allContentReceived()

    def connectionLost(self, reason: Any = None) -> None:
        """End the time limit."""
        self._stop_timer()
        super().connectionLost(reason)

    def refuse(self, reason: Refusal) -> None:
        """Send a refusal and close the connection."""
        if self.is_refused:
            return
        self.is_refused = True
        self._stop_timer()
        self.factory.metrics.refused(reason)
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
    Serves a resource within bounds.

    :param body_limit: longest body in bytes
    :param header_timeout_ms: longest time to send a request
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
        """Return a site with the bounds that the settings give."""
        return cls(
            resource,
            clock,
            metrics,
            config.read(BODY_LIMIT),
            config.read(HEADER_TIMEOUT),
        )
