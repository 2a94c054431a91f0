"""
Tests of requests that meet the close of their connection, on real sockets.

They guard against connections that an entry closes while a request has arrived
on them, so that it gets neither an answer nor a refusal.
"""

from select import select
from socket import SHUT_WR, SO_RCVBUF, SO_SNDBUF, SOL_SOCKET, create_connection

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.main import CONNECTION_DONE
from twisted.internet.tcp import Port
from twisted.python.failure import Failure
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from cicadahoist.config import Config
from cicadahoist.entry.connection import IDLE_TIMEOUT_S
from cicadahoist.entry.lingering import LINGER_MS
from cicadahoist.entry.server import EntryServer
from tests.test_entry.test_server import FixedTable
from tests.test_entry.world import KEY, World, encode_chat_body
from tests.test_serving.turned_reactor import (
    HOST,
    TIMEOUT_S,
    SocketCaller,
    TurnedReactor,
)

GRACE_MS = 500
LIMIT_MS = 5000
STEP_MS = 10
IDLE_MS = IDLE_TIMEOUT_S * 1000
HEADER_TIMEOUT_MS = 10_000
BODY_LIMIT = 2048
LOOKUP_PATH = b'/services/lookup/x'
# More than the buffers of a narrow connection take.
ANSWER_BYTES = 1_000_000
BUFFER_BYTES = 65_536
MAX_PIECES = 100_000


class ListeningReactor:
    """Keeps the factory of the listening port, which is a real one."""

    def __init__(self, reactor) -> None:
        self._reactor = reactor
        self.factory = None
        self.port = None

    def listenTCP(self, port, factory):
        self.factory = factory
        self.port = Port(port, factory, interface=HOST, reactor=self._reactor)
        self.port.startListening()
        return self.port


class SocketWorld:
    """One entry whose callers' connections are real sockets."""

    def __init__(self, header_timeout_ms=HEADER_TIMEOUT_MS) -> None:
        self.world = World()
        self.context = self.world.entries[0].context
        self.reactor = TurnedReactor()
        self.callers = []
        self.listening = ListeningReactor(self.reactor)
        config = Config.from_values(
            entry__port=0,
            entry__drain_grace=GRACE_MS,
            entry__drain_limit=LIMIT_MS,
            entry__header_timeout=header_timeout_ms,
            entry__body_limit=BODY_LIMIT,
        )
        self.server = EntryServer(
            config,
            self.context,
            FixedTable(self.context.table()),
            self.listening,
        )
        Deferred.fromCoroutine(self.server.start())

    def set_service(self, resource):
        """Let one resource answer the calls of all services."""
        for name in self.world.services:
            self.world.net.add(f'{name}:80', resource)

    def connect(self):
        """Return a caller whose connection the entry has accepted."""
        protocol = self.listening.factory.buildProtocol(None)
        caller = SocketCaller(self.reactor, protocol)
        self.callers.append(caller)
        return caller

    def connect_narrow(self):
        """Return a caller whose connection takes few bytes at once."""
        caller = self.connect()
        caller.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, BUFFER_BYTES)
        accepted = caller.transport.getHandle()
        accepted.setsockopt(SOL_SOCKET, SO_SNDBUF, BUFFER_BYTES)
        return caller

    def stop(self, remaining_ms=STEP_MS):
        """
        Begin to stop the server, up to shortly before the end of the grace.

        Once it has stopped, the process ends.
        """
        stopped = Deferred.fromCoroutine(self.server.stop())
        stopped.addCallback(lambda _: self._end_process())
        self.advance(GRACE_MS - remaining_ms)
        return stopped

    def advance(self, delay_ms):
        """Let time pass in small steps; the event loop turns after each."""
        for _ in range(0, delay_ms, STEP_MS):
            self.world.net.advance(STEP_MS)
            self.reactor.turn_until_idle()

    def skip(self, delay_ms):
        """Let time pass at once, without a turn of the event loop."""
        self.world.net.time.advance(delay_ms / 1000)

    def _end_process(self):
        for caller in self.callers:
            if caller.transport.connected:
                caller.transport.connectionLost(Failure(CONNECTION_DONE))


class FixedService(Resource):
    """A service that gives one answer to all calls and counts them."""

    isLeaf = True

    def __init__(self, body) -> None:
        super().__init__()
        self._body = body
        self.call_count = 0

    def render(self, request):
        self.call_count += 1
        return self._body


