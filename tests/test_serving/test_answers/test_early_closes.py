"""
Connections that targets close or reset before they have taken the request.

They guard against a part of an answer without a length that counts as whole: a
close behind bytes of the request that nobody has acknowledged, and a reset that
the event loop reports as a clean close.
"""

import errno
import select
import socket
from time import monotonic

import h11
import pytest
from loguru import logger
from twisted.internet.defer import succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from cicadahoist.rules import CallerLimits
from cicadahoist.serving.answers.endings import AnswerEnding, AnswerLoss
from cicadahoist.serving.outbound import TargetConnection
from cicadahoist.serving.relay_messages import OPENED
from cicadahoist.serving.target_pool import TargetPool
from tests.coroutines import Pending
from tests.test_serving.relay_world import (
    Answer,
    read_some,
    relay_world,
    reset,
)
from tests.test_serving.turned_reactor import SocketCaller, TurnedReactor
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    TARGETS,
    FakeConnections,
    World,
    deployment,
)

# More than both sockets hold.
UPLOAD_BYTES = 16_000_000
SHORT_BYTES = 1000
# Time in which callers hear of a new configuration.
CALLER_NOTICE_MS = 2001
HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
FRAMED = b'HTTP/1.1 413 X\r\nContent-Length: 4\r\n\r\npart'


class Counter:
    """A pool that counts what it is told of a connection."""

    def __init__(self) -> None:
        self.discarded_count = 0

    def record_heard(self, connection):
        """Do nothing."""

    def discard(self, connection):
        self.discarded_count += 1


@pytest.fixture
def world():
    with relay_world() as world:
        # A reset waits until the kernel has delivered what was sent before it.
        world.reactor.seconds = monotonic
        yield world


@pytest.fixture
def target(world):
    return world.add_target()


def connect_directly(world, target):
    """Return both ends of a connection without a peer."""
    pending = Pending(dial(world, target))
    accepted = target.accept()
    world.turn_until(lambda: pending.is_done)
    return pending.result(), accepted


async def dial(world, target):
    factory = Factory.forProtocol(lambda: TargetConnection(world.clock))
    host, port = target.listing.endpoint
    endpoint = TCP4ClientEndpoint(world.reactor, host, port)
    return await endpoint.connect(factory)


def connect_through_peer(world, target):
    return world.open(target)


def open_raw(world, target):
    """Return the socket of a peer, and that of the target."""
    raw = world.open_raw()
    accepted = target.accept()
    assert world.receive(raw, 1) == OPENED
    return raw, accepted


paths = pytest.mark.parametrize(
    'connect', [connect_directly, connect_through_peer]
)


def send(connection, body_bytes, pool=None):
    """Begin to send a request; nothing leaves before the next turn."""
    answer = Answer()
    head = h11.Request(
        method=b'POST',
        target=b'/',
        headers=[('Host', 'h'), ('Content-Length', str(body_bytes))],
    )
    connection.send(head, b'x' * body_bytes, answer, pool)
    return answer


def take_request(world, accepted, body_bytes):
    """Let a target read a request to its end."""
    received = b''

    def is_complete():
        nonlocal received
        received += read_some(accepted, 65_536)
        _, head_end, body = received.partition(b'\r\n\r\n')
        return head_end and len(body) == body_bytes

    world.turn_until(is_complete)


def report_error_only(world, transport):
    """
    Report a broken connection as epoll does in the middle of a reset.

    The error is set then, but the end of the input is not yet.
    """
    world.reactor._doReadOrWrite(
        transport, transport.fileno(), select.EPOLLERR | select.EPOLLOUT
    )


def wait_for_error(world, transport):
    """Wait until a reset has arrived, without reading it."""
    poller = select.poll()
    poller.register(transport.fileno(), select.POLLIN)
    assert poller.poll(10_000)


# Guards against a target that closes with nothing unread: the kernel sends a
# clean close, and resets the connection only for bytes that come later.
@paths
def test_a_close_before_the_request_was_sent_ends_no_answer(
    world, target, connect
):
    connection, accepted = connect(world, target)
    pool = Counter()
    answer = send(connection, UPLOAD_BYTES, pool)
    accepted.sendall(HEAD + b'part')
    accepted.close()
    world.turn_until(lambda: answer.end is not None)
    assert isinstance(answer.end, AnswerLoss)
    assert answer.body in {b'part', b''}
    assert pool.discarded_count == 1
    assert not connection.is_open


# Guards against the same where the target has read all that had arrived.
@paths
def test_a_close_while_the_request_is_sent_ends_no_answer(
    world, target, connect
):
    connection, accepted = connect(world, target)
    answer = send(connection, UPLOAD_BYTES)
    world.turn_until(lambda: read_some(accepted, 1000))
    world.turn_for_a_while()
    while read_some(accepted, 1_000_000):
        pass
    accepted.sendall(HEAD + b'part')
    accepted.close()
    world.turn_until(lambda: answer.end is not None)
    assert isinstance(answer.end, AnswerLoss)


