"""
Callers that keep connections tell what became of their requests.

A request that an instance read and dropped must count as lost, and one that it
left unread must not; a connection that is closed within the time that its
caller was promised is a breach, a later or announced end is none.
"""

from types import SimpleNamespace

import pytest
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from soak.kept import KeptCaller, KeptConnection
from soak.limits import USED_SHARE, Limits, PublishedLimits
from soak.promises import Attempt, PromiseChecker
from soak.proxy import HOST
from tests.loopback import LoopbackCase

HEADERS = [(b'Host', b'h.example'), (b'Content-Length', b'4')]
IDLE_MS = Limits().idle_timeout_ms


class Server(Protocol):
    """Reads nothing until it is told to."""

    def connectionMade(self):
        self.received = b''
        self.transport.pauseProducing()
        self.factory.connection = self

    def dataReceived(self, received):
        self.received += received


class KeptConnectionTest(LoopbackCase):
    def setUp(self):
        super().setUp()
        self.factory = Factory.forProtocol(Server)
        port = reactor.listenTCP(0, self.factory, 50, HOST)
        self.addCleanup(port.stopListening)
        self.port = port.getHost().port

    async def connect(self):
        world = SimpleNamespace(now_ms=self.clock.now_ms, clock=self.clock)
        factory = Factory.forProtocol(lambda: KeptConnection(world))
        endpoint = TCP4ClientEndpoint(reactor, HOST, self.port)
        connection = await endpoint.connect(factory)
        await self.until(lambda: hasattr(self.factory, 'connection'))
        return connection, self.factory.connection

    def send(self, connection):
        return connection.send_request(b'POST', b'/submit/x', HEADERS, b'body')

    async def test_request_that_is_read_and_dropped_ends_in_due_form(self):
        connection, server = await self.connect()
        answer = self.send(connection)
        server.transport.resumeProducing()
        await self.until(lambda: server.received.endswith(b'body'))
        server.transport.loseConnection()
        assert (await answer)[0] == 0
        assert connection.is_sent_whole
        assert not connection.is_reset
        assert not connection.has_crossed

    async def test_request_that_is_left_unread_is_reset(self):
        connection, server = await self.connect()
        answer = self.send(connection)
        server.transport.loseConnection()
        assert (await answer)[0] == 0
        assert connection.is_sent_whole
        assert connection.is_reset
        assert not connection.has_crossed

    async def test_request_of_which_a_part_is_left_unread_is_reset(self):
        connection, server = await self.connect()
        connection.part_count, connection.pause_ms = 2, 20
        answer = self.send(connection)
        server.transport.resumeProducing()
        await self.until(lambda: server.received)
        server.transport.pauseProducing()
        await self.until(lambda: connection.is_sent_whole)
        server.transport.loseConnection()
        assert (await answer)[0] == 0
        assert connection.is_reset

    async def test_request_after_a_close_has_crossed_it(self):
        connection, server = await self.connect()
        server.transport.getHandle().shutdown(1)
        answer = self.send(connection)
        assert (await answer)[0] == 0
        assert connection.has_crossed
        assert not connection.is_sent_whole
        server.transport.abortConnection()
        await self.clock.sleep(5)

    async def test_request_in_parts_is_whole_after_the_last(self):
        connection, server = await self.connect()
        connection.part_count, connection.pause_ms = 3, 5
        answer = self.send(connection)
        server.transport.resumeProducing()
        assert not connection.is_sent_whole
        await self.until(lambda: server.received.endswith(b'body'))
        assert connection.is_sent_whole
        server.transport.loseConnection()
        await answer


