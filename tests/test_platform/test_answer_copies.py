"""
Tests of copies of answers to this instance's own calls to workers.

Such answers name no call. They guard against an order that counts as accepted,
or a report that counts as new, because of the answer to an earlier call.
"""

from msgspec.structs import replace

from cicadahoist.errors import TargetError
from cicadahoist.platform.clients import new_engine_client
from cicadahoist.platform.engines import EngineCalls
from cicadahoist.requests import Handle
from cicadahoist.serving.duty_calls import OrderReply
from tests.loopback import LoopbackCase
from tests.stutter import StutteringServer, build_answer
from tests.test_serving.world import target

TIMEOUT_MS = 20_000
REPORT = build_answer(200, b'{"seq":0}')
UNFRAMED = b'HTTP/1.1 %d X\r\n\r\n%b'


class AnswerCopiesTest(LoopbackCase):
    def setUp(self):
        super().setUp()
        self.seq = 0
        self.order_statuses = [409]
        self.factory = StutteringServer(self.answer)
        port = self.reactor.listenTCP(0, self.factory, interface='127.0.0.1')
        self.addCleanup(self.until, lambda: not self.factory.connections)
        self.addCleanup(port.stopListening)
        self.address = f'127.0.0.1:{port.getHost().port}'
        self.engine = replace(target('d1', 'llm'), address=self.address)
        self.connect()

    def connect(self):
        http = new_engine_client(self.reactor)
        self.addCleanup(self.close, http)
        self.calls = EngineCalls(http, 'i1', TIMEOUT_MS, self.fail)

    def answer(self, request):
        if request.startswith(b'GET '):
            return build_answer(200, b'{"seq":%d}' % self.seq)
        if request.startswith(b'DELETE '):
            return build_answer(200)
        return build_answer(self.order_statuses.pop(0))

    def order(self):
        return self.calls.order_role(self.engine, 'decode', 3, 0)

    def fetch_count(self):
        return self.calls.fetch_accepted_count(self.engine)

    def free(self):
        return self.calls.free_handle(Handle('d1', self.address, 'h7'))

    async def test_a_copy_of_a_report_accepts_no_order(self):
        await self.fetch_count()
        assert await self.order() is OrderReply.refused

    async def test_a_copy_of_an_accepted_order_accepts_no_other_order(self):
        self.order_statuses = [202, 409]
        assert await self.order() is OrderReply.accepted
        assert await self.order() is OrderReply.refused

    async def test_a_copy_of_a_released_handle_accepts_no_order(self):
        await self.free()
        assert await self.order() is OrderReply.refused

    # Guards against an order that is repeated, as it seems to be refused.
    async def test_a_copy_of_a_refusal_refuses_no_other_order(self):
        self.order_statuses = [409, 202]
        assert await self.order() is OrderReply.refused
        assert await self.order() is OrderReply.accepted

    async def test_a_copy_of_a_report_is_no_later_report(self):
        assert await self.fetch_count() == 0
        self.seq = 1
        assert await self.fetch_count() == 1

    # Guards against an answer with the status of a copy and the headers of the
    # answer behind it.
    async def test_a_copy_that_breaks_off_accepts_no_order(self):
        mistaken = []
        for copied in range(len(REPORT)):
            self.connect()
            self.factory.copied = copied
            self.order_statuses = [409]
            await self.fetch_count()
            if await self.order() is not OrderReply.refused:
                mistaken.append(copied)
        assert not mistaken

    async def test_a_copy_that_begins_beside_its_answer_accepts_no_order(self):
        mistaken = []
        for sent_at_once in range(len(REPORT)):
            self.connect()
            self.factory.sent_at_once = sent_at_once
            self.order_statuses = [409]
            await self.fetch_count()
            if await self.order() is not OrderReply.refused:
                mistaken.append(sent_at_once)
        assert not mistaken

    # Guards against a copy that counts as a part of the answer before it.
    async def test_an_answer_without_a_length_and_its_copy_are_no_answer(self):
        for copies in (1, 2):
            for ending in ('loseConnection', 'abortConnection'):
                self.end_after(UNFRAMED % (202, b'') * copies, ending)
                assert await self.order() is OrderReply.unknown
                self.end_after(UNFRAMED % (200, b'{"seq":0}') * copies, ending)
                await self.raises(TargetError, self.fetch_count())

    def end_after(self, answer, ending):
        """Let each connection end behind the first answer."""

        def end(request):
            connection = self.factory.connections[-1]
            self.reactor.callLater(0, getattr(connection.transport, ending))
            return answer

        self.factory.answer = end

    # A refusal in JSON was taken for a report of no orders.
    async def test_a_refused_report_is_no_report(self):
        for status in (421, 404, 429, 500, 503, 204):
            self.factory.answer = lambda request, code=status: build_answer(
                code, b'{"seq":0}' if code > 204 else b''
            )
            error = await self.raises(TargetError, self.fetch_count())
            assert f'HTTP {status}' in str(error)
