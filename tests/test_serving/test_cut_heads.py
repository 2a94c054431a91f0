"""
Tests of targets that stop inside the head of an answer.

They guard against a part of a head that is taken for a head: for an empty
answer that is whole (MIXED, ORDER), or for the promise that a request has not
run (REFUSED, TWICE).
"""

import h11
import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost

from cicadahoist.clock import Clock
from cicadahoist.serving.answers.endings import AnswerLoss
from cicadahoist.serving.outbound import TargetConnection
from cicadahoist.serving.target_pool import TargetPool
from tests.test_serving.relay_world import Answer, relay_world, reset
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    TARGETS,
    World,
    connect,
    prompt_headers,
    target,
)

SEAL = b'X-Cicadahoist-Server-Seal: s\r\n'
FRAMINGS = {
    'length': b'Content-Length: 12\r\n',
    'chunks': b'Transfer-Encoding: chunked\r\n',
    'close': b'',
}
LATE = b'HTTP/1.1 200 OK\r\nX-Cicadahoist-Attempt-Id: other\r\n' + SEAL
# What precedes the head on its connection.
BEFORE = {
    'nothing': b'',
    'continue': b'HTTP/1.1 100 Continue\r\n\r\n',
    'hints': b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n',
    'late': LATE + b'Content-Length: 4\r\n\r\nlate',
    'late-chunks': LATE
    + b'Transfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n',
}
LOSS_BY_END = {'close': AnswerLoss.closed, 'reset': AnswerLoss.reset}
ends = pytest.mark.parametrize('end', LOSS_BY_END)
framings = pytest.mark.parametrize('framing', FRAMINGS)


def build_head(attempt, status=200, framing='length'):
    """Return the head of an answer, a success or a promise."""
    mark = SEAL if status < 400 else b'X-Cicadahoist-Not-Executed: 1\r\n'
    attempt_line = b'X-Cicadahoist-Attempt-Id: ' + attempt + b'\r\n'
    return (
        b'HTTP/1.1 %d X\r\n' % status
        + attempt_line
        + mark
        + FRAMINGS[framing]
        + b'\r\n'
    )


class OwnAnswer(Answer):
    """Receives the answer to the attempt `own`, and skips others."""

    def head_received(self, status, headers):
        is_own = (b'x-cicadahoist-attempt-id', b'own') in headers
        self.has_head = self.has_head or is_own
        return is_own

    has_head = False


def send(connection, answer):
    connection.send(
        h11.Request(method='GET', target='/x', headers=[('Host', 'h')]),
        b'',
        answer,
        TargetPool(target('t1')),
    )


# Guards against a head made of the part that has arrived.
@ends
@framings
@pytest.mark.parametrize('status', [200, 421, 503])
@pytest.mark.parametrize('line_end', [b'\r\n', b'\n'])
@pytest.mark.parametrize('before', BEFORE)
@pytest.mark.parametrize('is_reused', [False, True])
def test_a_cut_head_is_lost(is_reused, before, line_end, status, framing, end):
    head = build_head(b'own', status, framing).replace(b'\r\n', line_end)
    for size in range(len(head)):
        connection = TargetConnection(Clock.manual())
        transport = connect(connection)
        if is_reused:
            send(connection, Answer())
            connection.dataReceived(
                b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
            )
        assert connection.is_reused is is_reused
        answer = OwnAnswer()
        send(connection, answer)
        for piece in (BEFORE[before], head[:size]):
            if piece:
                connection.dataReceived(piece)
        error = ConnectionDone() if end == 'close' else ConnectionLost()
        transport.lose(error)
        assert not answer.has_head, size
        assert (answer.body, answer.end) == (b'', LOSS_BY_END[end]), size


def cut_everywhere(path, headers, end, status=200, framing='length'):
    """
    Cut the heads of answers, each at another byte.

    :return: the world, and the callers
    """
    world = World()
    world.add(*TARGETS)
    callers = []
    for arrived in range(len(build_head(b'a', status, framing))):
        callers.append(world.send_request(path, *headers, patience=2000))
        assert len(world.sent) == len(callers) == arrived + 1
    for arrived, sent in enumerate(list(world.sent)):
        sent.write(build_head(sent.attempt_id, status, framing)[:arrived])
        getattr(sent, end)()
    return world, callers


# Guards against an answer, or a promise not to have run, from a part of a head.
@ends
@framings
@pytest.mark.parametrize('status', [200, 503])
@pytest.mark.parametrize(
    ('path', 'headers'),
    [
        (b'/submit/x', ()),
        (b'/open/x', ()),
        (b'/check/x', SHORT_PROMPT_HEADERS),
    ],
)
def test_a_cut_head_is_no_answer(path, headers, status, framing, end):
    world, callers = cut_everywhere(path, headers, end, status, framing)
    assert {caller.status for caller in callers} == {502}
    assert len(world.sent) == len(callers)


# Guards against a part of a head that ends a request which may be sent again.
@ends
@pytest.mark.parametrize(
    ('path', 'headers'),
    [(b'/lookup/x', ()), (b'/ask/x', SHORT_PROMPT_HEADERS)],
)
def test_a_request_is_sent_again_after_a_cut_head(path, headers, end):
    for arrived in range(len(build_head(b'a'))):
        world = World()
        world.add(*TARGETS)
        caller = world.send_request(path, *headers, patience=2000)
        sent = world.sent[0]
        sent.write(build_head(sent.attempt_id)[:arrived])
        getattr(sent, end)()
        assert caller.status is None
        world.sent[1].answer(body=b'id: 1\ndata: x\n\n')
        assert caller.status == 200
        assert caller.body.count(b'data: x') == 1


# Guards against a KV cache that a part of a head promises.
@ends
def test_a_cut_head_of_a_prefill_brings_no_cache(end):
    world, _ = cut_everywhere(b'/ask/x', prompt_headers(), end)
    assert world.sent[0].header(b'X-Cicadahoist-Serving-Stage') == b'prefill'
    assert not any(
        sent.header(b'X-Cicadahoist-Kv-Source') for sent in world.sent
    )


# Guards against a close through a peer that looks like the end of an answer.
@ends
@framings
@pytest.mark.parametrize('is_paused', [False, True])
def test_a_cut_head_through_a_peer_is_lost(is_paused, framing, end):
    head = build_head(b'own', framing=framing)
    with relay_world() as world:
        listed = world.add_target()
        for size in range(len(head)):
            connection, accepted = world.open(listed)
            answer = OwnAnswer()
            send(connection, answer)
            world.receive(accepted, 28)
            if is_paused:
                connection.pause()
            accepted.sendall(head[:size])
            if end == 'close':
                accepted.close()
            else:
                reset(accepted)
            if is_paused:
                world.turn_until(lambda: not world.server.count_open())
                connection.resume()
            world.turn_until(lambda answer=answer: answer.end)
            assert not answer.has_head
            assert answer.end is LOSS_BY_END[end], size
