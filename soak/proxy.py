"""Loopback proxy that delays, resets or holds back what it forwards."""

import socket

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from bench.launch import find_free_port
from cicadahoist.outside.connection_end import ConnectionEnd

HOST = '127.0.0.1'
BACKLOG = 50
# Faults of a link that is cut: bytes are held back both ways and new
# connections hang; open connections live on and others are refused; all are
# reset and refused.
CUT_FAULTS = ('hang', 'refuse', 'gone')
HOLDING_FAULTS = frozenset(('silent', 'to', 'back', 'hang'))


@implementer(IHalfCloseableProtocol)
class ProxySide(Protocol):
    """One side of a forwarded connection."""

    def __init__(self, link, is_caller: bool) -> None:
        self.link = link
        self.is_caller = is_caller
        self.other: ProxySide | None = None
        self.unsent: list[bytes] = []
        self.delayed_count = 0
        self.is_open = False
        self.is_reset = False
        self._end: ConnectionEnd | None = None

    def connectionMade(self) -> None:
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        if self.is_caller:
            self.link.connect_target(self)

    def dataReceived(self, received: bytes) -> None:
        self.link.forward(self, received)

    def readConnectionLost(self) -> None:
        """Tell a close from a reset, which the event loop may take for one."""
        self._end = ConnectionEnd.from_transport(self.transport)
        self.transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """Do nothing: no side is half closed from here."""

    def connectionLost(self, reason=None) -> None:
        self.is_open = False
        is_lost = not (reason is None or reason.check(ConnectionDone))
        self.is_reset = is_lost or bool(self._end and self._end.is_reset)
        self.link.handle_close(self)

    def write(self, piece: bytes) -> None:
        if self.is_open:
            self.transport.write(piece)
        else:
            self.unsent.append(piece)


class Link:
    """
    Proxy in front of one port.

    ``fault`` is empty, ``delay``, ``reset`` (open connections too), ``silent``
    (bytes are held back until the fault ends), ``to`` or ``back`` (bytes are
    held back in one direction), or one of `CUT_FAULTS`.

    :param reactor: reactor of the proxy
    :param port: port of the server; ``target_port`` may change later
    """

    def __init__(self, reactor, port: int) -> None:
        self._reactor = reactor
        self.target_port = port
        self.fault = ''
        self.delay_s = 0.05
        self._sides: set[ProxySide] = set()
        self._held: list[tuple[ProxySide, bytes | None]] = []
        self._factory = Factory.forProtocol(lambda: ProxySide(self, True))
        self._factory.noisy = False
        self._listening = None
        self._is_refusing = False
        # Fills the queue of connections to accept, so that others hang.
        self._filler: socket.socket | None = None
        self.port = find_free_port()
        self.listen()

    def listen(self) -> None:
        self._is_refusing = False
        self._update_port()

    def refuse_connections(self) -> None:
        """Close all connections in due form; refuse others until `listen`."""
        self._is_refusing = True
        self._update_port()
        for side in list(self._sides):
            side.transport.loseConnection()

    def set_fault(self, fault: str) -> None:
        self.fault = fault
        if fault in {'reset', 'gone'}:
            for side in list(self._sides):
                side.transport.abortConnection()
        self._update_port()
        if not fault:
            self._deliver_held()

    def connect_target(self, caller: ProxySide) -> None:
        if self.fault == 'reset':
            caller.transport.abortConnection()
            return
        self._sides.add(caller)
        server = ProxySide(self, False)
        server.other, caller.other = caller, server
        factory = Factory.forProtocol(lambda: server)
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self._reactor, HOST, self.target_port, timeout=2
        )
        connecting = endpoint.connect(factory)
        connecting.addCallbacks(self._connected, self._abort_caller, [caller])
        connecting.addErrback(lambda failure: None)

    def forward(self, side: ProxySide, received: bytes) -> None:
        direction = 'to' if side.is_caller else 'back'
        if self.fault in {'silent', 'hang', direction}:
            self._held.append((side, received))
        elif self.fault == 'delay' or side.delayed_count:
            # Later bytes must not overtake delayed ones.
            side.delayed_count += 1
            self._reactor.callLater(
                self.delay_s, self._deliver_delayed, side, received
            )
        else:
            self._deliver(side, received)

    def handle_close(self, side: ProxySide) -> None:
        self._sides.discard(side)
        if side.other is not None and side.other.is_open:
            if self.fault in HOLDING_FAULTS:
                # A broken link does not transmit a close either.
                self._held.append((side, None))
            else:
                # A close must not overtake delayed bytes either.
                delay_s = self.delay_s if side.delayed_count else 0
                self._reactor.callLater(
                    delay_s + 0.001, self._close, side.other
                )

    def stop(self) -> None:
        self._set_hanging(False)
        self.refuse_connections()
        for side in list(self._sides):
            side.transport.abortConnection()

    def _update_port(self) -> None:
        """Accept, refuse or ignore new connections."""
        accepts = not self._is_refusing and self.fault not in {'refuse', 'gone'}
        if accepts and self._listening is None:
            self._listening = self._reactor.listenTCP(
                self.port, self._factory, BACKLOG, HOST
            )
        self._set_hanging(accepts and self.fault == 'hang')
        if not accepts and self._listening is not None:
            self._listening.stopListening()
            self._listening = None

    def _set_hanging(self, hangs: bool) -> None:
        """Leave new connections to the system, which drops them when full."""
        if hangs == (self._filler is not None):
            return
        if hangs:
            self._listening.pauseProducing()
            self._listening.socket.listen(0)
            self._filler = socket.socket()
            self._filler.setblocking(False)
            self._filler.connect_ex((HOST, self.port))
            return
        self._filler.close()
        self._filler = None
        self._listening.socket.listen(BACKLOG)
        self._listening.resumeProducing()

    def _deliver_held(self) -> None:
        held, self._held = self._held, []
        for side, received in held:
            if received is not None:
                self._deliver(side, received)
            elif side.other is not None:
                self._reactor.callLater(0.001, self._close, side.other)

    def _connected(self, server: ProxySide, caller: ProxySide) -> None:
        self._sides.add(server)
        for piece in server.unsent:
            server.write(piece)
        if not caller.is_open:
            server.transport.abortConnection()

    def _abort_caller(self, failure, caller: ProxySide) -> None:
        if caller.is_open:
            caller.transport.abortConnection()

    def _deliver_delayed(self, side: ProxySide, received: bytes) -> None:
        side.delayed_count -= 1
        self._deliver(side, received)

    def _deliver(self, side: ProxySide, received: bytes) -> None:
        if side.other is not None:
            side.other.write(received)

    def _close(self, side: ProxySide) -> None:
        if side.is_open and side.other.is_reset and side.is_caller:
            # A reset of a server must not look like the end of its answer.
            side.transport.abortConnection()
        elif side.is_open:
            side.transport.loseConnection()
