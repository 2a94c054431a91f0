"""
Tests of answers to this instance's own calls that end early.

They guard against orders and reports that count as accepted, and against lists
without the objects that were cut off.
"""

from msgspec.structs import replace
from twisted.internet.protocol import Factory, Protocol

from cicadahoist.errors import StoreUnavailableError, TargetError
from cicadahoist.outside.http import HttpClient
from cicadahoist.platform.cloud import PlatformCalls
from cicadahoist.platform.engines import EngineCalls
from cicadahoist.platform.objects import ObjectStore
from cicadahoist.serving.duty_calls import OrderReply, TargetOrder
from tests.loopback import LoopbackCase
from tests.test_serving.world import target

TIMEOUT_MS = 20_000
PAGE = b'{"items":[],"has-more":false,"as-of":7}'
OK = b'HTTP/1.1 200 OK\r\n'
# An answer that only its close ends is taken for none, even if it is whole.
ANSWERS = (
    OK + b'Content-Length: %d\r\n\r\n%b' % (len(PAGE), PAGE),
    OK
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + b'%x\r\n%b\r\n0\r\n\r\n' % (len(PAGE), PAGE),
    OK + b'Store-Era: 0\r\n\r\n' + PAGE,
    b'HTTP/1.1 100 Continue\r\n\r\n' + OK + b'Content-Length: 0\r\n\r\n',
)


class CutProtocol(Protocol):
    """Answers each request with the same bytes and ends the connection."""

    def connectionMade(self):
        self.request = b''

    def dataReceived(self, data):
        self.request += data
        # The last byte of a body in JSON; calls without one end in a line.
        if self.request.endswith((b'}', b'\r\n\r\n')):
            self.transport.write(self.factory.answer)
            getattr(self.transport, self.factory.end)()


class CutAnswersTest(LoopbackCase):
    def setUp(self):
        super().setUp()
        self.factory = Factory.forProtocol(CutProtocol)
        port = self.reactor.listenTCP(0, self.factory, interface='127.0.0.1')
        self.addCleanup(port.stopListening)
        self.address = f'127.0.0.1:{port.getHost().port}'
        self.http = HttpClient(self.reactor, TIMEOUT_MS)
        self.addCleanup(self.close, self.http)

    def cut(self):
        """Cut answers at each byte, cleanly and by a reset."""
        for answer in ANSWERS:
            for size in range(len(answer)):
                for end in ('loseConnection', 'abortConnection'):
                    self.factory.answer = answer[:size]
                    self.factory.end = end
                    yield answer[:size], end

    async def test_an_order_with_a_cut_answer_is_not_accepted(self):
        engine = replace(target('d1', 'llm'), address=self.address)
        engines = EngineCalls(self.http, 'i1', TIMEOUT_MS, self.fail)
        for where in self.cut():
            reply = await engines.order_role(engine, 'decode', 3, 0)
            assert reply is OrderReply.unknown, where

    async def test_a_report_with_a_cut_answer_is_not_accepted(self):
        calls = PlatformCalls(
            f'http://{self.address}', self.http, 'i1', TIMEOUT_MS
        )
        order = TargetOrder(service='llm', zone='zone-a', count=3)
        for where in self.cut():
            assert {
                await calls.report_usage(7, {'w1': 2}, 3),
                await calls.order_targets(order, 3),
            } == {OrderReply.unknown}, where

    async def test_a_cut_list_is_no_list(self):
        store = ObjectStore(f'http://{self.address}', self.http, TIMEOUT_MS)
        for _ in self.cut():
            await self.raises(StoreUnavailableError, store.read_page('servers'))

    async def test_a_cut_count_of_orders_is_none(self):
        engine = replace(target('d1', 'llm'), address=self.address)
        engines = EngineCalls(self.http, 'i1', TIMEOUT_MS, self.fail)
        for _ in self.cut():
            await self.raises(TargetError, engines.fetch_accepted_count(engine))
