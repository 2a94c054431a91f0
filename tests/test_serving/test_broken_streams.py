"""
Tests of streams that break off.

They guard against answers that reach their callers as complete although their
target broke them off: issue 21, ORDER.
"""

import pytest

from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    World,
    prompt_headers,
    target,
)

LAST_CHUNK = b'0\r\n\r\n'
LINE_ENDS = [b'\n', b'\r\n']


@pytest.fixture
def world():
    world = World()
    world.add(target('d1', 'llm', 'decode'), target('d2', 'llm', 'decode'))
    return world


def send_once(world):
    """Send a streamed request that may run at most once."""
    return world.send_request(b'/check/x', *prompt_headers(), patience=2000)


def send_resumable(world, *headers):
    return world.send_request(
        b'/ask/x', *SHORT_PROMPT_HEADERS, *headers, patience=15_000
    )


def begin_unframed(sent):
    """Send the head of a stream with neither a length nor chunks."""
    sent.write(
        b'HTTP/1.1 200 OK\r\n'
        b'X-Cicadahoist-Attempt-Id: ' + sent.attempt_id + b'\r\n'
        b'X-Cicadahoist-Server-Seal: seal-of-target\r\n\r\n'
    )


def build_event(number, line_end=b'\n'):
    return b'id: %d%sdata: t%d%s' % (number, line_end, number, line_end * 2)


def is_complete(caller):
    return caller.body.endswith(LAST_CHUNK)


# Half an event followed by a clean close reached callers as a whole answer.
@pytest.mark.parametrize('line_end', LINE_ENDS, ids=['lf', 'crlf'])
@pytest.mark.parametrize('cut', [1, 8, 12])
def test_a_stream_closed_inside_an_event_is_broken_off(world, line_end, cut):
    caller = send_once(world)
    begin_unframed(world.sent[0])
    world.sent[0].write(build_event(1, line_end))
    world.sent[0].write(build_event(2, line_end)[:-cut])
    world.sent[0].close()
    assert caller.transport.is_aborted
    assert not is_complete(caller)
    assert b'id: 2' not in caller.body


# Instead of resuming it, the instance ended such a stream as complete.
def test_a_resumable_stream_closed_inside_an_event_is_resumed(world):
    caller = send_resumable(world)
    begin_unframed(world.sent[0])
    world.sent[0].write(build_event(1) + build_event(2)[:-1])
    world.sent[0].close()
    assert world.sent[1].header(b'Last-Event-Id') == b'1'
    begin_unframed(world.sent[1])
    world.sent[1].write(build_event(2))
    world.sent[1].close()
    assert [caller.body.count(b'id: %d\n' % n) for n in (1, 2)] == [1, 1]
    assert is_complete(caller)


# A last chunk after half an event reached callers as the end of the answer.
def test_a_stated_end_inside_an_event_breaks_the_stream_off(world):
    caller = send_once(world)
    world.sent[0].begin_stream()
    world.sent[0].send_bytes(build_event(1) + build_event(2)[:-1])
    world.sent[0].end_stream()
    assert caller.transport.is_aborted
    assert not is_complete(caller)


# A close right behind the head reached callers as a whole, empty answer.
def test_a_stream_closed_before_its_first_event_is_not_complete(world):
    caller = send_once(world)
    begin_unframed(world.sent[0])
    world.sent[0].close()
    assert caller.status == 502


# Its last chunk alone reached callers as a whole, empty answer.
def test_a_stream_that_ends_in_due_form_without_events_is_lost(world):
    caller = send_once(world)
    world.sent[0].begin_stream()
    world.sent[0].end_stream()
    assert caller.status == 502


def test_a_resumable_stream_closed_before_its_first_event_runs_again(world):
    caller = send_resumable(world)
    begin_unframed(world.sent[0])
    world.sent[0].close()
    assert world.sent[1].header(b'Last-Event-Id') is None
    begin_unframed(world.sent[1])
    world.sent[1].write(build_event(1))
    world.sent[1].close()
    assert is_complete(caller)


# An engine that broke off in this way counted as sound, and was chosen again.
def test_a_target_that_breaks_off_inside_an_event_is_set_aside(world):
    send_once(world)
    begin_unframed(world.sent[0])
    world.sent[0].write(build_event(1)[:-1])
    world.sent[0].close()
    broken = world.sent[0].target
    for _ in range(3):
        send_resumable(world)
    assert {sent.target for sent in world.sent[1:]} == {'d1', 'd2'} - {broken}


# A streamed answer of a plain service is collected, and was passed on torn.
def test_a_stream_of_a_plain_service_closed_inside_an_event_is_lost(world):
    world.add(target('t9', 'llm', 'decode'))
    caller = world.send_request(b'/check/x', patience=2000)
    begin_unframed(world.sent[0])
    world.sent[0].write(build_event(1) + build_event(2)[:-1])
    world.sent[0].close()
    assert caller.status == 502


def test_a_stream_closed_behind_an_event_is_complete(world):
    caller = send_once(world)
    begin_unframed(world.sent[0])
    world.sent[0].write(build_event(1) + build_event(2))
    world.sent[0].close()
    assert b'id: 2\ndata: t2\n\n' in caller.body
    assert is_complete(caller)


def test_a_stream_reset_behind_an_event_is_broken_off(world):
    caller = send_once(world)
    begin_unframed(world.sent[0])
    world.sent[0].write(build_event(1) + build_event(2))
    world.sent[0].reset()
    assert caller.transport.is_aborted
    assert not is_complete(caller)


def test_a_resumed_stream_without_further_events_is_complete(world):
    caller = send_resumable(world, b'Last-Event-Id: 7')
    begin_unframed(world.sent[0])
    world.sent[0].close()
    assert caller.status == 200
    assert is_complete(caller)