class KeptCase:
    """A caller whose instance has closed its connection."""

    def __init__(self):
        self.now_ms = 100_000
        self.promises = PromiseChecker(lambda: self.now_ms)
        self.is_ending = False
        instance = SimpleNamespace(
            name='i1', is_ending=lambda at_ms: self.is_ending
        )
        world = SimpleNamespace(
            now_ms=lambda: self.now_ms,
            promises=self.promises,
            limits=PublishedLimits(lambda: self.now_ms),
        )
        self.caller = KeptCaller(world, SimpleNamespace(random=lambda: 0.5))
        self.caller._instance = instance
        self.connection = KeptConnection(world)
        self.caller._connection = self.connection
        self.attempt = Attempt('a1', 'submit', 'k1', 'w1', 'i1', self.now_ms)
        for name, limit in vars_of(Limits()).items():
            self.caller._promised[name] = USED_SHARE * limit

    def begin_request(self, *, is_whole=True):
        self.connection.sending_since_ms = self.now_ms
        self.connection.is_sent_whole = is_whole

    def close(self):
        self.connection.closed_ms = self.now_ms
        self.caller._check_close(self.connection)

    def judge(self, status=0, headers=None):
        return self.caller._judge(
            self.attempt, status, headers or {}, b'', True
        )

    @property
    def rules(self):
        return [
            entry.split()[1].rstrip(':') for entry in self.promises.breaches
        ]


def vars_of(limits):
    return {name: getattr(limits, name) for name in limits.__struct_fields__}


@pytest.mark.parametrize(
    ('idle_ms', 'rules'),
    [
        (USED_SHARE * IDLE_MS - 1, ['CLOSED']),
        (USED_SHARE * IDLE_MS, []),
    ],
)
def test_idle_connection_closed_in_the_promised_time_is_a_breach(
    idle_ms, rules
):
    case = KeptCase()
    case.now_ms += int(idle_ms)
    case.close()
    assert case.rules == rules


@pytest.mark.parametrize(
    ('idle_ms', 'rules'),
    [(USED_SHARE * 3000 - 1, ['CLOSED']), (USED_SHARE * 3000, [])],
)
def test_a_shorter_time_that_the_answer_stated_is_the_promised_one(
    idle_ms, rules
):
    case = KeptCase()
    case.judge(503, {b'keep-alive': b'max=5, timeout=3'})
    case.now_ms += int(idle_ms)
    case.close()
    assert case.rules == rules


@pytest.mark.parametrize('excuse', ['leaving', 'disturbed', 'cut off'])
def test_idle_connection_of_an_instance_in_trouble_is_no_breach(excuse):
    case = KeptCase()
    case.is_ending = excuse == 'leaving'
    if excuse == 'disturbed':
        case.promises.record_disturbance('i1')
    if excuse == 'cut off':
        case.promises.cut_instances.add('i1')
    case.close()
    assert case.rules == []


def test_request_left_unread_in_the_promised_time_is_a_breach():
    case = KeptCase()
    case.begin_request()
    case.connection.is_reset = True
    case.close()
    assert case.judge() == 'closed unread'
    assert case.rules == ['CLOSED']


def test_request_closed_midway_in_the_promised_time_is_a_breach():
    case = KeptCase()
    case.begin_request(is_whole=False)
    case.close()
    assert case.judge() == 'closed midway'
    assert case.rules == ['CLOSED']


def test_request_that_is_read_and_dropped_is_lost():
    case = KeptCase()
    case.begin_request()
    case.close()
    assert case.judge() == 'unanswered'
    assert case.rules == ['LOST']


# Instances that were killed at the end of a seed counted as breaking LOST.
def test_request_that_ends_with_the_soak_is_not_lost():
    case = KeptCase()
    case.begin_request()
    case.caller.is_stopped = True
    case.close()
    assert case.judge() == 'unanswered'
    assert case.rules == []


def test_request_that_crosses_a_close_in_time_is_no_breach():
    case = KeptCase()
    case.now_ms += IDLE_MS
    case.attempt.sent_ms = case.now_ms
    case.begin_request()
    case.connection.has_crossed = True
    case.close()
    assert case.judge() == 'crossed'
    assert case.rules == []


@pytest.mark.parametrize('status', [408, 413])
def test_refusal_by_a_limit_that_was_not_reached_is_a_breach(status):
    case = KeptCase()
    case.judge(status)
    assert case.rules == ['LIMIT']


def test_refusal_of_a_request_that_took_too_long_is_no_breach():
    case = KeptCase()
    case.now_ms += Limits().header_timeout_ms
    assert case.judge(408) == 'refused'
    assert case.rules == []
