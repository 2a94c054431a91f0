"""
Tests of answers to this instance's own calls that have no end.

They guard against an instance that keeps what a faulty worker sends, in a head
until the time limit of the call passes, or in a body up to many times what the
call needs.
"""

from msgspec.structs import replace
from twisted.internet.protocol import Factory, Protocol

from cicadahoist.errors import (
    AnswerTooLongError,
    HistoryGoneError,
    LostAfterSendError,
    StoreUnavailableError,
)
from cicadahoist.outside.bodies import MAX_PAGE_BYTES, MAX_REPLY_BYTES
from cicadahoist.outside.connections import MAX_HEAD_BYTES
from cicadahoist.outside.engine import OpenAiHttpEngine
from cicadahoist.outside.engine_messages import EngineOrder
from cicadahoist.outside.http import HttpClient
from cicadahoist.platform.cloud import PlatformCalls
from cicadahoist.platform.engines import EngineCalls
from cicadahoist.platform.objects import ObjectStore
from cicadahoist.requests import Handle
from cicadahoist.serving.duty_calls import OrderReply, TargetOrder
from tests.loopback import LoopbackCase, target_at
from tests.test_serving.world import target

TIMEOUT_MS = 20_000
OK = b'HTTP/1.1 200 OK\r\n'
EMPTY = OK + b'Content-Length: 0\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
PIECE_BYTES = 4096
# More than a client may read, and what waits in the sockets at both ends.
OFFERED_BYTES = 1_000_000
# What a worker sends first, and then without end.
ENDLESS_FORMS = {
    'status line': (b'HTTP/1.1 200 ', b'x'),
    'one header': (OK + b'A: ', b'x'),
    'header lines': (OK, b'A: b\r\n'),
    'folded header': (OK + b'A: b\r\n', b' c\r\n'),
    'interim heads': (b'', CONTINUE),
    'blank lines': (b'', b'\r\n'),
    'junk': (b'', b'x'),
}
PIECE = b'x' * PIECE_BYTES
# Forms of bodies.
ENDLESS_BODIES = {
    'unframed': (OK + b'\r\n', b'x'),
    'stated length': (OK + b'Content-Length: 999999999999\r\n\r\n', b'x'),
    'chunks': (
        OK + b'Transfer-Encoding: chunked\r\n\r\n',
        b'%x\r\n%b\r\n' % (len(PIECE), PIECE),
    ),
    'failure': (b'HTTP/1.1 500 X\r\n\r\n', b'x'),
}


