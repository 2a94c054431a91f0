"""
Tests of bytes that arrive where no answer is due on a kept connection.

They guard against bytes that count for the answer to the next call.
"""

from twisted.internet.protocol import Factory, Protocol
from twisted.internet.testing import StringTransport
from twisted.web.client import Request
from twisted.web.http_headers import Headers

from cicadahoist.errors import LostAfterSendError
from cicadahoist.outside.bodies import BodyCollector
from cicadahoist.outside.connections import CallConnection
from cicadahoist.outside.http import HttpClient
from tests.loopback import LoopbackCase
from tests.stutter import StutteringServer, build_answer

TIMEOUT_MS = 20_000
ANSWER = build_answer(200, b'ok')
NO_BODY = b'HTTP/1.1 304 X\r\n\r\n'


class Transport(StringTransport):
    """Transport that loses its connection only when told so."""

    def abortConnection(self):
        self.disconnecting = True


class KeptConnectionTest(LoopbackCase):
    def setUp(self):
        super().setUp()
        self.idle = []
        self.connection = CallConnection(self.idle.append)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)

    def request(self):
        headers = Headers({b'Host': [b'a']})
        return self.connection.request(
            Request(b'GET', b'/', headers, None, persistent=True)
        )

    def read(self, answer):
        """Send a request, and return the body of its answer."""
        collector = BodyCollector(TIMEOUT_MS)
        answered = self.request()
        answered.addCallback(lambda got: got.deliverBody(collector))
        self.connection.dataReceived(answer)
        return self.successResultOf(collector.complete_body)

    def test_a_connection_is_kept_behind_an_answer(self):
        assert self.read(ANSWER) == b'ok'
        assert self.idle == [self.connection]
        assert self.connection.state == 'QUIESCENT'

    # The pool took the connection until its close was reported.
    def test_bytes_on_an_idle_connection_end_its_use(self):
        for size in (1, len(ANSWER)):
            self.setUp()
            self.read(ANSWER)
            self.connection.dataReceived(ANSWER[:size])
            assert self.connection.state != 'QUIESCENT'
            assert self.transport.disconnecting
            self.failureResultOf(self.request())
            self.connection.connectionLost()

    def test_bytes_on_a_new_connection_end_its_use(self):
        self.connection.dataReceived(ANSWER)
        assert self.connection.state != 'QUIESCENT'
        assert self.transport.disconnecting

    # The connection was kept, and the rest of the copy counted as the begin of
    # the next answer.
    def test_bytes_behind_an_answer_in_one_read_end_the_use(self):
        for answer, body in ((ANSWER, b'ok'), (NO_BODY, b'')):
            for size in range(1, len(ANSWER) + 1):
                self.setUp()
                assert self.read(answer + ANSWER[:size]) == body
                assert not self.idle, (answer, size)
                assert self.transport.disconnecting

    def test_bytes_after_the_use_are_ignored(self):
        self.read(ANSWER + ANSWER)
        self.connection.dataReceived(ANSWER)
        self.connection.connectionLost()
        assert not self.idle


class CopiesOnKeptConnectionsTest(LoopbackCase):
    def setUp(self):
        super().setUp()
        self.answers = []
        self.factory = StutteringServer(self.answer, copied=0)
        port = self.reactor.listenTCP(0, self.factory, interface='127.0.0.1')
        self.addCleanup(self.until, lambda: not self.factory.connections)
        self.addCleanup(port.stopListening)
        self.url = f'http://127.0.0.1:{port.getHost().port}/'
        self.client = HttpClient(self.reactor, TIMEOUT_MS, reuse=True)
        self.addCleanup(self.close, self.client)

    def answer(self, request):
        return self.answers.pop(0)

    async def call(self):
        return await (await self.client.call('GET', self.url)).read_body()

    async def test_a_copy_on_an_idle_connection_closes_it(self):
        self.answers = [ANSWER, build_answer(200, b'2nd')]
        assert await self.call() == b'ok'
        (connection,) = self.factory.connections
        connection.transport.write(ANSWER)
        await self.until(lambda: not self.factory.connections)
        assert await self.call() == b'2nd'
        assert not self.flushLoggedErrors()


def end_half(transport):
    """Close the sending side only, and all of it later."""
    transport.loseWriteConnection()
    transport.reactor.callLater(0.05, transport.abortConnection)


ENDINGS = (
    lambda transport: transport.loseConnection(),
    lambda transport: transport.abortConnection(),
    end_half,
)


class EarlyServer(Protocol):
    """Answers at the first bytes of a request, and reads no more of it."""

    def connectionMade(self):
        self.factory.connections.append(self)
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, received):
        self.transport.pauseProducing()
        self.transport.write(self.factory.answer)
        self.factory.end(self.transport)

    def connectionLost(self, reason):
        self.factory.connections.remove(self)


class EarlyAnswerTest(LoopbackCase):
    def setUp(self):
        super().setUp()
        self.factory = Factory.forProtocol(EarlyServer)
        self.factory.connections = []
        self.factory.answer = b'HTTP/1.1 200 OK\r\n\r\nhalf'
        port = self.reactor.listenTCP(0, self.factory, interface='127.0.0.1')
        self.addCleanup(self.until, lambda: not self.factory.connections)
        self.addCleanup(port.stopListening)
        self.url = f'http://127.0.0.1:{port.getHost().port}/'

    async def read(self, *, accepts_unframed):
        client = HttpClient(self.reactor, TIMEOUT_MS)
        self.addCleanup(self.close, client)
        response = await client.call('POST', self.url, body=bytes(4_000_000))
        return await response.read_body(
            TIMEOUT_MS, accepts_unframed=accepts_unframed
        )

    # Half a body was taken for whole: the connection ended while most of the
    # request was not sent.
    async def test_an_answer_before_its_request_is_sent_is_not_whole(self):
        for ending in ENDINGS:
            for delay_ms in (0, 5):
                self.factory.end = lambda transport, end=ending, ms=delay_ms: (
                    self.reactor.callLater(ms / 1000, end, transport)
                )
                for accepts_unframed in (True, False):
                    reading = self.read(accepts_unframed=accepts_unframed)
                    await self.raises(LostAfterSendError, reading)

    # Guards against answers that only a reset ended.
    async def test_an_unframed_answer_that_is_reset_is_not_whole(self):
        self.factory.end = lambda transport: self.reactor.callLater(
            0.005, transport.abortConnection
        )
        client = HttpClient(self.reactor, TIMEOUT_MS)
        self.addCleanup(self.close, client)
        response = await client.call('GET', self.url)
        reading = response.read_body(TIMEOUT_MS, accepts_unframed=True)
        await self.raises(LostAfterSendError, reading)

    # Guards against a check that takes sound answers for broken ones.
    async def test_an_unframed_answer_that_is_closed_is_whole(self):
        self.factory.end = lambda transport: transport.loseConnection()
        await self.read_short()

    async def test_an_unframed_answer_that_is_half_closed_is_whole(self):
        self.factory.end = end_half
        await self.read_short()

    async def read_short(self):
        client = HttpClient(self.reactor, TIMEOUT_MS)
        self.addCleanup(self.close, client)
        response = await client.call('POST', self.url, body=b'x')
        assert (
            await response.read_body(TIMEOUT_MS, accepts_unframed=True)
            == b'half'
        )