# Guards against the same while the answer is not read, as its caller is slow.
@paths
def test_a_close_behind_a_pause_ends_no_answer(world, target, connect):
    connection, accepted = connect(world, target)
    answer = send(connection, UPLOAD_BYTES)
    connection.pause()
    accepted.sendall(HEAD + b'part')
    accepted.close()
    world.turn_for_a_while()
    connection.resume()
    world.turn_until(lambda: answer.end is not None)
    assert isinstance(answer.end, AnswerLoss)


def test_the_unsent_bytes_of_a_lost_answer_are_known(world, target):
    connection, accepted = connect_directly(world, target)
    answer = send(connection, UPLOAD_BYTES)
    accepted.sendall(HEAD + b'part')
    accepted.close()
    world.turn_until(lambda: answer.end is not None)
    assert 0 < connection.unsent_bytes <= UPLOAD_BYTES + SHORT_BYTES


# Guards against a reset that counts as a close, as the event loop takes an
# error without input for one.
def test_a_reset_that_shows_as_an_error_ends_no_answer(world, target):
    connection, accepted = connect_directly(world, target)
    answer = send(connection, SHORT_BYTES)
    take_request(world, accepted, SHORT_BYTES)
    accepted.sendall(HEAD + b'part')
    world.turn_until(lambda: answer.body)
    reset(accepted)
    wait_for_error(world, connection.transport)
    report_error_only(world, connection.transport)
    assert answer.end is AnswerLoss.reset


# Guards against the same at the instance that passes the bytes on.
def test_a_reset_that_shows_as_an_error_is_passed_on(world, target):
    raw, accepted = open_raw(world, target)
    far_end = world.list_ends()[1]
    accepted.sendall(HEAD + b'part')
    assert world.receive(raw, len(HEAD) + 4)
    reset(accepted)
    wait_for_error(world, far_end.transport)
    report_error_only(world, far_end.transport)
    assert world.receive_end(raw) == (b'', 'reset')


# Guards against bytes that the relaying instance has acknowledged and the
# target has not: they hide the unsent rest from the instance that asked.
def test_a_close_behind_bytes_that_wait_at_a_peer_is_a_reset(world, target):
    raw, accepted = open_raw(world, target)
    raw.sendall(b'x' * SHORT_BYTES)
    accepted.sendall(HEAD + b'part')
    accepted.close()
    assert world.receive(raw, len(HEAD) + 4) == HEAD + b'part'
    assert world.receive_end(raw) == (b'', 'reset')


# Guards against bytes that arrive at the peer while the end of the answer waits
# there: they are acknowledged, and the target has closed.
def test_bytes_behind_the_close_of_a_target_make_it_a_reset(world, target):
    raw, accepted = open_raw(world, target)
    filled_bytes = fill(world.list_ends()[0].transport.getHandle())
    accepted.sendall(HEAD + b'part')
    accepted.close()
    world.turn_for_a_while()
    raw.sendall(b'x' * SHORT_BYTES)
    world.turn_for_a_while()
    assert world.receive(raw, filled_bytes) == bytes(filled_bytes)
    assert world.receive_end(raw) == (HEAD + b'part', 'reset')


# Guards against a connection that is kept for a peer that has gone.
@pytest.mark.parametrize('is_reset', [True, False])
def test_a_reset_does_not_wait_for_a_peer_that_has_gone(
    world, target, is_reset
):
    raw, accepted = open_raw(world, target)
    fill(world.list_ends()[0].transport.getHandle())
    raw.sendall(b'x' * SHORT_BYTES)
    accepted.sendall(HEAD + b'part')
    accepted.close()
    world.turn_for_a_while()
    assert world.list_ends()
    if is_reset:
        reset(raw)
    else:
        raw.close()
    world.turn_until(lambda: not world.list_ends())


def fill(one_socket):
    """Send until a socket takes no more; return the number of bytes."""
    sent_bytes = 0
    while True:
        try:
            sent_bytes += one_socket.send(bytes(65_536))
        except BlockingIOError:
            return sent_bytes


# Guards against whole answers that count as lost.
@paths
@pytest.mark.parametrize('body_bytes', [0, SHORT_BYTES, 1_000_000])
def test_a_close_behind_the_whole_request_ends_an_answer(
    world, target, connect, body_bytes
):
    connection, accepted = connect(world, target)
    pool = Counter()
    answer = send(connection, body_bytes, pool)
    take_request(world, accepted, body_bytes)
    accepted.sendall(HEAD + b'whole')
    accepted.close()
    world.turn_until(lambda: answer.end is not None)
    assert answer.end is AnswerEnding.closed
    assert answer.body == b'whole'
    assert pool.discarded_count == 1


