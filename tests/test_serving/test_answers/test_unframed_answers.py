"""
Answers without a length, which end with their connection.

They guard against the copy of an answer that is passed on as the end of it
(MIXED), and against the loss of a body that only looks like one.
"""

import pytest

from tests.test_serving.test_answers.copies import (
    build_answer,
    build_head,
    reuse_connection,
)
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    World,
    target,
)

# The shortest beginning of a head that is not taken for the end of a body.
MIN_HEAD_BYTES = len(b'HTTP/')
BODY = b'a body of some length, without a length'
EVENT = b'id: 1\ndata: t1\n\n'
PIECE_SIZES = (1, 7, 4096)


def send_in_pieces(sent, received, size):
    for start in range(0, len(received), size):
        if not sent.is_closed:
            sent.write(received[start : start + size])


def answer_and_close(sent, behind=b'', body=BODY, status=200, size=4096):
    """Answer without a length, with bytes behind the body, and close."""
    answer = build_answer(sent.attempt_id, status, 'close', body)
    send_in_pieces(sent, answer + behind, size)
    if not sent.is_closed:
        sent.close()


def new_world(*names, service='app', role=''):
    world = World()
    world.add(*(target(name, service, role) for name in names))
    return world


@pytest.mark.parametrize('size', PIECE_SIZES)
@pytest.mark.parametrize('status', [200, 404, 500])
def test_an_answer_without_a_length_is_whole(size, status):
    world = new_world('t1')
    caller = world.send_request(b'/submit/x')
    answer_and_close(world.sent[0], status=status, size=size)
    assert caller.status == status
    assert caller.body == BODY


# Guards against a copy behind an answer that is passed on with it.
@pytest.mark.parametrize('size', PIECE_SIZES)
@pytest.mark.parametrize('status', [200, 404])
@pytest.mark.parametrize('framing', ['length', 'chunks', 'close'])
def test_a_copy_behind_an_answer_is_no_part_of_it(size, status, framing):
    world = new_world('t1')
    caller = world.send_request(b'/submit/x')
    sent = world.sent[0]
    copy = build_answer(sent.attempt_id, status, framing, BODY)
    answer_and_close(sent, copy, status=status, size=size)
    assert caller.status == 502
    assert BODY not in caller.received


# Guards against the same where the copy breaks off as well.
def test_a_cut_copy_behind_an_answer_is_no_part_of_it():
    size = len(build_answer(b'a0', framing='close', body=BODY))
    for cut in range(MIN_HEAD_BYTES, size):
        world = new_world('t1', 't2')
        caller = world.send_request(b'/lookup/x')
        sent = world.sent[0]
        copy = build_answer(sent.attempt_id, framing='close', body=BODY)
        answer_and_close(sent, copy[:cut])
        assert caller.status is None, cut
        world.sent[1].answer()
        assert (caller.status, caller.body) == (200, b'body'), cut


# Guards against a late copy of an earlier answer of the connection.
def test_a_copy_of_an_earlier_answer_is_no_part_of_an_answer():
    _, caller, first, again = reuse_connection()
    answer_and_close(again, build_answer(first.attempt_id, 500))
    assert caller.status == 502


# A body may hold anything, also text that looks like a head.
@pytest.mark.parametrize('size', PIECE_SIZES)
@pytest.mark.parametrize(
    'text',
    [
        b'HTTP/1.1 200 OK',
        b'HTTP/1.1 200 OK\r\nX: y\r\n\r\nbody',
        build_answer(b'another-attempt'),
        b'see HTTP/1.1 and HTTP/1.0, and HTTP',
        b'HTTP/1.1 200 OK\n' * 2000,
    ],
)
def test_a_body_with_the_text_of_a_head_is_whole(size, text):
    world = new_world('t1')
    caller = world.send_request(b'/submit/x')
    body = b'before' + text + b' and what follows'
    answer_and_close(world.sent[0], body=body, size=size)
    assert caller.status == 200
    assert caller.body == body


# Guards against the same in a stream: what has come before it is passed on.
@pytest.mark.parametrize('size', PIECE_SIZES)
@pytest.mark.parametrize('path', [b'/check/x', b'/ask/x'])
def test_a_copy_behind_a_stream_is_no_part_of_it(size, path):
    world = new_world('d1', service='llm', role='decode')
    caller = world.send_request(path, *SHORT_PROMPT_HEADERS, patience=15_000)
    sent = world.sent[0]
    copy = build_answer(sent.attempt_id, framing='close', body=EVENT)
    answer_and_close(sent, copy, EVENT, size=size)
    assert caller.body.count(b'data: t1') == 1
    assert b'seal' not in caller.body
    assert not caller.received.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('size', PIECE_SIZES)
def test_a_stream_without_a_length_is_whole(size):
    world = new_world('d1', service='llm', role='decode')
    caller = world.send_request(
        b'/check/x', *SHORT_PROMPT_HEADERS, patience=15_000
    )
    event = b'id: 1\ndata: HTTP/1.1 200 OK\n\n'
    answer_and_close(world.sent[0], body=event, size=size)
    assert event in caller.body
    assert caller.received.endswith(b'0\r\n\r\n')


# Guards against bytes of a copy that are taken for the body of a late answer
# without a length: what it belongs to cannot follow.
def test_an_answer_to_another_request_without_a_length_ends_the_attempt():
    _, caller, first, again = reuse_connection()
    again.write(build_head(first.attempt_id, framing='close'))
    assert caller.status == 502