class SilentService(Resource):
    """A service that answers no call."""

    isLeaf = True

    def render(self, request):
        return NOT_DONE_YET


@pytest.fixture
def sockets(request):
    sockets = SocketWorld(*getattr(request, 'param', ()))
    yield sockets
    for caller in sockets.callers:
        caller.close()
    sockets.listening.port.stopListening()
    sockets.reactor.turn_until_idle()


def make_call(path=LOOKUP_PATH, body=b'', *headers):
    """Return the bytes of a request."""
    framing = () if headers else (b'Content-Length: %d' % len(body),)
    lines = (
        b'POST %b HTTP/1.1' % path,
        b'Host: entry.example',
        b'Authorization: Bearer %b' % KEY.encode(),
        *framing,
        *headers,
    )
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def make_chat(tokens):
    body = encode_chat_body('demo-model', tokens, stream=True, text='hello')
    return make_call(b'/v1/chat/completions', body)


def receive_after(sockets, caller, delay_ms):
    sockets.advance(delay_ms)
    return caller.receive()


def receive_all(caller, received=b''):
    """Return a long answer, waiting for the system where it moves no bytes."""
    received += caller.receive()
    for _ in range(MAX_PIECES):
        if received.endswith(b'b' * ANSWER_BYTES):
            break
        writers = [caller.transport] if caller.transport.connected else []
        readable, _, _ = select([caller.socket], writers, [], TIMEOUT_S)
        piece = caller.receive()
        if readable and not piece:
            break
        received += piece
    return received


def serve_one(sockets, caller):
    """Answer a request, so that its connection is a kept one."""
    caller.write(make_call())
    assert receive_after(sockets, caller, 50).startswith(b'HTTP/1.1 200 ')


def is_reset(caller):
    """Return whether the connection of a caller was reset."""
    try:
        caller.socket.send(b'b')
        caller.socket.recv(1)
    except BlockingIOError:
        return False
    except ConnectionError:
        return True
    return False


# Guards against a request that is unread when its connection has been idle for
# as long as it may, and which the close destroys.
def test_a_request_in_the_socket_of_an_idle_connection_is_answered(sockets):
    caller = sockets.connect()
    serve_one(sockets, caller)
    sockets.skip(IDLE_MS - 1000)
    caller.write(make_call())
    sockets.skip(1000)
    assert receive_after(sockets, caller, 50).startswith(b'HTTP/1.1 200 ')


def test_an_idle_connection_is_closed(sockets):
    caller = sockets.connect()
    serve_one(sockets, caller)
    sockets.skip(IDLE_MS)
    assert not caller.receive()
    assert caller.is_closed_by_instance


# Guards against a request that is read after the close was decided: callers may
# send one again that was not read, never one that was.
def test_what_arrives_after_the_close_was_decided_is_not_read(sockets):
    service = FixedService(b'done')
    sockets.set_service(service)
    caller = sockets.connect()
    sockets.skip(IDLE_MS)
    caller.write(make_call())
    assert not caller.receive()
    assert is_reset(caller)
    assert not service.call_count


# Guards against the beginning of a request that is dropped in silence, as no
# line of it is complete.
def test_a_request_whose_first_line_is_never_complete_is_refused(sockets):
    caller = sockets.connect()
    caller.write(make_call()[:9])
    sockets.reactor.turn_until_idle()
    sockets.skip(HEADER_TIMEOUT_MS)
    assert caller.receive().startswith(b'HTTP/1.1 408 ')


# Guards against the beginning of a request that is dropped in silence, as its
# caller was idle for too long in its middle.
@pytest.mark.parametrize(
    'sockets', [[2 * IDLE_MS]], indirect=True, ids=['slow']
)
def test_a_request_that_pauses_is_not_closed_as_idle(sockets):
    caller = sockets.connect()
    request = make_call(body=b'b' * 40)
    caller.write(request[:-2])
    sockets.reactor.turn_until_idle()
    sockets.skip(IDLE_MS)
    assert not caller.receive()
    caller.write(request[-2:])
    assert receive_after(sockets, caller, 50).startswith(b'HTTP/1.1 200 ')


