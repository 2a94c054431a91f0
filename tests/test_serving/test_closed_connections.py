"""
Tests of requests that meet the close of their connection, on real sockets.

They guard against connections that an instance closes while a request has
arrived on them, so that it gets neither an answer nor a refusal.
"""

import pytest
from twisted.internet.defer import Deferred, succeed

from cicadahoist.policy.caller_admission.departure import UNREADY_WAIT_MS
from cicadahoist.rules import CallerLimits
from cicadahoist.serving.inbound import LINGER_MS, READ_AHEAD_BYTES
from cicadahoist.serving.server import FrontServer
from tests.test_serving.turned_reactor import (
    SocketCaller,
    TurnedReactor,
    make_request,
    wait_until,
)
from tests.test_serving.world import World, deployment, target

OLD_IDLE_MS = 20_000
NEW_IDLE_MS = 4000
GRACE_MS = 8000
# Time in which callers hear of a new configuration.
NOTICE_MS = 2000
STEP_MS = 10


class ListeningReactor:
    """Keeps the factory of the listening port; there is no port."""

    def __init__(self) -> None:
        self.factory = None

    def listenTCP(self, port, factory, backlog, host):
        self.factory = factory
        return self

    def doRead(self):
        """Do nothing: no connection waits."""

    def stopListening(self):
        return succeed(None)


class SocketWorld:
    """One instance whose callers' connections are real sockets."""

    def __init__(self) -> None:
        self.world = World()
        self.world.add(target('t1'))
        self.reactor = TurnedReactor()
        self.callers = []
        self.server = None

    def connect(self):
        """Return a caller whose connection the instance has accepted."""
        protocol = self.world.caller_connections.buildProtocol(None)
        return self._connect(protocol)

    def serve(self):
        """Start the server, and return a caller that is connected to it."""
        listening = ListeningReactor()
        self.server = FrontServer(
            self.world.front,
            '',
            0,
            GRACE_MS,
            self.world.clock,
            self.world.loop_times,
            listening,
        )
        Deferred.fromCoroutine(self.server.start())
        return self._connect(listening.factory.buildProtocol(None))

    def stop(self):
        """Begin to stop the server, up to the moment of the first closes."""
        stopped = Deferred.fromCoroutine(self.server.stop())
        self.world.clock.advance(UNREADY_WAIT_MS - STEP_MS)
        self.reactor.turn_until_idle()
        return stopped

    def apply_idle_timeout(self, idle_timeout_ms):
        version = (self.world.context.version or 0) + 1
        self.world.context.apply_deployment(
            deployment(
                version, limits=CallerLimits(idle_timeout_ms=idle_timeout_ms)
            )
        )

    def answer(self, number=-1):
        """Let the target answer a request."""
        self.world.sent[number].answer(body=b'filed')

    def sweep(self):
        """Check the timeouts of all connections now."""
        for caller in self.callers:
            caller.protocol.sweep(self.world.clock.now_ms())

    def _connect(self, protocol):
        caller = SocketCaller(self.reactor, protocol)
        self.callers.append(caller)
        return caller


@pytest.fixture
def sockets():
    sockets = SocketWorld()
    sockets.apply_idle_timeout(OLD_IDLE_MS)
    yield sockets
    for caller in sockets.callers:
        caller.close()


def serve_one(sockets, caller):
    """Answer a request, so that its connection is a kept one."""
    caller.send(b'/submit/x')
    sockets.reactor.turn()
    sockets.answer()
    assert caller.receive().endswith(b'filed')


def assert_answered(sockets, caller):
    """Assert that the request which was sent last is answered."""
    sockets.reactor.turn_until_idle()
    assert len(sockets.world.sent) == 2
    sockets.answer()
    assert caller.receive().endswith(b'filed')


# Guards against a request that is read, dropped and never answered, because the
# sweep had decided to close its connection in the turn before.
def test_a_request_in_the_socket_of_an_idle_connection_is_answered(sockets):
    caller = sockets.connect()
    serve_one(sockets, caller)
    sockets.world.clock.advance(OLD_IDLE_MS + 1)
    caller.send(b'/submit/x')
    sockets.sweep()
    assert_answered(sockets, caller)


# Guards against a request that is read after the close was decided: callers may
# send one again that was not read, never one that was.
def test_what_arrives_after_the_close_was_decided_is_not_read(sockets):
    caller = sockets.connect()
    serve_one(sockets, caller)
    sockets.world.clock.advance(OLD_IDLE_MS + 1)
    sockets.sweep()
    caller.send(b'/submit/x')
    assert not caller.receive()
    assert caller.is_closed_by_instance
    assert caller.is_unread


