"""
Tests of targets that send bytes without end.

They guard against an instance that keeps them in memory, or does nothing but
search them, until the deadline of the request.
"""

import pytest

from cicadahoist.outside.bodies import MAX_EVENT_BYTES
from cicadahoist.policy.caller_admission.caller_limits import DEFAULT_NOTICE_MS
from cicadahoist.rules import CallerLimits
from tests.test_serving.turned_reactor import make_request
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    World,
    deployment,
    target,
)

PIECE = b'x' * 16_384
LIMIT_BYTES = 8 * len(PIECE)


@pytest.fixture
def world():
    world = World()
    world.context.apply_deployment(
        deployment(limits=CallerLimits(body_bytes=LIMIT_BYTES))
    )
    # Callers have heard of the limit.
    world.clock.advance(DEFAULT_NOTICE_MS + 1)
    return world


def write_until_closed(sent, limit_bytes):
    """Write until the connection is closed; return how much that took."""
    written = 0
    while not sent.is_closed and written <= 2 * limit_bytes:
        sent.write(PIECE)
        written += len(PIECE)
    return written


def begin_answer(sent, status=200, attempt_id=None):
    sent.write(
        b'HTTP/1.1 %d X\r\nX-Cicadahoist-Server-Seal: s\r\n' % status
        + b'X-Cicadahoist-Attempt-Id: %s\r\n\r\n'
        % (attempt_id or sent.attempt_id)
    )


# Guards against an answer that is cut off by a limit of a new configuration,
# although its request began under the one before.
def test_a_smaller_limit_spares_the_answer_to_a_request_that_has_begun(world):
    world.add(target('t1'))
    caller = world.caller()
    request = make_request(b'/submit/x', b'b' * 40)
    caller.write(request[:-2])
    limits = CallerLimits(body_bytes=len(PIECE))
    world.context.apply_deployment(deployment(version=2, limits=limits))
    caller.write(request[-2:])
    world.sent[0].answer(body=2 * PIECE)
    assert caller.body == 2 * PIECE


# The bodies of answers and failures were held until the deadline.
@pytest.mark.parametrize('status', [200, 500])
def test_a_body_beyond_the_limit_ends_the_attempt(world, status):
    world.add(target('t1'))
    caller = world.send_request(b'/submit/x', patience=2000)
    begin_answer(world.sent[0], status)
    written = write_until_closed(world.sent[0], LIMIT_BYTES)
    assert world.sent[0].is_closed
    assert written <= LIMIT_BYTES + len(PIECE)
    assert caller.status == 502


# A late answer of another request was skipped for as long as it went on.
def test_a_late_answer_without_end_is_not_skipped_for_ever(world):
    world.add(target('t1'))
    caller = world.send_request(b'/submit/x', patience=2000)
    begin_answer(world.sent[0], attempt_id=b'other')
    write_until_closed(world.sent[0], LIMIT_BYTES)
    assert world.sent[0].is_closed
    assert caller.status == 502


# Each piece of such an event was appended to a copy, and all of it searched.
def test_an_event_without_end_ends_the_attempt(world):
    world.add(target('d1', 'llm', 'decode'), target('d2', 'llm', 'decode'))
    world.send_request(b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000)
    begin_answer(world.sent[0])
    written = write_until_closed(world.sent[0], MAX_EVENT_BYTES)
    assert written <= MAX_EVENT_BYTES + len(PIECE)
    assert world.sent[1].target != world.sent[0].target


def test_a_long_stream_of_short_events_is_passed_on(world):
    world.add(target('d1', 'llm', 'decode'))
    caller = world.send_request(
        b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000
    )
    sent = world.sent[0]
    sent.begin_stream()
    event_count = 2 * LIMIT_BYTES // len(PIECE)
    for number in range(1, event_count + 1):
        sent.send_bytes(b'id: %d\ndata: %s\n\n' % (number, PIECE))
    sent.end_stream()
    assert caller.body.count(b'id: ') == event_count
    assert caller.body.endswith(b'0\r\n\r\n')
