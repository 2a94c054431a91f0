"""
Answers of targets that are no answers, or break off early.

They guard against a status that HTTP does not have and that is passed on, and
against a part of an answer that looks complete because it came before the end
of a long upload.
"""

import h11
import pytest

from cicadahoist.serving.answers.endings import AnswerLoss
from tests.test_serving.relay_world import (
    Answer,
    read_some,
    relay_world,
    reset,
)
from tests.test_serving.world import TARGETS, World, prompt_headers

# RFC 9110, section 15: a status is a number from 100 to 599.
NO_STATUSES = (b'000', b'001', b'099', b'600', b'999', b'0', b'2000', b'-20')
UPLOAD_BYTES = 4_000_000
EARLY_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
STREAM_HEADERS = [b'X-Cicadahoist-Deadline-Ms: 15000', *prompt_headers()]


@pytest.fixture
def world():
    world = World()
    world.add(*TARGETS)
    return world


def answer_with(sent, status):
    sent.write(
        b'HTTP/1.1 ' + status + b' X\r\nContent-Length: 4\r\n'
        b'X-Cicadahoist-Attempt-Id: ' + sent.attempt_id + b'\r\n'
        b'X-Cicadahoist-Server-Seal: seal-of-target\r\n\r\nbody'
    )


@pytest.mark.parametrize('status', NO_STATUSES)
def test_a_status_that_is_none_is_no_answer_to_a_request(world, status):
    caller = world.send_request(b'/submit/x')
    answer_with(world.sent[0], status)
    assert caller.status == 502


@pytest.mark.parametrize('status', NO_STATUSES)
def test_a_status_that_is_none_is_no_answer_to_a_stream(world, status):
    caller = world.send_request(b'/check/x', *STREAM_HEADERS)
    world.sent[0].answer(body=b'{"kv-handle":"h7","tokens":9,"version":1}')
    answer_with(world.sent[-1], status)
    assert caller.status == 502


@pytest.mark.parametrize('status', NO_STATUSES)
def test_a_status_that_is_none_lets_a_repeatable_request_run_again(
    world, status
):
    caller = world.send_request(b'/lookup/x')
    answer_with(world.sent[0], status)
    world.sent[1].answer()
    assert caller.status == 200


@pytest.mark.parametrize('status', [b'000', b'600', b'999'])
def test_a_status_that_is_none_is_no_answer_through_a_peer(status):
    with relay_world() as relay:
        connection, accepted = relay.open(relay.add_target())
        answer = Answer()
        upload(connection, answer, 10)
        accepted.sendall(
            b'HTTP/1.1 ' + status + b' X\r\nContent-Length: 4\r\n\r\nbody'
        )
        relay.turn_until(lambda: answer.end is not None)
        assert answer.end is AnswerLoss.malformed


def upload(connection, answer, body_bytes):
    head = h11.Request(
        method=b'POST',
        target=b'/',
        headers=[('Host', 'h'), ('Content-Length', str(body_bytes))],
    )
    connection.send(head, b'x' * body_bytes, answer, None)


@pytest.mark.parametrize('body', [b'part', b''])
def test_an_early_answer_through_a_peer_that_is_reset_is_cut(body):
    with relay_world() as relay:
        connection, accepted = relay.open(relay.add_target())
        answer = Answer()
        upload(connection, answer, UPLOAD_BYTES)
        relay.turn_until(lambda: read_some(accepted, 1000))
        accepted.sendall(EARLY_HEAD + body)
        if body:
            relay.turn_until(lambda: answer.body)
        reset(accepted)
        relay.turn_until(lambda: answer.end is not None)
        assert answer.end is AnswerLoss.reset


def test_an_early_answer_through_a_peer_with_bytes_unread_is_cut():
    # A close with bytes unread resets the connection.
    with relay_world() as relay:
        connection, accepted = relay.open(relay.add_target())
        answer = Answer()
        upload(connection, answer, UPLOAD_BYTES)
        relay.turn_until(lambda: read_some(accepted, 1000))
        relay.turn_for_a_while()
        accepted.sendall(EARLY_HEAD + b'part')
        accepted.close()
        relay.turn_until(lambda: answer.end is not None)
        assert answer.end is AnswerLoss.reset


@pytest.mark.parametrize('path', [b'/submit/x', b'/lookup/x'])
def test_an_early_answer_that_is_reset_is_not_passed_on(world, path):
    caller = world.send_request(path, body=b'x' * UPLOAD_BYTES)
    for _ in range(2):
        sent = world.sent[-1]
        sent.write(
            b'HTTP/1.1 200 OK\r\nX-Cicadahoist-Attempt-Id: '
            + sent.attempt_id
            + b'\r\nX-Cicadahoist-Server-Seal: s\r\n\r\npart'
        )
        sent.reset()
    assert caller.status == 502
    assert b'part' not in caller.received


def test_an_early_stream_that_is_reset_is_broken_off(world):
    caller = world.send_request(
        b'/check/x', *STREAM_HEADERS, body=b'x' * UPLOAD_BYTES
    )
    world.sent[0].answer(body=b'{"kv-handle":"h7","tokens":9,"version":1}')
    sent = world.sent[-1]
    sent.write(
        b'HTTP/1.1 200 OK\r\nX-Cicadahoist-Attempt-Id: '
        + sent.attempt_id
        + b'\r\nX-Cicadahoist-Server-Seal: s\r\n\r\nid: 1\ndata: t\n\n'
    )
    sent.reset()
    assert caller.transport.is_aborted
