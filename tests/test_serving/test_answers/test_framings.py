"""
Framings of answers that leave open where the answer ends.

They guard against bytes behind an answer, or within it, that count for another
request (MIXED).
"""

import pytest

from tests.test_serving.test_answers.copies import (
    build_answer,
    build_head,
    reuse_connection,
)
from tests.test_serving.world import World, target

LENGTH = b'Content-Length: %d'
CHUNKED = b'Transfer-Encoding: chunked'
CHUNKS = b'3\r\nown\r\n0\r\n\r\n'


def build_framed(name, *lines, status=200, version=b'1.1', body=b'own'):
    """Return an answer whose head states what a test wants."""
    head = [b'HTTP/%s %d Status' % (version, status), *lines]
    head.append(b'X-Cicadahoist-Attempt-Id: ' + name)
    head.append(b'X-Cicadahoist-Server-Seal: seal-of-' + name)
    return b'\r\n'.join(head) + b'\r\n\r\n' + body


def send(path=b'/submit/x', method=b'GET'):
    world = World()
    world.add(target('t1'))
    caller = world.send_request(path, method=method)
    return world, caller, world.sent[0]


def is_used_again(world, sent):
    world.send_request(b'/submit/x')
    return world.sent[-1].connection is sent.connection


@pytest.mark.parametrize(
    ('lines', 'body'),
    [
        ([LENGTH % 3, LENGTH % 4], b'own!'),
        ([b'Content-Length: 3, 4'], b'own!'),
        ([b'Content-Length: +3'], b'own'),
        ([b'Content-Length:'], b'own'),
        ([CHUNKED, CHUNKED], CHUNKS),
        ([b'Transfer-Encoding: gzip, chunked'], CHUNKS),
        ([b'Transfer-Encoding: identity', LENGTH % 3], b'own'),
        ([CHUNKED], b'3 \r\nown!\r\n0\r\n\r\n'),
        ([CHUNKED], b'-1\r\n\r\n0\r\n\r\n'),
    ],
)
def test_an_answer_of_unknown_framing_is_lost(lines, body):
    world, caller, sent = send()
    sent.write(build_framed(sent.attempt_id, *lines, body=body))
    assert caller.status == 502
    assert b'own' not in caller.body
    assert not is_used_again(world, sent)


# A target of HTTP/1.0 closes, whatever it states; bytes behind are no answer.
@pytest.mark.parametrize('option', [b'X-None: 1', b'Connection: keep-alive'])
@pytest.mark.parametrize('behind', [b'', build_answer(b'another')])
def test_a_connection_of_an_older_version_is_not_used_again(option, behind):
    world, caller, sent = send()
    answer = build_framed(sent.attempt_id, LENGTH % 3, option, version=b'1.0')
    sent.write(answer + behind)
    assert (caller.status, caller.body) == (200, b'own')
    assert not is_used_again(world, sent)


@pytest.mark.parametrize('status', [204, 304])
@pytest.mark.parametrize('line', [LENGTH % 3, CHUNKED, b'X-None: 1'])
def test_bytes_behind_an_answer_without_a_body_are_of_no_answer(status, line):
    world, caller, sent = send()
    sent.write(build_framed(sent.attempt_id, line, status=status))
    assert caller.status == status
    assert not caller.body
    assert not is_used_again(world, sent)


# Guards against the body of such an answer that comes later, where the next
# answer is expected, and takes its place.
@pytest.mark.parametrize(
    'line', [LENGTH % 3, CHUNKED], ids=['length', 'chunks']
)
def test_a_connection_that_owes_a_body_is_not_used_again(line):
    world, caller, sent = send()
    sent.write(build_framed(sent.attempt_id, line, status=204, body=b''))
    assert caller.status == 204
    assert not is_used_again(world, sent)


# RFC 9112, section 6.3: the chunks count, and the length may be an attempt to
# split an answer.
def test_a_connection_with_a_doubtful_length_is_not_used_again():
    world, caller, sent = send()
    name = sent.attempt_id
    sent.write(build_framed(name, LENGTH % 9, CHUNKED, body=CHUNKS))
    assert caller.status == 502 or caller.body == b'own'
    assert not is_used_again(world, sent)


# Guards against the text in a body that must not be there, skipped as a copy.
@pytest.mark.parametrize('status', [204, 304])
def test_text_behind_a_copy_without_a_body_is_no_answer(status):
    _, caller, first, again = reuse_connection(b'/submit/x', method=b'GET')
    text = build_answer(again.attempt_id, body=b'text')
    copy = build_framed(
        first.attempt_id, LENGTH % len(text), status=status, body=text
    )
    again.write(copy + build_answer(again.attempt_id, 500))
    assert caller.status in {500, 502}
    assert b'text' not in caller.body


@pytest.mark.parametrize('status', [100, 102, 103])
def test_an_interim_head_is_no_answer(status):
    _, caller, first, again = reuse_connection()
    for name in (first.attempt_id, again.attempt_id):
        again.write(build_framed(name, status=status, body=b''))
    again.write(build_answer(again.attempt_id, 500))
    assert (caller.status, caller.body) == (500, b'own')


# Guards against the change of a protocol that nobody has asked for: what
# follows is no answer.
def test_bytes_behind_a_change_of_protocol_are_no_answer():
    _, caller, _, again = reuse_connection()
    head = build_framed(
        again.attempt_id, b'Upgrade: other', status=101, body=b''
    )
    again.write(head + build_answer(again.attempt_id))
    assert caller.status == 502
    assert again.is_closed


# A trailer belongs to the framing: it changes neither name nor length.
def test_trailers_change_nothing_of_an_answer():
    world, caller, sent = send()
    trailers = b'Content-Length: 9\r\nX-Cicadahoist-Attempt-Id: another\r\n'
    head = build_head(sent.attempt_id, framing='chunks')
    sent.write(head + CHUNKS[:-2] + trailers + b'\r\n')
    assert (caller.status, caller.body) == (200, b'own')
    assert b'another' not in caller.received
    assert is_used_again(world, sent)
