"""
Test how the HTTP client reports failures of connections.

A lost call that is reported as unsent would be repeated and could run twice; a
truncated body that is reported as complete would reach a caller.
"""

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.protocol import Factory, Protocol

from cicadahoist.errors import LostAfterSendError, NotSentError
from cicadahoist.outside.bodies import MAX_BODY_BYTES
from cicadahoist.outside.http import HttpClient
from tests.loopback import LoopbackCase

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class ScriptedServer(Protocol):
    """Answers the n-th request of the server with the n-th script."""

    def connectionMade(self):
        self.factory.connections.append(self)
        self.request = b''

    def dataReceived(self, received):
        self.request += received
        if b'\r\n\r\n' not in self.request:
            return
        self.factory.requests.append(self.request)
        self.request = b''
        script = self.factory.scripts.pop(0)
        if script is None:
            self.transport.abortConnection()
        else:
            self.transport.write(script)

    def connectionLost(self, reason):
        self.factory.connections.remove(self)


class HttpClientTest(LoopbackCase):
    def listen(self, *scripts):
        self.factory = Factory.forProtocol(ScriptedServer)
        self.factory.scripts = list(scripts)
        self.factory.requests = []
        self.factory.connections = []
        port = self.reactor.listenTCP(0, self.factory, interface='127.0.0.1')
        self.addCleanup(self.until, lambda: not self.factory.connections)
        self.addCleanup(port.stopListening)
        return f'http://127.0.0.1:{port.getHost().port}/'

    def client(self, **options):
        client = HttpClient(self.reactor, 1000, **options)
        self.addCleanup(self.close, client)
        return client

    async def test_refused_connection_raises_not_sent(self):
        call = self.client().call('POST', 'http://127.0.0.1:1/', body=b'x')
        await self.raises(NotSentError, call)

    async def test_close_before_the_answer_raises_lost_after_send(self):
        url = self.listen(None)
        await self.raises(
            LostAfterSendError, self.client().call('POST', url, body=b'x')
        )
        assert len(self.factory.requests) == 1

    async def test_a_status_that_is_none_raises_lost_after_send(self):
        # Guards against a status that HTTP does not have at a caller.
        statuses = (b'000', b'001', b'099', b'600', b'999', b'2000', b'20')
        for status in statuses:
            url = self.listen(ANSWER.replace(b'200', status))
            await self.raises(
                LostAfterSendError, self.client().call('POST', url, body=b'x')
            )

    async def test_timeout_raises_lost_after_send(self):
        url = self.listen(b'')
        call = self.client().call('GET', url, timeout_ms=30)
        await self.raises(LostAfterSendError, call)

    async def test_call_lost_on_a_reused_connection_is_not_repeated(self):
        url = self.listen(ANSWER, None, ANSWER)
        client = self.client(reuse=True)
        for method in ('GET', 'DELETE'):
            self.factory.scripts[:] = [ANSWER, None, ANSWER]
            response = await client.call(method, url)
            assert await response.read_body() == b'ok'
            await self.raises(LostAfterSendError, client.call(method, url))
            assert self.factory.scripts == [ANSWER]

    async def test_without_reuse_each_call_opens_a_connection(self):
        url = self.listen(ANSWER, ANSWER)
        client = self.client(send_timeout_ms=500)
        for _ in range(2):
            response = await client.call('GET', url)
            assert await response.read_body() == b'ok'
            await self.until(lambda: not self.factory.connections)
        assert b'Connection: close' in self.factory.requests[0]

    async def test_idle_connections_are_closed_after_their_timeout(self):
        url = self.listen(ANSWER)
        response = await self.client(reuse=True, idle_ms=20).call('GET', url)
        await response.read_body()
        assert self.factory.connections
        await self.until(lambda: not self.factory.connections)

    async def test_truncated_body_raises_lost_after_send(self):
        cut = ANSWER.replace(b'2', b'3')
        unbounded = ANSWER.replace(b'Content-Length: 2', b'A: b')
        url = self.listen(cut, unbounded)
        for end in ('abortConnection', 'loseConnection'):
            response = await self.client().call('GET', url)
            reading = Deferred.fromCoroutine(response.read_body())
            await self.until(lambda: self.factory.connections)
            getattr(self.factory.connections[0].transport, end)()
            await self.raises(LostAfterSendError, reading)
            await self.until(lambda: not self.factory.connections)

    # A body without end was held in memory for as long as it went on.
    async def test_a_body_without_end_raises_lost_after_send(self):
        unbounded = ANSWER.replace(b'Content-Length: 2', b'A: b')
        url = self.listen(unbounded + bytes(MAX_BODY_BYTES))
        response = await self.client().call('GET', url)
        await self.raises(LostAfterSendError, response.read_body(20_000))
        await self.until(lambda: not self.factory.connections)

    async def test_stalled_body_ends_at_its_timeout(self):
        url = self.listen(ANSWER.replace(b'2', b'3'))
        response = await self.client().call('GET', url)
        await self.raises(LostAfterSendError, response.read_body(timeout_ms=30))
        await self.until(lambda: not self.factory.connections)

    async def test_cancelled_and_aborted_answers_close_the_connection(self):
        url = self.listen(ANSWER.replace(b'2', b'3'), ANSWER)
        response = await self.client().call('GET', url)
        reading = Deferred.fromCoroutine(response.read_body())
        reading.cancel()
        await self.raises((CancelledError, LostAfterSendError), reading)
        await self.until(lambda: not self.factory.connections)
        self.factory.scripts[:] = [ANSWER.replace(b'2', b'3')]
        response = await self.client().call('GET', url)
        response.abort()
        await self.until(lambda: not self.factory.connections)

    async def test_redirects_are_not_followed(self):
        moved = (
            b'HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n'
        )
        url = self.listen(moved, ANSWER)
        response = await self.client().call('GET', url)
        assert (await response.read_body(), response.status) == (b'', 302)
        assert response.header('Location') == '/'