# Guards against a close by a shorter idle timeout, of which the caller that
# keeps the connection cannot know yet.
@pytest.mark.parametrize('idle_share', [0.5, 0.75])
@pytest.mark.parametrize('is_sent_before_sweep', [True, False])
def test_a_shorter_idle_timeout_spares_kept_connections(
    sockets, idle_share, is_sent_before_sweep
):
    caller = sockets.connect()
    serve_one(sockets, caller)
    sockets.world.clock.advance(round(OLD_IDLE_MS * idle_share))
    sockets.apply_idle_timeout(NEW_IDLE_MS)
    if is_sent_before_sweep:
        caller.send(b'/submit/x')
    sockets.sweep()
    sockets.reactor.turn_until_idle()
    if not is_sent_before_sweep:
        caller.send(b'/submit/x')
    assert_answered(sockets, caller)


# Guards against a limit that counts from the moment at which this instance has
# heard of it: callers hear of it up to the notice later.
@pytest.mark.parametrize(
    ('heard_ms', 'is_kept'), [(NOTICE_MS - 500, True), (NOTICE_MS + 500, False)]
)
def test_callers_have_time_to_hear_of_a_shorter_idle_timeout(
    sockets, heard_ms, is_kept
):
    caller = sockets.connect()
    sockets.apply_idle_timeout(NEW_IDLE_MS)
    sockets.world.clock.advance(heard_ms)
    serve_one(sockets, caller)
    sockets.world.clock.advance(NEW_IDLE_MS + 1)
    sockets.sweep()
    sockets.reactor.turn_until_idle()
    assert caller.is_closed_by_instance == (not is_kept)


# Guards against a refusal for limits that are younger than the request.
def test_smaller_limits_spare_a_request_that_has_begun(sockets):
    caller = sockets.connect()
    request = make_request(b'/submit/x', b'b' * 400)
    caller.write(request[:20])
    sockets.reactor.turn()
    limits = CallerLimits(header_bytes=30, body_bytes=40, header_timeout_ms=9)
    sockets.world.context.apply_deployment(deployment(9, limits=limits))
    caller.write(request[20:-20])
    sockets.reactor.turn()
    sockets.world.clock.advance(1000)
    sockets.sweep()
    caller.write(request[-20:])
    sockets.reactor.turn_until_idle()
    sockets.answer()
    assert caller.receive().endswith(b'filed')


# Guards against a limit that a connection keeps from the time of its opening.
def test_a_raised_header_limit_holds_for_kept_connections(sockets):
    limits = CallerLimits(header_bytes=300)
    sockets.world.context.apply_deployment(deployment(8, limits=limits))
    caller = sockets.connect()
    sockets.world.context.apply_deployment(deployment(9))
    request = make_request(b'/submit/x?' + b'q' * 900)
    caller.write(request[:800])
    sockets.reactor.turn_until_idle()
    caller.write(request[800:])
    sockets.reactor.turn_until_idle()
    sockets.answer()
    assert caller.receive().endswith(b'filed')


# Guards against a header timeout that is judged before the socket is read, as
# after a turn of the event loop that took long.
def test_a_request_whose_rest_has_arrived_is_not_too_slow(sockets):
    limits = CallerLimits(header_timeout_ms=500)
    sockets.world.context.apply_deployment(deployment(8, limits=limits))
    # Callers have heard of the limit.
    sockets.world.clock.advance(NOTICE_MS + 1)
    caller = sockets.connect()
    request = make_request(b'/submit/x')
    caller.write(request[:20])
    sockets.reactor.turn()
    sockets.world.clock.advance(limits.header_timeout_ms + 1)
    caller.write(request[20:])
    sockets.sweep()
    sockets.reactor.turn_until_idle()
    sockets.answer()
    assert caller.receive().endswith(b'filed')


# Guards against an instance that leaves while a request waits in the socket.
def test_a_leaving_instance_answers_a_request_in_the_socket(sockets):
    caller = sockets.serve()
    serve_one(sockets, caller)
    sockets.stop()
    caller.send(b'/submit/x')
    sockets.world.clock.advance(STEP_MS)
    assert_answered(sockets, caller)


# Guards against an instance that leaves between two parts of a request.
@pytest.mark.parametrize('missing_bytes', [2, 80])
def test_a_leaving_instance_reads_a_request_to_its_end(sockets, missing_bytes):
    caller = sockets.serve()
    serve_one(sockets, caller)
    request = make_request(b'/submit/x', b'b' * 40)
    sockets.stop()
    caller.write(request[:-missing_bytes])
    sockets.reactor.turn_until_idle()
    sockets.world.clock.advance(STEP_MS)
    sockets.reactor.turn_until_idle()
    caller.write(request[-missing_bytes:])
    assert_answered(sockets, caller)


