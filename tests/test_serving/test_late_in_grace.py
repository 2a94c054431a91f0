"""
Tests of callers that use their connections again while an instance leaves.

They guard against requests that are admitted late in the grace and cut off at
its end although the caller could have sent them elsewhere (LOST).
"""

import pytest
from twisted.internet.defer import Deferred

from cicadahoist.policy.caller_admission.departure import (
    EXIT_MARGIN_MS,
    UNREADY_WAIT_MS,
)
from tests.test_serving.test_end_of_grace import (
    GRACE_MS,
    HEADERS,
    ListeningReactor,
    ServedCaller,
    make_server,
)
from tests.test_serving.world import World, prompt_headers, target

CUT_MS = GRACE_MS - EXIT_MARGIN_MS
STEP_MS = 10
EXCUSED_MS = 3000
KEY = b'Authorization: Token k1'
HEADERS_BY_PATH = {
    b'/ask/x': HEADERS,
    b'/check/x': (KEY, *prompt_headers()),
    b'/submit/x': (KEY,),
    b'/lookup/x': (KEY,),
}


class ServingInstance:
    """An instance with callers, that a test tells to stop."""

    def __init__(self):
        self.world = World()
        self.world.add(
            target('t1'),
            target('p1', 'llm', 'prefill'),
            target('d1', 'llm', 'decode'),
        )
        self._reactor = ListeningReactor()
        self.server = make_server(self.world, self._reactor)
        Deferred.fromCoroutine(self.server.start())
        self.stopped = None

    def connect(self):
        return ServedCaller(self._reactor.factory)

    def stop(self):
        self.stopped = Deferred.fromCoroutine(self.server.stop())

    def advance(self, wait_ms):
        for _ in range(wait_ms // STEP_MS):
            self.world.clock.advance(STEP_MS)

    def begin_stream(self, caller):
        caller.send(b'/ask/x', HEADERS)
        sent = self.world.sent[-1]
        sent.begin_stream()
        sent.send_events(1)
        return sent


@pytest.fixture
def instance():
    return ServingInstance()


# Guards against a connection that stays open after an answer whose head could
# not say that it closes.
@pytest.mark.parametrize('ends_ms', [500, 2400, 2600, 3600, 6000])
def test_a_connection_closes_with_the_answer_that_began_before_the_stop(
    instance, ends_ms
):
    caller = instance.connect()
    sent = instance.begin_stream(caller)
    instance.stop()
    instance.advance(ends_ms)
    assert not caller.is_closed
    sent.send_events(2)
    sent.end_stream()
    assert caller.body.endswith(b'0\r\n\r\n')
    assert caller.is_closed


# Guards against a request that has arrived behind that answer and is closed
# without a word, or cut off at the end.
@pytest.mark.parametrize('is_read', [True, False])
def test_a_late_request_behind_an_answer_is_refused(instance, is_read):
    caller = instance.connect()
    sent = instance.begin_stream(caller)
    instance.stop()
    instance.advance(3600)
    if is_read:
        caller.send(b'/ask/x', HEADERS)
    else:
        caller.transport.receive_unread(b'POST')
    sent.end_stream()
    assert not caller.is_closed
    count = len(instance.world.sent)
    caller.transport.clear()
    if is_read:
        instance.advance(STEP_MS)
    else:
        caller.send(b'/ask/x', HEADERS)
    assert caller.status == 503
    assert caller.header(b'Connection') == b'close'
    assert 0 < float(caller.header(b'Retry-After')) < 1
    assert len(instance.world.sent) == count


# Guards against requests that are refused although they end in time, or are
# admitted although they may not.
@pytest.mark.parametrize(
    ('path', 'patience_ms', 'begin_ms', 'is_admitted'),
    [
        (b'/submit/x', None, EXCUSED_MS, True),
        (b'/submit/x', None, CUT_MS - 2000 + STEP_MS, False),
        (b'/lookup/x', None, EXCUSED_MS, True),
        (b'/lookup/x', 300, CUT_MS - 500, True),
        (b'/ask/x', 15_000, UNREADY_WAIT_MS - STEP_MS, True),
        (b'/ask/x', 15_000, UNREADY_WAIT_MS + STEP_MS, False),
        (b'/ask/x', 1000, EXCUSED_MS, True),
        (b'/check/x', None, EXCUSED_MS, True),
        (b'/check/x', None, CUT_MS - 1000, False),
    ],
)
def test_late_requests_are_admitted_if_they_end_in_time(
    instance, path, patience_ms, begin_ms, is_admitted
):
    caller = instance.connect()
    # Bytes of the request wait when its connection would be closed.
    caller.transport.receive_unread(b'POST')
    instance.stop()
    instance.advance(begin_ms)
    headers = HEADERS_BY_PATH[path]
    if patience_ms is not None:
        headers = (*headers, b'X-Cicadahoist-Deadline-Ms: %d' % patience_ms)
    caller.send(path, headers)
    assert bool(instance.world.sent) is is_admitted
    assert caller.status == (None if is_admitted else 503)
    instance.advance(GRACE_MS)
    assert instance.stopped.called
    if is_admitted:
        assert caller.status in {502, 503, 504}


# Guards against a request that is sent in parts until late in the grace.
def test_a_request_in_parts_that_is_whole_late_is_refused(instance):
    caller = instance.connect()
    instance.stop()
    instance.advance(1000)
    caller.write(b'POST /ask/x HTTP/1.1\r\nHost: h.example\r\n')
    instance.advance(2000)
    caller.write(
        b'Content-Length: 0\r\nX-Cicadahoist-Attempt-Id: a\r\n'
        + b'\r\n'.join(HEADERS)
        + b'\r\n\r\n'
    )
    assert caller.status == 503
    assert not instance.world.sent
    assert caller.is_closed


# Guards against a refusal of what no stop is near.
def test_requests_are_admitted_without_a_stop(instance):
    caller = instance.connect()
    sent = instance.begin_stream(caller)
    sent.end_stream()
    instance.advance(100)
    assert not caller.is_closed
