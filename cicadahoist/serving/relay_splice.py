"""Passes bytes on between two connections."""

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol, IPushProducer
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure
from zope.interface import implementer

from cicadahoist.clock import MS_PER_S
from cicadahoist.outside.connection_end import ConnectionEnd
from cicadahoist.outside.sockets import (
    count_unsent_bytes,
    has_unread_input,
    take_error,
)
from cicadahoist.serving.clean_close import close_when_drained, reset_on_exit
from cicadahoist.serving.outbound import (
    PROBE_IDLE_S,
    PROBE_PERIOD_S,
    SILENCE_TIMEOUT_MS,
)

# Bytes read at once, and bytes that wait at one end before the other is paused.
BUFFER_BYTES = 32_768
# Period of the check whether the last bytes before a reset have arrived.
RESET_CHECK_MS = 5


@implementer(IHalfCloseableProtocol, IPushProducer)
class SplicedEnd(TwistedProtocol):
    """
    One of two connections whose bytes are passed on to each other.

    A clean close is passed on after all bytes before it, a reset at once. A
    close before all bytes of the other connection were taken is passed on as a
    reset, after all bytes before it: the other one cannot see that they were
    acknowledged only here. What arrives while the connections are not joined
    yet goes to `on_early_data`.

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
        self._end: ConnectionEnd | None = None
        # Whether bytes of this connection were not taken by the other one.
        self._has_lost_bytes = False
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
            self._has_lost_bytes = True
            return
        self.received_bytes += len(received)
        self._count_bytes(len(received))
        self._other.transport.write(received)

    def readConnectionLost(self) -> None:
        """Judge the close while the socket shows what was not sent."""
        self._end = ConnectionEnd.from_transport(self.transport)
        self.transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """Do nothing: no end is half closed from here."""

    def connectionLost(self, reason: Any = None) -> None:
        """Pass the end on as the clean close or the reset that it is."""
        self.is_open = False
        is_lost = reason is None or not reason.check(ConnectionDone)
        is_clean = self._end is None or self._end.is_clean
        self.is_reset = is_lost or not is_clean
        other = self._other
        if other is not None and other.is_open:
            if is_lost:
                other.abort()
            else:
                other.close(is_clean=is_clean)
        self._on_lost(self)

    def close(self, *, is_clean: bool = True) -> None:
        """
        Close once all bytes are sent.

        :param is_clean: whether the other connection took all bytes of this one
        """
        self._has_lost_bytes = self._has_lost_bytes or not is_clean
        self.transport.unregisterProducer()
        close_when_drained(self.transport, self._close_drained)

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

    def _close_drained(self) -> None:
        if self._has_lost_bytes or has_unread_input(self.transport):
            reset_on_exit(self.transport)
            self._reset_when_acknowledged()
        else:
            self.transport.loseConnection()

    def _reset_when_acknowledged(self) -> None:
        """Reset after the last bytes have arrived, which it would overtake."""
        if not self.is_open:
            return
        transport = self.transport
        # The event loop does not watch a connection that is not read any more.
        if take_error(transport) or not count_unsent_bytes(transport):
            self.abort()
        else:
            transport.reactor.callLater(
                RESET_CHECK_MS / MS_PER_S, self._reset_when_acknowledged
            )
