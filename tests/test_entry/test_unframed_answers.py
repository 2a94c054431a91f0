"""
Answers with neither a length nor chunks, which end with their connections.

They guard against whole answers that are taken for broken ones.
"""

import msgspec
import pytest
from twisted.internet.protocol import Factory, Protocol

from tests.test_entry.world import World, decode_events

WHOLE_ANSWER = {
    'id': '',
    'choices': [{'message': {'content': 'text'}, 'finish_reason': 'stop'}],
    'usage': {'prompt_tokens': 1, 'completion_tokens': 1},
}
CUT_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n'
)
LAST_CHUNK = {
    'id': '',
    'choices': [{'delta': {'content': 'text'}, 'finish_reason': 'stop'}],
}


class UnframedServer(Factory):
    """Answers each request with the same body and closes the connection."""

    def __init__(self, body) -> None:
        self._body = body

    def buildProtocol(self, addr):
        return UnframedProtocol(self._body)


class CutHeadServer(Factory):
    """Sends the same part of a head for each request, and closes."""

    def __init__(self, part) -> None:
        self._part = part

    def buildProtocol(self, addr):
        return UnframedProtocol(b'', self._part)


class UnframedProtocol(Protocol):
    def __init__(self, body, head=b'HTTP/1.1 200 OK\r\n\r\n') -> None:
        self._body = body
        self._head = head

    def dataReceived(self, data) -> None:
        self.transport.write(self._head + self._body)
        self.transport.loseConnection()


def make_world(target, body):
    world = World(engines=1, services=1, targets__answer_id='')
    world.net.add_site(f'{target}:80', UnframedServer(body))
    return world


@pytest.mark.parametrize('model', ['demo-model', 'once-model'])
def test_an_unframed_stream_is_whole(model):
    chunk = msgspec.json.encode(LAST_CHUNK)
    body = b'data: %b\n\ndata: [DONE]\n\n' % chunk
    world = make_world('engine-0', body)
    answer = world.finish(world.chat(model))
    assert decode_events(answer)[-1] == '[DONE]'


@pytest.mark.parametrize('model', ['demo-model', 'once-model'])
def test_an_unframed_answer_of_an_engine_is_whole(model):
    world = make_world('engine-0', msgspec.json.encode(WHOLE_ANSWER))
    answer = world.finish(world.chat(model, stream=False))
    assert answer.status == 200
    assert msgspec.json.decode(answer.body) == WHOLE_ANSWER


@pytest.mark.parametrize('model', ['demo-model', 'once-model'])
def test_an_unframed_answer_that_ends_early_is_not_whole(model):
    body = msgspec.json.encode(WHOLE_ANSWER)[:-9]
    world = make_world('engine-0', body)
    answer = world.finish(world.chat(model, stream=False))
    assert answer.status == 502


@pytest.mark.parametrize('path', ['lookup', 'filing'])
def test_an_unframed_answer_of_a_service_is_whole(path):
    world = make_world('service-0', b'done')
    answer = world.finish(world.send('POST', f'/services/{path}/x', b'return'))
    assert answer.status == 200
    assert answer.body == b'done'


# Guards against a part of a head that is taken for an empty answer.
@pytest.mark.parametrize('size', range(0, len(CUT_HEAD), 7))
@pytest.mark.parametrize('target', ['service-0', 'engine-0'])
def test_a_cut_head_is_no_answer(target, size):
    world = World(engines=1, services=1, targets__answer_id='')
    world.net.add_site(f'{target}:80', CutHeadServer(CUT_HEAD[:size]))
    if target == 'service-0':
        answering = world.send('POST', '/services/filing/x', b'return')
    else:
        answering = world.chat('once-model', stream=False)
    assert world.finish(answering).status == 502