# Guards against a request read in part that a leaving instance drops.
def test_a_request_that_is_never_complete_is_refused_at_the_end(sockets):
    caller = sockets.serve()
    limits = CallerLimits(header_timeout_ms=GRACE_MS * 2)
    sockets.world.context.apply_deployment(deployment(9, limits=limits))
    sockets.stop()
    caller.write(make_request(b'/submit/x', b'b' * 40)[:-2])
    sockets.reactor.turn_until_idle()
    for _ in range(GRACE_MS // STEP_MS):
        sockets.world.clock.advance(STEP_MS)
    assert caller.receive().startswith(b'HTTP/1.1 503 ')
    assert not sockets.world.sent


# Guards against the loss of a request that arrived in one read with the one
# before it, when the instance leaves.
def test_a_leaving_instance_answers_requests_that_it_has_read(sockets):
    caller = sockets.serve()
    stopped = Deferred.fromCoroutine(sockets.server.stop())
    sockets.world.clock.advance(UNREADY_WAIT_MS - 1000)
    caller.write(make_request(b'/submit/x') * 2)
    sockets.reactor.turn_until_idle()
    sockets.world.clock.advance(1000 - STEP_MS)
    sockets.answer()
    for _ in range(20):
        sockets.world.clock.advance(STEP_MS)
        sockets.reactor.turn_until_idle()
    assert len(sockets.world.sent) == 2
    sockets.answer()
    assert caller.receive().count(b'filed') == 2
    sockets.world.clock.advance(GRACE_MS)
    assert stopped.called


# Guards against a refusal that the close of its connection destroys: a close
# with bytes unread sends a reset, which overtakes the refusal.
def test_a_refusal_survives_the_rest_of_its_request(sockets):
    limits = CallerLimits(body_bytes=1000)
    sockets.world.context.apply_deployment(deployment(9, limits=limits))
    sockets.world.clock.advance(NOTICE_MS + 1)
    caller = sockets.connect()
    caller.write(make_request(b'/submit/x', b'b' * 2000, length=90_000))
    sockets.reactor.turn()
    caller.write(b'b' * 30_000)
    assert caller.receive().startswith(b'HTTP/1.1 413 ')
    assert not caller.is_closed_by_instance
    caller.write(b'b' * 30_000)
    caller.close()
    wait_until(lambda: is_ended(sockets, caller))


# Guards against a caller that never closes after its refusal.
def test_a_connection_with_a_refused_request_is_ended_in_time(sockets):
    limits = CallerLimits(body_bytes=1000)
    sockets.world.context.apply_deployment(deployment(9, limits=limits))
    sockets.world.clock.advance(NOTICE_MS + 1)
    caller = sockets.connect()
    caller.write(make_request(b'/submit/x', b'b' * 2000, length=90_000))
    assert caller.receive().startswith(b'HTTP/1.1 413 ')
    sockets.world.clock.advance(LINGER_MS)
    sockets.reactor.turn_until_idle()
    assert caller.is_closed_by_instance


# Guards against a long request that is lost with the one before it.
def test_a_long_request_behind_an_open_one_is_answered(sockets):
    caller = sockets.connect()
    caller.send(b'/submit/x')
    sockets.reactor.turn()
    body = b'b' * (3 * READ_AHEAD_BYTES)
    unsent = make_request(b'/submit/x', body)
    unsent = send_part(sockets, caller, unsent)
    held, _ = caller.protocol._http.trailing_data
    assert len(held) < 2 * READ_AHEAD_BYTES
    sockets.answer()
    assert caller.receive().endswith(b'filed')
    while unsent:
        unsent = send_part(sockets, caller, unsent)
    wait_until(lambda: has_sent(sockets, 2))
    assert sockets.world.sent[1].request.endswith(body)
    sockets.answer()
    assert caller.receive().endswith(b'filed')


def send_part(sockets, caller, unsent):
    """Send what the socket takes in some turns; return the rest."""
    caller.socket.setblocking(False)
    for _ in range(20):
        try:
            unsent = unsent[caller.socket.send(unsent) :]
        except BlockingIOError:
            sockets.reactor.turn()
        sockets.reactor.turn()
    return unsent


def has_sent(sockets, count):
    """Return whether so many requests were sent to targets."""
    sockets.reactor.turn()
    return len(sockets.world.sent) == count


def is_ended(sockets, caller):
    """Return whether the instance has seen the end of a connection."""
    sockets.reactor.turn()
    return caller.is_closed_by_instance
