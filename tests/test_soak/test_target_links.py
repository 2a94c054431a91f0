"""
One instance loses a target in three ways while another keeps it.

Cuts that struck all instances, or that left a way open, would not show what an
instance does that has lost all targets alone.
"""

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import Factory, Protocol

from soak.proxy import HOST
from soak.target_links import TargetLinks
from tests.loopback import LoopbackCase

CONNECT_S = 0.2


class Echo(Protocol):
    def dataReceived(self, received):
        self.transport.write(received)


class Connection(Protocol):
    """Keeps what it received and whether it has ended."""

    def __init__(self):
        self.received = b''
        self.ended = Deferred()

    def dataReceived(self, received):
        self.received += received

    def connectionLost(self, reason):
        self.ended.callback(None)


class TargetLinksTest(LoopbackCase):
    def setUp(self):
        super().setUp()
        server = reactor.listenTCP(0, Factory.forProtocol(Echo), 50, HOST)
        self.addCleanup(server.stopListening)
        self.links = TargetLinks(reactor, ['i1', 'i2'])
        self.links.set_target_port(server.getHost().port)
        self.addCleanup(self.clock.sleep, 10)
        self.addCleanup(self.links.stop)

    async def connect(self, instance):
        port = int(self.links.get_address(instance).rpartition(':')[2])
        endpoint = TCP4ClientEndpoint(reactor, HOST, port, timeout=CONNECT_S)
        connection = await endpoint.connect(Factory.forProtocol(Connection))
        await self.check_echo(connection, b'x')
        return connection

    async def check_echo(self, connection, sent):
        connection.transport.write(sent)
        await self.until(lambda: connection.received.endswith(sent))

    async def check_other(self):
        """Check that the instance that is not cut off has its way."""
        await self.check_echo(await self.connect('i2'), b'y')

    async def check_healed(self):
        self.links.heal('i1')
        await self.check_echo(await self.connect('i1'), b'z')

    async def test_hanging_cut_holds_bytes_and_new_connections(self):
        connection = await self.connect('i1')
        self.links.cut('i1', 'hang')
        connection.transport.write(b'late')
        with self.assertRaises(TimeoutError):
            await self.connect('i1')
        assert connection.received == b'x'
        await self.check_other()
        await self.check_healed()
        await self.until(lambda: connection.received == b'xlate')

    async def test_refusing_cut_keeps_open_connections(self):
        connection = await self.connect('i1')
        self.links.cut('i1', 'refuse')
        await self.clock.sleep(1)
        with self.assertRaises(ConnectionRefusedError):
            await self.connect('i1')
        await self.check_echo(connection, b'still')
        await self.check_other()
        await self.check_healed()

    async def test_resetting_cut_ends_all_connections(self):
        connection = await self.connect('i1')
        other = await self.connect('i2')
        self.links.cut('i1', 'gone')
        await connection.ended
        with self.assertRaises(ConnectionRefusedError):
            await self.connect('i1')
        await self.check_echo(other, b'still')
        await self.check_healed()

    async def test_fault_of_all_links_spares_and_outlives_a_cut(self):
        self.links.cut('i1', 'refuse')
        await self.clock.sleep(1)
        self.links.set_fault('silent')
        self.links.set_fault('')
        with self.assertRaises(ConnectionRefusedError):
            await self.connect('i1')
        self.links.refuse_connections()
        self.links.heal('i1')
        await self.clock.sleep(1)
        for instance in ('i1', 'i2'):
            with self.assertRaises(ConnectionRefusedError):
                await self.connect(instance)

    async def test_addresses_belong_to_the_target(self):
        address = self.links.get_address('i1')
        assert self.links.has_address(address)
        assert address != self.links.get_address('i2')
        assert not self.links.has_address(f'{HOST}:1')
