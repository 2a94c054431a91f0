"""
Copies of answers that break off on a connection that goes on.

They guard against an answer that is made of two (MIXED): the status of one and
the name of the other one, or the body of one and the text inside the other.
"""

import pytest

from tests.test_serving.test_answers.copies import (
    FRAMINGS,
    build_answer,
    build_head,
    reuse_connection,
)

STATUSES = [(200, 500), (404, 200), (500, 404), (200, 200)]
statuses = pytest.mark.parametrize(('copied', 'own'), STATUSES)
framings = pytest.mark.parametrize('framing', ['length', 'chunks'])


def check_caller(caller, status, body=b'own'):
    """Check that a caller has its own answer, or is told that it is lost."""
    assert caller.status in {status, 502}
    if caller.status == status:
        assert caller.body == body
    else:
        assert b'seal-of' not in caller.received


# Guards against the status of a copy that breaks off before it names its
# request, under the name and the signature of the next answer.
@statuses
@framings
@pytest.mark.parametrize('is_split', [False, True])
def test_a_copy_cut_in_its_head_gives_no_status(copied, own, framing, is_split):
    size = len(build_head(b'a0', copied, framing))
    for cut in range(1, size):
        _, caller, first, again = reuse_connection()
        copy = build_answer(first.attempt_id, copied, framing)[:cut]
        answer = build_answer(again.attempt_id, own, framing)
        for piece in (copy, answer) if is_split else (copy + answer,):
            if not again.is_closed:
                again.write(piece)
        check_caller(caller, own)
        assert copied == own or caller.status != copied, cut


# Guards against an answer that is skipped with the copy before it, so that its
# caller waits until the deadline.
@framings
def test_a_request_behind_a_copy_cut_in_its_head_does_not_wait(framing):
    size = len(build_head(b'a0', 200, framing))
    for cut in range(1, size):
        world, caller, first, again = reuse_connection(b'/lookup/x')
        again.write(
            build_answer(first.attempt_id, 200, framing)[:cut]
            + build_answer(again.attempt_id, 200, framing)
        )
        if caller.status is None:
            assert world.sent[-1] is not again, cut
            world.sent[-1].answer(body=b'own')
        assert (caller.status, caller.body[-3:]) == (200, b'own'), cut


# Guards against text in a body that is taken for the answer, as the copy before
# it has taken its head.
@pytest.mark.parametrize('copy_framing', ['length', 'chunks'])
def test_text_in_a_body_is_no_answer_behind_a_cut_copy(copy_framing):
    for lost_bytes in range(1, 260):
        _, caller, first, again = reuse_connection()
        text = build_answer(again.attempt_id, body=b'text')
        answer = build_answer(again.attempt_id, 500, body=text)
        copied_body = b'c' * 300
        copy = build_answer(
            first.attempt_id, framing=copy_framing, body=copied_body
        )
        again.write(copy[: len(copy) - lost_bytes] + answer)
        if not again.is_closed:
            again.close()
        check_caller(caller, 500, text)


# Guards against text in a body that is taken for the answer, as its own head
# looks like the last header of a copy.
def test_text_in_a_body_is_no_answer_behind_a_copy_cut_in_its_trailers():
    for status in (200, 500):
        _, caller, first, again = reuse_connection()
        text = build_answer(again.attempt_id, body=b'text')
        copy = build_answer(first.attempt_id, framing='chunks')
        copy = copy[: -len(b'\r\n')] + b'X-Checksum: '
        again.write(copy + build_answer(again.attempt_id, status, body=text))
        if not again.is_closed:
            again.close()
        check_caller(caller, status, text)


# Guards against a head that names two requests and counts for the first one.
@pytest.mark.parametrize('names', [(0, 1), (1, 0)])
def test_a_head_that_names_two_requests_answers_none(names):
    _, caller, *both = reuse_connection()
    lines = b''.join(
        b'X-Cicadahoist-Attempt-Id: %s\r\n' % both[number].attempt_id
        for number in names
    )
    both[1].write(
        b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
        b'X-Cicadahoist-Server-Seal: seal-of\r\n' + lines + b'\r\nown'
    )
    assert caller.status == 502
    assert both[1].is_closed


# Guards against a copy of an answer with a body, read as that of HEAD, which
# has none: its body would be read as the next answer.
@pytest.mark.parametrize('framing', FRAMINGS[:2])
def test_a_copy_is_read_by_the_method_of_its_own_request(framing):
    _, caller, first, again = reuse_connection(b'/lookup/x', method=b'GET')
    text = build_answer(first.attempt_id, body=b'text')
    again.write(
        build_answer(first.attempt_id, framing=framing, body=text)
        + build_answer(again.attempt_id)
    )
    assert (caller.status, caller.body) == (200, b'own')


def test_a_request_without_an_answer_body_has_a_connection_of_its_own():
    world, _, first, again = reuse_connection(b'/lookup/x', method=b'GET')
    again.answer()
    world.send_request(b'/lookup/x', method=b'HEAD')
    head = world.sent[-1]
    assert head.connection is not first.connection
    head.write(build_head(head.attempt_id))
    world.send_request(b'/lookup/x', method=b'GET')
    assert world.sent[-1].connection is not head.connection


# Guards against an answer that its target truncates, filled up with the bytes
# of the copy behind it.
@pytest.mark.parametrize('number', [0, 1])
@pytest.mark.parametrize('is_split', [False, True])
def test_a_truncated_answer_is_not_filled_up_by_a_copy(number, is_split):
    body = b'b' * 200
    for lost_bytes in range(1, len(body)):
        _, caller, *both = reuse_connection()
        again = both[1]
        answer = build_answer(again.attempt_id, body=body)[:-lost_bytes]
        copy = build_answer(both[number].attempt_id, body=body)
        for piece in (answer, copy) if is_split else (answer + copy,):
            again.write(piece)
        assert caller.status == 502, lost_bytes


# A body that its length states may hold and end in any text.
@pytest.mark.parametrize('name', [b'another', b''])
def test_a_body_of_stated_length_may_end_within_text_of_a_head(name):
    head = build_head(name)
    for cut in range(1, len(head) + 1):
        _, caller, _, again = reuse_connection()
        again.write(build_answer(again.attempt_id, body=head[:cut]))
        assert (caller.status, caller.body) == (200, head[:cut])
