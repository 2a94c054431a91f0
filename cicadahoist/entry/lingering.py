"""Connections whose last answer survives bytes that arrive after it."""

from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from zope.interface import implementer

from cicadahoist.clock import Timer

# Time in which a caller may read the end of an answer and close.
LINGER_MS = 2000


@implementer(IHalfCloseableProtocol)
class LingeringChannel(HTTPChannel):
    """
    A connection that waits for its caller to close after the last answer.

    At first only the direction to the caller is closed, and input is dropped:
    the reset that a close with unread input sends may destroy an answer that
    the caller has not read yet.
    """

    transport: Any

    def __init__(self) -> None:
        super().__init__()
        self.is_closing = False
        self._linger: Timer | None = None

    def dataReceived(self, data: bytes) -> None:
        """Process received bytes, unless the last answer was written."""
        if not self.is_closing:
            super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:
        """Process a line, unless the last answer was written."""
        if not self.is_closing:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:
        """Process a part of a body, unless the last answer was written."""
        if not self.is_closing:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        """Handle a complete request, unless the last answer was written."""
        if not self.is_closing:
            super().allContentReceived()

    def _send100Continue(self) -> None:  # noqa: N802
        if not self.is_closing:
            super()._send100Continue()

    def loseConnection(self) -> None:
        """Close once all answers are sent and the caller has closed."""
        if self.is_closing:
            return
        self.is_closing = True
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
        if self.is_closing:
            self.transport.loseConnection()
        else:
            self.transport.connectionLost(Failure(ConnectionDone()))

    def connectionLost(self, reason: Any = None) -> None:
        """Stop the time limit."""
        if self._linger is not None and self._linger.active():
            self._linger.cancel()
        super().connectionLost(reason)