# Guards against an answer that is cut because its caller reads it slowly.
def test_an_answer_that_is_still_sent_is_not_closed_as_idle(sockets):
    sockets.set_service(FixedService(b'b' * ANSWER_BYTES))
    caller = sockets.connect_narrow()
    caller.write(make_call())
    sockets.advance(50)
    received = b''
    for _ in range(10):
        sockets.skip(IDLE_MS // 2)
        received += caller.socket.recv(BUFFER_BYTES)
        sockets.reactor.turn_until_idle()
    received = receive_all(caller, received)
    assert received.endswith(b'b' * ANSWER_BYTES)


# Guards against a connection that a caller keeps open by reading nothing.
@pytest.mark.parametrize('request_count', [1, 3])
def test_an_answer_that_is_never_read_is_given_up(sockets, request_count):
    sockets.set_service(FixedService(b'b' * ANSWER_BYTES))
    caller = sockets.connect_narrow()
    caller.write(make_call() * request_count)
    sockets.advance(50)
    for _ in range(4):
        sockets.skip(IDLE_MS)
        sockets.reactor.turn_until_idle()
    assert caller.is_closed_by_instance


# Guards against a request that is closed without an answer for a long line.
def test_a_request_with_a_line_that_is_too_long_is_refused(sockets):
    caller = sockets.connect()
    caller.write(make_call(b'/services/lookup/' + b'x' * 20_000))
    assert caller.receive().startswith(b'HTTP/1.1 400 ')


# Guards against a request that runs although it was refused as not run.
def test_a_refused_body_does_not_run(sockets):
    service = FixedService(b'done')
    sockets.set_service(service)
    caller = sockets.connect()
    size = BODY_LIMIT + 1
    body = b'%x\r\n%b\r\n0\r\n\r\n' % (size, b'b' * size)
    chunked = b'Transfer-Encoding: chunked'
    caller.write(make_call(LOOKUP_PATH, body, chunked))
    answer = receive_after(sockets, caller, 50)
    assert answer.startswith(b'HTTP/1.1 413 ')
    assert answer.count(b'HTTP/1.1') == 1
    assert not service.call_count


# Guards against a refusal that the close of its connection destroys: a close
# with bytes unread sends a reset, which overtakes the refusal.
def test_a_refusal_survives_the_rest_of_its_request(sockets):
    caller = sockets.connect()
    length = b'Content-Length: 900000'
    caller.write(make_call(LOOKUP_PATH, b'b' * 100, length))
    sockets.reactor.turn()
    caller.write(b'b' * 300_000)
    assert caller.receive().startswith(b'HTTP/1.1 413 ')
    assert not is_reset(caller)


# Guards against a caller that is told to go on with a request that was refused.
def test_a_refused_request_is_not_asked_to_continue(sockets):
    caller = sockets.connect()
    headers = (b'Content-Length: 900000', b'Expect: 100-continue')
    caller.write(make_call(LOOKUP_PATH, b'', *headers))
    answer = caller.receive()
    assert answer.startswith(b'HTTP/1.1 413 ')
    assert answer.count(b'HTTP/1.1') == 1


# Guards against an answer that is cut because its caller has nothing to send.
def test_an_answer_survives_that_its_caller_ends_its_requests(sockets):
    sockets.set_service(FixedService(b'b' * ANSWER_BYTES))
    caller = sockets.connect_narrow()
    length = b'Content-Length: 0'
    caller.write(make_call(LOOKUP_PATH, b'', length, b'Connection: close'))
    sockets.advance(50)
    caller.socket.shutdown(SHUT_WR)
    received = receive_all(caller)
    assert received.endswith(b'b' * ANSWER_BYTES)
    assert caller.is_closed_by_instance


# Guards against callers that keep a refused connection open by sending on.
def test_a_refused_caller_that_sends_on_is_closed_in_the_end(sockets):
    caller = sockets.connect()
    caller.write(make_call(LOOKUP_PATH, b'', b'Content-Length: 900000'))
    assert caller.receive().startswith(b'HTTP/1.1 413 ')
    sockets.skip(LINGER_MS - STEP_MS)
    caller.write(b'b')
    sockets.reactor.turn_until_idle()
    assert not caller.is_closed_by_instance
    sockets.skip(STEP_MS)
    assert caller.is_closed_by_instance


# Guards against an entry that leaves while a request waits in the socket.
@pytest.mark.parametrize('body', [b'', b'b'])
@pytest.mark.parametrize('count', [1, 2])
def test_a_leaving_entry_answers_requests_in_the_socket(sockets, count, body):
    caller = sockets.connect()
    serve_one(sockets, caller)
    sockets.stop()
    caller.write(make_call(body=body) * count)
    sockets.skip(STEP_MS)
    answers = receive_after(sockets, caller, 50)
    assert answers.count(b'HTTP/1.1 503 ') == count
    assert answers.count(b'\r\nConnection: close\r\n') == 1


# Guards against connections that the system has made before the port is closed.
def test_a_leaving_entry_answers_a_request_on_a_new_connection(sockets):
    sockets.stop()
    address = sockets.listening.port.getHost()
    with create_connection((HOST, address.port), TIMEOUT_S) as caller:
        caller.sendall(make_call())
        sockets.skip(STEP_MS)
        sockets.advance(50)
        assert caller.recv(BUFFER_BYTES).startswith(b'HTTP/1.1 503 ')


# Guards against a reset of those that wait behind: Twisted accepts fewer at a
# time after a turn that accepted few.
def test_a_leaving_entry_answers_all_requests_on_new_connections(sockets):
    address = sockets.listening.port.getHost()
    callers = [create_connection((HOST, address.port), TIMEOUT_S)]
    sockets.stop()
    for _ in range(5):
        callers.append(create_connection((HOST, address.port), TIMEOUT_S))
        callers[-1].sendall(make_call())
    sockets.skip(STEP_MS)
    sockets.advance(50)
    for caller in callers[1:]:
        assert caller.recv(BUFFER_BYTES).startswith(b'HTTP/1.1 503 ')
    for caller in callers:
        caller.close()


# Guards against a request read in part that a leaving entry drops in silence.
@pytest.mark.parametrize('missing_bytes', [2, 30, 100])
def test_a_leaving_entry_refuses_a_request_read_in_part(sockets, missing_bytes):
    caller = sockets.connect()
    sockets.stop()
    caller.write(make_call(body=b'b' * 40)[:-missing_bytes])
    sockets.reactor.turn_until_idle()
    sockets.skip(STEP_MS)
    assert caller.receive().startswith(b'HTTP/1.1 503 ')
    caller.write(b'b' * missing_bytes)
    assert not is_reset(caller)


# Guards against the loss of a request that arrived in one read with the one
# before it, when the entry begins to leave between the two.
def test_a_leaving_entry_answers_all_requests_that_it_has_read(sockets):
    caller = sockets.connect()
    caller.write(make_chat(tokens=100) + make_call())
    sockets.reactor.turn_until_idle()
    sockets.stop()
    answers = receive_after(sockets, caller, LIMIT_MS - GRACE_MS)
    assert answers.count(b'[DONE]') == 1
    assert answers.count(b'HTTP/1.1 200 ') == 1
    assert answers.count(b'HTTP/1.1 503 ') == 1


# Guards against a process that ends while an answer is still being sent.
def test_a_leaving_entry_waits_for_an_answer_that_is_read_slowly(sockets):
    sockets.set_service(FixedService(b'b' * ANSWER_BYTES))
    caller = sockets.connect_narrow()
    caller.write(make_call())
    sockets.advance(50)
    stopped = sockets.stop()
    sockets.advance(100)
    received = receive_all(caller)
    assert received.endswith(b'b' * ANSWER_BYTES)
    caller.close()
    sockets.advance(STEP_MS)
    assert stopped.called


# Guards against callers that keep a connection until it is closed under them.
@pytest.mark.parametrize('body', [b'', b'b'])
def test_a_leaving_entry_announces_that_it_closes(sockets, body):
    caller = sockets.connect()
    serve_one(sockets, caller)
    sockets.stop(remaining_ms=100)
    caller.write(make_call(body=body))
    answer = receive_after(sockets, caller, 50)
    assert answer.startswith(b'HTTP/1.1 200 ')
    assert b'\r\nConnection: close\r\n' in answer


def test_a_leaving_entry_does_not_wait_for_idle_connections(sockets):
    caller = sockets.connect()
    serve_one(sockets, caller)
    stopped = sockets.stop()
    sockets.advance(2 * STEP_MS)
    assert caller.is_closed_by_instance
    assert stopped.called


# Guards against a process that callers keep from ending.
@pytest.mark.parametrize('is_answered', [True, False])
def test_a_leaving_entry_waits_for_no_caller_without_end(sockets, is_answered):
    if is_answered:
        sockets.set_service(FixedService(b'b' * ANSWER_BYTES))
    else:
        sockets.set_service(SilentService())
    caller = sockets.connect_narrow()
    caller.write(make_call())
    sockets.advance(50)
    stopped = sockets.stop()
    sockets.advance(LIMIT_MS)
    sockets.advance(LINGER_MS + 5 * STEP_MS)
    assert stopped.called
