"""
Tests of targets that send bytes without end.

They guard against an instance that keeps them in memory, or does nothing but
search them, until the deadline of the request.
"""

import pytest

from cicadahoist.outside.bodies import MAX_EVENT_BYTES
from cicadahoist.policy.caller_admission.caller_limits import DEFAULT_NOTICE_MS
from cicadahoist.rules import CallerLimits
from cicadahoist.serving.answers.overhead import (
    MAX_INTERIM_HEADS,
    MAX_OVERHEAD_BYTES,
)
from cicadahoist.serving.attempt import MAX_HANDLE_BYTES
from tests.test_serving.turned_reactor import make_request
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    World,
    deployment,
    prompt_headers,
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


def write_until_closed(sent, limit_bytes, piece=PIECE):
    """Write until the connection is closed; return how much that took."""
    written = 0
    while not sent.is_closed and written <= 2 * limit_bytes:
        sent.write(piece)
        written += len(piece)
    return written


def repeat_to_piece(part):
    return part * (len(PIECE) // len(part))


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


CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
LONG_HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: %s\r\n\r\n' % PIECE[:8000]
CHUNKED_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Cicadahoist-Server-Seal: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
LATE_ANSWER = (
    b'HTTP/1.1 200 OK\r\nX-Cicadahoist-Attempt-Id: other\r\n'
    b'Content-Length: 40\r\n\r\n' + PIECE[:40]
)
# What a target sends first, and then without end.
ENDLESS_FORMS = {
    '100 heads': (CONTINUE, repeat_to_piece(CONTINUE)),
    '102 heads': (
        CONTINUE,
        repeat_to_piece(b'HTTP/1.1 102 Processing\r\n\r\n'),
    ),
    'long 103 heads': (CONTINUE, repeat_to_piece(LONG_HINTS)),
    'status line': (b'HTTP/1.1 200 ', PIECE),
    'header': (b'HTTP/1.1 200 OK\r\nA: ', PIECE),
    'header lines': (b'HTTP/1.1 200 OK\r\n', repeat_to_piece(b'A: b\r\n')),
    'blank lines': (b'\r\n', repeat_to_piece(b'\r\n')),
    'junk': (b'x', PIECE),
    'junk in lines': (b'j', repeat_to_piece(b'junk\r\n')),
    'late answers': (LATE_ANSWER, repeat_to_piece(LATE_ANSWER)),
    'chunk size': (CHUNKED_HEAD, repeat_to_piece(b'0')),
    'chunk extension': (CHUNKED_HEAD + b'1;', PIECE),
    'chunk extensions': (
        CHUNKED_HEAD,
        repeat_to_piece(b'1;%s\r\nx\r\n' % PIECE[:8000]),
    ),
    'trailers': (CHUNKED_HEAD + b'0\r\n', repeat_to_piece(b'A: b\r\n')),
}


# 1xx heads, late answers and chunk extensions were read until the deadline,
# and the request was sent to no other target.
@pytest.mark.parametrize('form', ENDLESS_FORMS)
def test_what_is_no_answer_ends_within_a_bound_and_is_tried_elsewhere(
    world, form
):
    world.add(target('t1'), target('t2'))
    caller = world.send_request(b'/lookup/x', patience=2000, method=b'GET')
    begin, piece = ENDLESS_FORMS[form]
    first = world.sent[0]
    first.write(begin)
    written = write_until_closed(first, MAX_OVERHEAD_BYTES, piece)
    assert first.is_closed
    assert written <= MAX_OVERHEAD_BYTES + len(PIECE)
    assert world.sent[1].target != first.target
    world.sent[1].answer()
    assert (caller.status, caller.body) == (200, b'body')


# The same at an engine that only reads the prompt.
@pytest.mark.parametrize('form', ENDLESS_FORMS)
def test_a_prefill_without_end_ends_within_a_bound(world, form):
    world.add(*(target(name, 'llm', 'prefill') for name in ('p1', 'p2')))
    world.add(target('d1', 'llm', 'decode'))
    world.send_request(b'/ask/x', *prompt_headers(), patience=15_000)
    begin, piece = ENDLESS_FORMS[form]
    first = world.sent[0]
    first.write(begin)
    write_until_closed(first, MAX_OVERHEAD_BYTES, piece)
    assert first.is_closed
    assert world.sent[1].target != first.target


# The answer to a prefill was kept up to the limit of callers' bodies, which an
# operator may set to many MB.
def test_the_body_of_a_prefill_ends_within_kilobytes(world):
    world.add(*(target(name, 'llm', 'prefill') for name in ('p1', 'p2')))
    world.add(target('d1', 'llm', 'decode'))
    world.send_request(b'/ask/x', *prompt_headers(), patience=15_000)
    begin_answer(world.sent[0])
    written = write_until_closed(world.sent[0], LIMIT_BYTES)
    assert written <= MAX_HANDLE_BYTES + len(PIECE)
    assert world.sent[1].target != world.sent[0].target


# Guards against a bound that cuts sound answers off.
def test_an_answer_after_interim_heads_in_small_chunks_is_passed_on(world):
    world.add(target('t1'))
    caller = world.send_request(b'/lookup/x', patience=2000, method=b'GET')
    sent = world.sent[0]
    for _ in range(MAX_INTERIM_HEADS):
        sent.write(CONTINUE)
    sent.write(CHUNKED_HEAD)
    piece = repeat_to_piece(b'1\r\nx\r\n')
    size = 0
    while size <= MAX_OVERHEAD_BYTES // 2:
        sent.write(piece)
        size += piece.count(b'x')
    sent.end_stream()
    assert caller.status == 200
    assert caller.body.count(b'x') == size


# Guards against a bound that adds up over the requests of a connection.
def test_each_request_of_a_connection_has_its_own_bound(world):
    world.add(target('t1'))
    for _ in range(3):
        caller = world.send_request(b'/lookup/x', patience=2000, method=b'GET')
        sent = world.sent[-1]
        for _ in range(MAX_INTERIM_HEADS):
            sent.write(CONTINUE)
        sent.answer()
        assert caller.status == 200
    assert world.sent[0].connection is sent.connection