# Guards against an early answer that is lost although its length is stated.
@paths
def test_an_early_answer_with_a_length_is_whole(world, target, connect):
    connection, accepted = connect(world, target)
    answer = send(connection, UPLOAD_BYTES)
    accepted.sendall(FRAMED)
    accepted.close()
    world.turn_until(lambda: answer.end is not None)
    assert answer.end is AnswerEnding.stated
    assert answer.body == b'part'


# Guards against the same behind a relay, whose reset must not overtake it.
def test_an_early_answer_is_passed_on_before_the_reset(world, target):
    raw, accepted = open_raw(world, target)
    raw.sendall(b'x' * SHORT_BYTES)
    accepted.sendall(FRAMED)
    accepted.close()
    assert world.receive_end(raw) == (FRAMED, 'reset')


# Guards against a kept connection whose close is not noticed.
def test_a_connection_without_a_request_is_closed(world, target):
    connection, accepted = connect_directly(world, target)
    accepted.shutdown(socket.SHUT_WR)
    world.turn_until(lambda: not connection.is_open)
    accepted.setblocking(True)
    try:
        assert accepted.recv(1) == b''
    except OSError as error:
        assert error.errno == errno.ECONNRESET


class SocketConnections(FakeConnections):
    """Opens connections to targets on real sockets, which a test holds."""

    def __init__(self, clock, paths, reactor) -> None:
        super().__init__(clock, paths)
        self._clock = clock
        self._reactor = reactor
        self.workers = []

    def open(self, listing, name='', *, is_new=False):
        connection = TargetConnection(self._clock)
        self.workers.append(SocketCaller(self._reactor, connection))
        return succeed((connection, TargetPool(listing)))


class SocketWorld(World):
    """One instance whose connections to targets are real sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.reactor = TurnedReactor()
        self.connections = SocketConnections(
            self.clock, self.context.fleet.connections.paths, self.reactor
        )
        self.context.fleet.connections = self.connections
        self.add(*TARGETS)

    def answer_early(self, attempt_id, body):
        """Let the target that was asked last answer in part and close."""
        worker = self.connections.workers[-1].socket
        worker.sendall(
            b'HTTP/1.1 200 OK\r\nX-Cicadahoist-Attempt-Id: '
            + attempt_id
            + b'\r\nX-Cicadahoist-Server-Seal: s\r\n\r\n'
            + body
        )
        worker.close()
        self.reactor.turn_until_idle()


@pytest.fixture
def log_lines():
    """Return the fields of each log line, by its message."""
    lines_by_message = {}

    def keep(message):
        record = message.record
        lines_by_message[record['message']] = record['extra']

    handler = logger.add(keep, level='INFO')
    yield lines_by_message
    logger.remove(handler)


@pytest.fixture
def sockets():
    sockets = SocketWorld()
    yield sockets
    for worker in sockets.connections.workers:
        worker.close()


def send_upload(sockets, path, *headers):
    """Return a caller, and the id of its request with a long body."""
    caller = sockets.caller()
    key = b'Authorization: Token k1'
    body = b'x' * UPLOAD_BYTES
    return caller, caller.send(path, [key, *headers], body)


@pytest.fixture
def uploads_allowed(sockets):
    limits = CallerLimits(body_bytes=2 * UPLOAD_BYTES)
    sockets.context.apply_deployment(deployment(2, limits=limits))
    # Callers have heard of it.
    sockets.clock.advance(CALLER_NOTICE_MS)


# Guards against the part of an answer that reaches a caller as a whole one, and
# against a loss whose cause the log does not tell.
def test_a_part_of_an_answer_does_not_reach_the_caller(
    sockets, uploads_allowed, log_lines
):
    caller, attempt_id = send_upload(sockets, b'/submit/x')
    sockets.answer_early(attempt_id, b'part')
    assert caller.status == 502
    assert b'part' not in caller.received
    ended = log_lines['attempt ended']
    assert ended['outcome'] == 'lost'
    assert 0 < ended['unsent_bytes'] <= UPLOAD_BYTES + SHORT_BYTES


# Guards against a part of a stream that ends between two events.
def test_a_stream_that_is_closed_early_is_broken_off(sockets, uploads_allowed):
    caller, attempt_id = send_upload(
        sockets,
        b'/check/x',
        b'X-Cicadahoist-Deadline-Ms: 15000',
        *SHORT_PROMPT_HEADERS,
    )
    sockets.answer_early(attempt_id, b'id: 1\ndata: t\n\n')
    assert caller.status == 200
    assert caller.transport.is_aborted
