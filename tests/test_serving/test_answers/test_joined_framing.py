"""
Copies that break off in their chunk framing, and heads in unusual forms.

They guard against the head of an answer that is taken for a part of a copy, so
that its caller gets text of the body instead (MIXED) or waits to its deadline.
"""

import pytest

from tests.test_serving.test_answers.copies import (
    build_answer,
    build_head,
    reuse_connection,
)

FOLDED_HEADER = b'Server: worker\r\n of two lines'
# Longer than the search for heads takes into account; h11 takes such a head if
# it arrives in one read.
LONG_HEADER = b'Server: ' + b'w' * 17_000
unusual_headers = pytest.mark.parametrize(
    'header', [FOLDED_HEADER, LONG_HEADER], ids=['folded', 'long']
)


def replace_header(answer, header):
    return answer.replace(b'Server: worker', header, 1)


# Guards against the status and the body of text in the body of an answer, whose
# status line is taken for the extension of the last chunk of a copy.
@pytest.mark.parametrize('extension', [b'0;', b'0;x='])
@pytest.mark.parametrize('status', [200, 500])
def test_a_copy_cut_in_its_last_chunk_header_takes_no_answer(extension, status):
    _, caller, first, again = reuse_connection()
    text = build_answer(again.attempt_id, body=b'text')
    copy = build_head(first.attempt_id, framing='chunks') + extension
    again.write(copy + build_answer(again.attempt_id, status, body=text))
    assert caller.status in {status, 502}
    assert caller.status == 502 or caller.body == text


# Guards against a wait to the deadline, as an answer without its status line is
# taken for data of a copy.
@pytest.mark.parametrize('extension', [b'0;x=', b'400;x='])
def test_a_request_behind_a_copy_cut_in_a_chunk_header_ends(extension):
    _, caller, first, again = reuse_connection()
    copy = build_head(first.attempt_id, framing='chunks') + extension
    again.write(copy + build_answer(again.attempt_id))
    assert caller.status in {200, 502}


# Guards against a wait to the deadline, as the size of a chunk ends in CRLF and
# the lines of the answer behind it in LF.
def test_an_answer_with_short_line_ends_ends_a_copy_cut_in_a_chunk_size():
    _, caller, first, again = reuse_connection()
    copy = build_head(first.attempt_id, framing='chunks') + b'0'
    answer = build_answer(again.attempt_id).replace(b'\r\n', b'\n')
    again.write(copy + answer)
    assert caller.status in {200, 502}


# Guards against text in a body that is taken for the answer, as its own head
# was not recognized in the body of a copy.
@unusual_headers
def test_an_unusual_head_in_a_cut_copy_is_found(header):
    _, caller, first, again = reuse_connection()
    text = build_answer(again.attempt_id, body=b'text')
    answer = replace_header(
        build_answer(again.attempt_id, 500, body=text), header
    )
    head_bytes = len(answer) - len(text)
    copy = build_answer(first.attempt_id, body=b'c' * 20_000)
    again.write(copy[:-head_bytes] + answer)
    assert caller.status in {500, 502}


# Guards against a copy that is passed on as the end of an answer.
@unusual_headers
def test_a_copy_with_an_unusual_head_is_no_part_of_an_answer(header):
    _, caller, _, again = reuse_connection()
    answer = build_answer(again.attempt_id, framing='close')
    again.write(answer + replace_header(build_answer(again.attempt_id), header))
    if not again.is_closed:
        again.close()
    assert (caller.status, caller.body) in {(200, b'own'), (502, b'')}
