"""HTTP connections to targets."""

import socket
from typing import Any, Protocol

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure
from zope.interface import implementer

from cicadahoist.clock import Clock
from cicadahoist.outside.connection_end import ConnectionEnd
from cicadahoist.requests import BodyHold
from cicadahoist.serving.answers.endings import AnswerLoss, Receiver
from cicadahoist.serving.answers.reader import AnswerReader
from cicadahoist.serving.body_sender import BodySender

# TCP closes a connection on which nothing was acknowledged for this time. It
# counts from the last byte, which may be older than the silence of a target by
# the time until the first probe, and it decides whatever the count of probes.
SILENCE_TIMEOUT_MS = 4000
PROBE_IDLE_S = 1
PROBE_PERIOD_S = 1
# Applies where a target does not state how long it keeps idle connections.
DEFAULT_IDLE_MS = 900
# A target closes idle connections by its own clock, so reuse stops earlier.
IDLE_MARGIN_MS = 400
# All attempts of a connection are remembered, as any of their answers may come
# once more.
MAX_CARRIED_ATTEMPTS = 1024


class Pool(Protocol):
    """Keeps the connections to a target between attempts."""

    def release(self, connection: 'TargetConnection') -> None:
        """Keep a connection for later attempts."""

    def discard(self, connection: 'TargetConnection') -> None:
        """Remove a connection that was closed."""

    def record_heard(self, connection: 'TargetConnection') -> None:
        """Record that bytes of the target have arrived."""


@implementer(IHalfCloseableProtocol)
class TargetConnection(TwistedProtocol):
    """
    One connection to a target, for one attempt at a time.

    :param clock: clock of the process
    :param peer: name of the instance that passes its bytes on, empty for none
    """

    transport: Any

    def __init__(self, clock: Clock, peer: str = '') -> None:
        self._clock = clock
        self.peer = peer
        self._reader: AnswerReader | None = None
        self._pool: Pool | None = None
        self._body_sender: BodySender | None = None
        # Status lines of its answers, by the ids of their attempts.
        self._carried: dict[str, bytes] = {}
        self._end: ConnectionEnd | None = None
        self.idle_timeout_ms = DEFAULT_IDLE_MS
        self.idle_since_ms = 0
        self.is_open = True
        self.is_reused = False

    def has_carried(self, name: str) -> bool:
        """
        Return whether an attempt of this id was sent before.

        Its answer may come once more, and states the same id.
        """
        return bool(name) and name in self._carried

    def connectionMade(self) -> None:
        """Set the TCP options that detect dead connections."""
        transport = self.transport
        transport.setTcpNoDelay(True)
        transport.setTcpKeepAlive(True)
        handle = transport.getHandle()
        if handle is None:
            return
        for option, bound in (
            (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
            (socket.TCP_KEEPINTVL, PROBE_PERIOD_S),
            (socket.TCP_USER_TIMEOUT, SILENCE_TIMEOUT_MS),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, bound)

    def send(
        self,
        request: h11.Request,
        body: bytes,
        receiver: Receiver,
        pool: Pool,
        hold: BodyHold | None = None,
        name: str = '',
    ) -> None:
        """
        Send a complete request.

        :param request: the head of the request
        :param body: the body, empty for none
        :param receiver: receives the answer
        :param pool: where the connection goes after the answer
        :param hold: the memory for the body, released once it is sent; none if
            it is not counted
        :param name: id of the attempt, which its answer states
        """
        self._pool = pool
        self._reader = AnswerReader(
            request, name, self._carried, receiver, self._release_or_close
        )
        head, framed_body = self._reader.encode_request(body)
        self._body_sender = BodySender(self.transport, framed_body, hold)
        self._body_sender.start(head)

    def abandon(self) -> None:
        """Close without a report to the receiver; the target stops its work."""
        if self._reader is not None:
            self._reader.cancel()
            self._reader = None
        self.close()

    def close(self) -> None:
        """Close immediately."""
        if self.is_open:
            self.is_open = False
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading the answer until `resume` is called, or it ends."""
        if self.is_open and self._reader is not None:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Continue to read."""
        if self.is_open:
            self.transport.resumeProducing()

    def dataReceived(self, received: bytes) -> None:
        """Read bytes of the answer."""
        if self._reader is None:
            # Bytes after a complete answer belong to no request.
            self.close()
            return
        if self._pool is not None:
            self._pool.record_heard(self)
        self._reader.read(received)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the target had not acknowledged when it closed."""
        return 0 if self._end is None else self._end.unsent_bytes

    def readConnectionLost(self) -> None:
        """Judge the close while the socket shows what was not sent."""
        sender = self._body_sender
        self._end = ConnectionEnd.from_transport(
            self.transport, 0 if sender is None else sender.unwritten_bytes
        )
        self.transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """Do nothing: no connection to a target is half closed from here."""

    def connectionLost(self, reason: Any = None) -> None:
        """Complete an answer without a stated length, or report its loss."""
        was_open = self.is_open
        self.is_open = False
        if self._pool is not None:
            self._pool.discard(self)
        if self._reader is None or not was_open:
            return
        is_closed = reason is not None and reason.check(ConnectionDone)
        end = self._end
        if not is_closed or (end is not None and end.is_reset):
            self._reader.lose(AnswerLoss.reset)
        elif end is None or end.is_clean:
            self._reader.read_close()
        else:
            self._reader.lose(AnswerLoss.closed)

    def _release_or_close(self, is_reusable: bool) -> None:
        """Return the connection to its pool, or close it if not reusable."""
        self._reader = None
        is_sent = self._body_sender is None or self._body_sender.is_over
        is_known = len(self._carried) < MAX_CARRIED_ATTEMPTS
        if not (is_reusable and is_sent and is_known):
            self.close()
            return
        # The next answer must be read, whatever this one waited for.
        self.resume()
        self.idle_since_ms = self._clock.now_ms()
        self.is_reused = True
        if self._pool is not None and self.is_open:
            self._pool.release(self)
