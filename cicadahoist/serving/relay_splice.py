"""Passes bytes on between two connections."""

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol as TwistedProtocol
from zope.interface import implementer

from cicadahoist.serving.clean_close import close_when_drained, reset_on_exit
from cicadahoist.serving.outbound import (
    PROBE_IDLE_S,
    PROBE_PERIOD_S,
    SILENCE_TIMEOUT_MS,
)

# Bytes read at once, and bytes that wait at one end before the other is paused.
BUFFER_BYTES = 32_768


@implementer(IPushProducer)
class SplicedEnd(TwistedProtocol):
    """
    One of two connections whose bytes are passed on to each other.

    A clean close is passed on after all bytes before it, a reset at once. What
    arrives while the connections are not joined yet goes to `on_early_data`.

    :param on_early_data: called with bytes that arrive before the join
    :param on_lost: called once, after the end of the connection
    """

    transport: Any

    def __init__(
        self,
        on_early_data: Callable[[bytes], None],
        on_lost: Callable[['SplicedEnd'], None],
    ) -> None:
        self._on_early_data = on_early_data
        self._on_lost = on_lost
        self._other: SplicedEnd | None = None
        self._count_bytes: Callable[[int], None] | None = None
        self.received_bytes = 0
        self.is_open = False
        self.is_reset = False

    def join(
        self, other: 'SplicedEnd', count_bytes: Callable[[int], None]
    ) -> None:
        """
        Pass all further bytes on to another connection.

        :param count_bytes: called with the number of bytes passed on
        """
        self._other = other
        self._count_bytes = count_bytes
        self.transport.registerProducer(other, True)

    def connectionMade(self) -> None:
        """Bound the buffers, and detect dead connections."""
        self.is_open = True
        transport = self.transport
        transport.bufferSize = BUFFER_BYTES
        transport.setTcpNoDelay(True)
        transport.setTcpKeepAlive(True)
        # The end of this process must not look like the end of an answer.
        reset_on_exit(transport)
        handle = transport.getHandle()
        for option, bound in (
            (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
            (socket.TCP_KEEPINTVL, PROBE_PERIOD_S),
            (socket.TCP_USER_TIMEOUT, SILENCE_TIMEOUT_MS),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, bound)

    def dataReceived(self, received: bytes) -> None:
        """Pass bytes on."""
        if self._other is None or self._count_bytes is None:
            self._on_early_data(received)
            return
        if not self._other.is_open:
            return
        self.received_bytes += len(received)
        self._count_bytes(len(received))
        self._other.transport.write(received)

    def connectionLost(self, reason: Any = None) -> None:
        """Pass the end on as the clean close or the reset that it is."""
        self.is_open = False
        self.is_reset = reason is None or not reason.check(ConnectionDone)
        other = self._other
        if other is not None and other.is_open:
            if self.is_reset:
                other.abort()
            else:
                other.close()
        self._on_lost(self)

    def close(self) -> None:
        """Close cleanly once all bytes are sent."""
        self.transport.unregisterProducer()
        close_when_drained(self.transport, self.transport.loseConnection)

    def abort(self) -> None:
        """Reset the connection."""
        self.transport.abortConnection()

    def pauseProducing(self) -> None:
        """Stop reading while the other connection is slow."""
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Continue to read."""
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Do nothing: the end of a connection is passed on as its kind."""
