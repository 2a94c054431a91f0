"""A loopback proxy that delays, resets, holds or cuts what it forwards."""

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

HOST = '127.0.0.1'


class Half(Protocol):
    """One side of a forwarded connection."""

    def __init__(self, link, is_caller: bool) -> None:
        self.link = link
        self.is_caller = is_caller
        self.other: Half | None = None
        self.held: list[bytes] = []
        self.delayed = 0
        self.is_open = False

    def connectionMade(self) -> None:
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        if self.is_caller:
            self.link.opened(self)

    def dataReceived(self, received: bytes) -> None:
        self.link.forward(self, received)

    def connectionLost(self, reason=None) -> None:
        self.is_open = False
        self.link.lost(self)

    def write(self, piece: bytes) -> None:
        if self.is_open:
            self.transport.write(piece)
        else:
            self.held.append(piece)


class Link:
    """
    One address behind which another one stands.

    ``fault`` is empty, ``delay``, ``reset`` (open connections too), ``silent``
    (bytes are held until it heals), ``to`` or ``back`` (held one way).

    :param port: where the other address listens, changed when it moves
    """

    def __init__(self, reactor, port: int) -> None:
        self._reactor = reactor
        self.target_port = port
        self.fault = ''
        self.delay_s = 0.05
        self._halves: set[Half] = set()
        self._held: list[tuple[Half, bytes]] = []
        factory = Factory.forProtocol(lambda: Half(self, True))
        factory.noisy = False
        self._listening = reactor.listenTCP(0, factory, interface=HOST)

    @property
    def port(self) -> int:
        return self._listening.getHost().port

    def set_fault(self, fault: str) -> None:
        self.fault = fault
        if fault == 'reset':
            for half in list(self._halves):
                half.transport.abortConnection()
        if not fault:
            held, self._held = self._held, []
            for half, received in held:
                self._pass(half, received)

    def opened(self, caller: Half) -> None:
        if self.fault == 'reset':
            caller.transport.abortConnection()
            return
        self._halves.add(caller)
        server = Half(self, False)
        server.other, caller.other = caller, server
        factory = Factory.forProtocol(lambda: server)
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self._reactor, HOST, self.target_port, timeout=2
        )
        connecting = endpoint.connect(factory)
        connecting.addCallbacks(self._connected, self._unreached, [caller])
        connecting.addErrback(lambda failure: None)

    def forward(self, half: Half, received: bytes) -> None:
        direction = 'to' if half.is_caller else 'back'
        if self.fault in {'silent', direction}:
            self._held.append((half, received))
        elif self.fault == 'delay' or half.delayed:
            # What comes after delayed bytes must not overtake them.
            half.delayed += 1
            self._reactor.callLater(
                self.delay_s, self._pass_delayed, half, received
            )
        else:
            self._pass(half, received)

    def lost(self, half: Half) -> None:
        self._halves.discard(half)
        if half.other is not None and half.other.is_open:
            if self.fault in {'silent', 'to', 'back'}:
                # The end of a connection is not seen across a cut either.
                self._reactor.callLater(5, self._close, half.other)
            else:
                self._reactor.callLater(0.001, self._close, half.other)

    def stop(self):
        for half in list(self._halves):
            half.transport.abortConnection()
        return self._listening.stopListening()

    def _connected(self, server: Half, caller: Half) -> None:
        self._halves.add(server)
        for piece in server.held:
            server.write(piece)
        if not caller.is_open:
            server.transport.abortConnection()

    def _unreached(self, failure, caller: Half) -> None:
        if caller.is_open:
            caller.transport.abortConnection()

    def _pass_delayed(self, half: Half, received: bytes) -> None:
        half.delayed -= 1
        self._pass(half, received)

    def _pass(self, half: Half, received: bytes) -> None:
        if half.other is not None:
            half.other.write(received)

    def _close(self, half: Half) -> None:
        if half.is_open:
            half.transport.loseConnection()