class EndlessProtocol(Protocol):
    """Answers a number of requests, and the next with bytes without end."""

    def connectionMade(self):
        self.factory.connections.append(self)
        self.request = b''

    def dataReceived(self, data):
        self.request += data
        # The last byte of a body in JSON; calls without one end in a line.
        if not self.request.endswith((b'}', b'\r\n\r\n')):
            return
        self.request = b''
        if self.factory.sound_count:
            self.factory.sound_count -= 1
            self.transport.write(EMPTY)
            return
        begin, part = self.factory.form
        self.transport.write(begin)
        self.piece = part * max(1, PIECE_BYTES // len(part))
        self.transport.registerProducer(self, False)

    def resumeProducing(self):
        self.factory.offered_bytes += len(self.piece)
        self.transport.write(self.piece)
        if self.factory.offered_bytes > self.factory.max_offered_bytes:
            self.transport.unregisterProducer()

    def stopProducing(self):
        """Do nothing: the connection is closed."""

    def connectionLost(self, reason):
        self.factory.connections.remove(self)


class EndlessCallsTest(LoopbackCase):
    def setUp(self):
        super().setUp()
        self.factory = Factory.forProtocol(EndlessProtocol)
        self.factory.connections = []
        self.factory.max_offered_bytes = OFFERED_BYTES
        port = self.reactor.listenTCP(0, self.factory, interface='127.0.0.1')
        self.addCleanup(self.until, lambda: not self.factory.connections)
        self.addCleanup(port.stopListening)
        self.address = f'127.0.0.1:{port.getHost().port}'
        self.http = HttpClient(self.reactor, TIMEOUT_MS, reuse=True)
        self.addCleanup(self.close, self.http)

    def send_endlessly(self, form, sound_count=0):
        self.factory.form = {**ENDLESS_FORMS, **ENDLESS_BODIES}[form]
        self.factory.sound_count = sound_count
        self.factory.offered_bytes = 0

    async def call(self):
        return await self.http.call(
            'GET', f'http://{self.address}/', timeout_ms=TIMEOUT_MS
        )

    # Header lines were kept, and interim heads read, until the time limit.
    async def test_a_head_without_end_raises_lost_after_send(self):
        too_long_forms = []
        for form in ENDLESS_FORMS:
            self.send_endlessly(form)
            await self.raises(LostAfterSendError, self.call())
            await self.until(lambda: not self.factory.connections)
            if self.factory.offered_bytes >= OFFERED_BYTES:
                too_long_forms.append(form)
        assert not too_long_forms

    async def test_the_error_names_the_bound(self):
        for form in ('one header', 'header lines', 'interim heads'):
            self.send_endlessly(form)
            error = await self.raises(LostAfterSendError, self.call())
            assert f'{MAX_HEAD_BYTES} bytes' in str(error), form

    async def test_a_connection_in_use_again_is_bounded_as_well(self):
        self.send_endlessly('header lines', sound_count=2)
        for _ in range(2):
            await (await self.call()).read_body()
        assert len(self.factory.connections) == 1
        await self.raises(LostAfterSendError, self.call())
        assert self.factory.offered_bytes < OFFERED_BYTES

    async def test_an_order_with_a_head_without_end_is_unknown(self):
        engine = replace(target('d1', 'llm'), address=self.address)
        engines = EngineCalls(self.http, 'i1', TIMEOUT_MS, self.fail)
        platform = PlatformCalls(
            f'http://{self.address}', self.http, 'i1', TIMEOUT_MS
        )
        order = TargetOrder(service='llm', zone='zone-a', count=3)
        self.send_endlessly('header lines')
        assert {
            await engines.order_role(engine, 'decode', 3, 0),
            await platform.report_usage(7, {'w1': 2}, 3),
            await platform.order_targets(order, 3),
        } == {OrderReply.unknown}
        assert self.factory.offered_bytes < OFFERED_BYTES

    # Guards against a bound that adds up over the answers of a connection.
    async def test_many_answers_on_one_connection_are_read(self):
        count = 2 * MAX_HEAD_BYTES // len(EMPTY)
        self.send_endlessly('junk', sound_count=count)
        for _ in range(count):
            await (await self.call()).read_body()
        assert len(self.factory.connections) == 1

    # Guards against a bound that counts the body with the head.
    async def test_a_long_body_that_comes_with_its_head_is_read(self):
        body = b'x' * (4 * MAX_HEAD_BYTES)
        head = OK + b'Content-Length: %d\r\n\r\n' % (len(body) + PIECE_BYTES)
        self.factory.form = (CONTINUE + head + body, b'x')
        self.factory.sound_count = 0
        self.factory.offered_bytes = OFFERED_BYTES - PIECE_BYTES
        response = await self.call()
        assert await response.read_body() == body + b'x' * PIECE_BYTES

    # Each body was kept up to 16 MB, so that a few faulty workers took many
    # times the memory of an instance.
    async def test_an_order_needs_kilobytes_of_body(self):
        engine = replace(target('d1', 'llm'), address=self.address)
        engines = EngineCalls(self.http, 'i1', TIMEOUT_MS, self.fail)
        platform = PlatformCalls(
            f'http://{self.address}', self.http, 'i1', TIMEOUT_MS
        )
        order = TargetOrder(service='llm', zone='zone-a', count=3)
        self.factory.max_offered_bytes = 5 * OFFERED_BYTES
        for form in ENDLESS_BODIES:
            self.send_endlessly(form)
            assert {
                await engines.order_role(engine, 'decode', 3, 0),
                await platform.report_usage(7, {'w1': 2}, 3),
                await platform.order_targets(order, 3),
            } == {OrderReply.unknown}
            report = engines.fetch_accepted_count(engine)
            error = await self.raises(AnswerTooLongError, report)
            assert f'{MAX_REPLY_BYTES} bytes' in str(error)
            handle = Handle('d1', self.address, 'h7')
            await self.raises(AnswerTooLongError, engines.free_handle(handle))
            assert self.factory.offered_bytes < 5 * OFFERED_BYTES, form
            await self.until(lambda: not self.factory.connections)

    async def test_a_list_has_megabytes_at_most(self):
        self.factory.max_offered_bytes = 2 * MAX_PAGE_BYTES
        store = ObjectStore(f'http://{self.address}', self.http, TIMEOUT_MS)
        for form in ENDLESS_BODIES:
            self.send_endlessly(form)
            await self.raises(StoreUnavailableError, store.read_page('servers'))
            assert self.factory.offered_bytes < 2 * MAX_PAGE_BYTES, form
            await self.until(lambda: not self.factory.connections)

    # Guards against a watch that asks for the same changes for ever.
    async def test_changes_beyond_the_bound_of_a_list_are_listed_again(self):
        self.factory.max_offered_bytes = 2 * MAX_PAGE_BYTES
        store = ObjectStore(f'http://{self.address}', self.http, TIMEOUT_MS)
        self.send_endlessly('stated length')
        await self.raises(HistoryGoneError, store.watch('servers', 6, 100))

    # Guards against a bound that refuses what the store may send.
    async def test_a_list_of_the_longest_page_is_read(self):
        spec = 'x' * 2_097_152
        page = (
            '{"items":[{"metadata":{"name":"a","revision":6},"spec":{"s":"%s"}}'
            '],"has-more":false,"as-of":7}' % spec
        ).encode()
        head = OK + b'Content-Length: %d\r\n\r\n' % len(page)
        self.factory.form = (head + page[:-1], b'}' + bytes(PIECE_BYTES - 1))
        self.factory.sound_count = 0
        self.factory.offered_bytes = 0
        self.factory.max_offered_bytes = 0
        store = ObjectStore(f'http://{self.address}', self.http, TIMEOUT_MS)
        listed = await store.read_page('servers')
        assert listed.objects[0].spec == {'s': spec}

    async def test_calls_of_entry_and_control_are_bounded_as_well(self):
        target_row = target_at(f'http://{self.address}')
        engine = self.adapter(OpenAiHttpEngine)
        self.factory.max_offered_bytes = 3 * OFFERED_BYTES
        order = EngineOrder(epoch=3, seq=1, kind='role', argument='decode')
        for form in ENDLESS_BODIES:
            self.send_endlessly(form)
            for call in (
                engine.send_order(target_row, order),
                engine.read_orders(target_row),
                engine.fetch_load(target_row),
            ):
                await self.raises(AnswerTooLongError, call)
            assert self.factory.offered_bytes < 3 * OFFERED_BYTES, form
            await self.until(lambda: not self.factory.connections)
