"""
Tests of requests that are open when the grace of a leaving instance ends.

They guard against requests that were read and get neither an answer nor a
refusal, because the process ends under them.
"""

import pytest
from twisted.internet.defer import Deferred, succeed

from cicadahoist.policy.caller_admission.departure import EXIT_MARGIN_MS
from cicadahoist.serving.deadline import ANSWER_MARGIN_MS
from cicadahoist.serving.server import FrontServer
from tests.test_serving.world import (
    ROUTES,
    SHORT_PROMPT_HEADERS,
    Caller,
    World,
    connect,
    deployment,
    route,
    target,
)

GRACE_MS = 8000
END_MS = GRACE_MS - EXIT_MARGIN_MS
STEP_MS = 10
KEY = b'Authorization: Token k1'
HEADERS = (KEY, *SHORT_PROMPT_HEADERS)


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


def make_server(world, reactor):
    return FrontServer(
        world.front,
        '',
        0,
        GRACE_MS,
        world.clock,
        world.loop_times,
        reactor,
    )


class ServedCaller(Caller):
    """A caller of a server, with one connection."""

    def __init__(self, factory) -> None:
        self.connection = factory.buildProtocol(None)
        self.transport = connect(self.connection)


class LeavingServer:
    """A server that is told to stop while a request is on its way."""

    def __init__(self) -> None:
        self.world = World()
        self.world.add(target('d1', 'llm', 'decode'), target('t1'))
        reactor = ListeningReactor()
        self.server = make_server(self.world, reactor)
        Deferred.fromCoroutine(self.server.start())
        self.caller = ServedCaller(reactor.factory)
        self.stopped = Deferred.fromCoroutine(self.server.stop())

    def send(self, path, headers=HEADERS):
        self.caller.send(path, headers)

    def advance(self, wait_ms):
        for _ in range(wait_ms // STEP_MS):
            self.world.clock.advance(STEP_MS)


@pytest.fixture
def leaving():
    return LeavingServer()


# Guards against a request that a target is at work on when the process ends.
def test_a_request_without_an_answer_is_failed_at_the_end(leaving):
    leaving.send(b'/ask/x')
    leaving.advance(GRACE_MS)
    assert leaving.stopped.called
    assert leaving.caller.status == 502
    assert leaving.world.sent[0].is_closed


# Guards against a request that waits for a connection when the process ends,
# and is sent after its refusal.
def test_a_request_that_was_not_sent_is_refused_at_the_end(leaving):
    leaving.world.connections.pending_opens_by_target['d1'] = []
    leaving.send(b'/ask/x')
    leaving.advance(GRACE_MS)
    assert leaving.caller.status == 503
    leaving.world.connections.pending_opens_by_target['d1'][0]()
    assert not leaving.world.sent[0].request


# Guards against requests that have been read behind one that a target is at
# work on, and end with it.
def test_requests_behind_an_open_one_are_refused_at_the_end(leaving):
    for _ in range(3):
        leaving.send(b'/ask/x')
    leaving.advance(GRACE_MS)
    assert leaving.caller.status == 502
    assert leaving.caller.received.count(b'HTTP/1.1 503 ') == 2
    assert leaving.caller.received.count(b'Connection: close') == 1
    assert len(leaving.world.sent) == 1


# Guards against a request that is read in part when the process ends.
def test_a_request_that_was_read_in_part_is_refused_at_the_end(leaving):
    leaving.caller.transport.receive_unread(b'POST')
    leaving.advance(END_MS - 1000)
    leaving.caller.write(b'POST /ask/x HTTP/1.1\r\nHost: h.example\r\n')
    leaving.advance(GRACE_MS)
    assert leaving.caller.status == 503


# Guards against a request that ends by its deadline only shortly before the
# process does: its target goes on beyond the deadline, or the event loop lags.
@pytest.mark.parametrize('lag_ms', [STEP_MS, 400])
@pytest.mark.parametrize(
    ('spare_ms', 'statuses'), [(30, {502, 504}), (1, {502, 504}), (0, {503})]
)
def test_a_request_due_at_the_end_gets_an_answer(
    leaving, spare_ms, statuses, lag_ms
):
    leaving.caller.transport.receive_unread(b'POST')
    leaving.advance(END_MS - 1000)
    patience_ms = 1000 - spare_ms + ANSWER_MARGIN_MS
    deadline = b'X-Cicadahoist-Deadline-Ms: %d' % patience_ms
    leaving.send(b'/submit/x', (KEY, deadline))
    leaving.advance(900)
    leaving.world.clock.advance(lag_ms)
    leaving.advance(GRACE_MS)
    assert leaving.stopped.called
    assert leaving.caller.status in statuses
    assert not leaving.caller.transport.is_aborted


# Guards against a request that was admitted to end in time and is held longer,
# as a new configuration lets its route take longer.
def test_a_new_timeout_does_not_hold_a_request_that_was_admitted(leaving):
    leaving.caller.transport.receive_unread(b'POST')
    leaving.advance(5000)
    leaving.send(b'/submit/x', (KEY,))
    leaving.world.context.apply_deployment(
        deployment(
            2,
            [
                route('submit', '/submit/', 'app', timeout_ms=15_000),
                *ROUTES[1:],
            ],
        )
    )
    leaving.advance(2000 + STEP_MS)
    assert leaving.caller.status == 504


# Guards against a request that is read between the last answers and the end of
# the process, and that a target begins to run.
def test_a_request_that_is_read_at_the_end_is_refused(leaving):
    leaving.caller.transport.receive_unread(b'POST')
    leaving.advance(END_MS + STEP_MS)
    leaving.send(b'/ask/x')
    assert leaving.caller.status == 503
    assert not leaving.world.sent


# Guards against a stream that looks complete to callers of HTTP/1.0, whose
# answers end with their connection.
def test_a_stream_is_reset_at_the_end(leaving):
    leaving.send(b'/ask/x')
    leaving.world.sent[0].begin_stream()
    leaving.world.sent[0].send_events(1)
    leaving.advance(END_MS + STEP_MS)
    assert leaving.caller.transport.is_aborted
    assert leaving.world.sent[0].is_closed
