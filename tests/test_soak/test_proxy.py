"""
A crashed target closes its connections in due form and refuses others.

If its proxy reset connections or still accepted them, no seed would show what
an instance does about targets that crash while they write an answer. If it made
a close of a reset, or let a close overtake bytes, it would break off answers.
"""

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.protocol import Factory, Protocol

from soak.proxy import HOST, Link
from tests.loopback import LoopbackCase

ENDING_S = 0.02


class Greeter(Protocol):
    """Sends a byte to each caller."""

    def connectionMade(self):
        self.transport.write(b'x')

    def dataReceived(self, received):
        self.transport.write(b'last')
        if received == b'close':
            self.transport.loseConnection()
        else:
            reactor.callLater(ENDING_S, self.transport.abortConnection)


class Connection(Protocol):
    """Keeps the reason for which the connection ended."""

    def __init__(self):
        self.received = b''
        self.greeted = Deferred()
        self.ended = Deferred()

    def dataReceived(self, received):
        self.received += received
        if not self.greeted.called:
            self.greeted.callback(None)

    def connectionLost(self, reason):
        self.ended.callback(reason.type)


class RefuseTest(LoopbackCase):
    def setUp(self):
        super().setUp()
        server = reactor.listenTCP(0, Factory.forProtocol(Greeter), 50, HOST)
        self.addCleanup(server.stopListening)
        self.link = Link(reactor, server.getHost().port)
        self.addCleanup(self.clock.sleep, 10)
        self.addCleanup(self.link.stop)

    async def connect(self):
        endpoint = TCP4ClientEndpoint(reactor, HOST, self.link.port)
        connection = await endpoint.connect(Factory.forProtocol(Connection))
        await connection.greeted
        return connection

    async def test_refusing_link_closes_cleanly_and_accepts_again_later(self):
        connection = await self.connect()
        self.link.refuse_connections()
        assert await connection.ended is ConnectionDone
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()
        self.link.listen()
        connection = await self.connect()
        self.link.set_fault('reset')
        assert await connection.ended is not ConnectionDone

    async def test_an_answer_ends_as_its_server_ended_it(self):
        connection = await self.connect()
        connection.transport.write(b'reset')
        assert await connection.ended is ConnectionLost
        connection = await self.connect()
        self.link.set_fault('delay')
        connection.transport.write(b'close')
        assert await connection.ended is ConnectionDone
        assert connection.received == b'xlast'
