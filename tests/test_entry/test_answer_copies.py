"""
Tests of workers that answer twice, the second time where the next is due.

They guard against callers of an entry that get the answer to another request:
its status, its body or its events.
"""

import re
from functools import partial
from itertools import product

import msgspec
import pytest

from tests.stutter import END_OF_HEAD, StutteringServer, build_answer
from tests.test_entry.world import World, join_text

TEXTS = ('first', 'second', 'third')
ATTEMPT = re.compile(rb'\r\nx-request-id: (\S+)\r\n', re.IGNORECASE)
MODELS = ('demo-model', 'once-model')
# Whole copies, and copies that break off in the status line, a header or body.
COPIED_SIZES = (None, 5, 12, 20, 30, 45, 60, 90)


def find_text(request) -> bytes:
    return next(text.encode() for text in TEXTS if text.encode() in request)


def echo(request, status=200) -> bytes:
    """Answer with the text of the request."""
    if request.startswith(b'DELETE '):
        return build_answer(204)
    return build_answer(status, find_text(request))


def fail_first(request) -> bytes:
    """Answer the first text with a failure."""
    return echo(request, 404 if b'first' in request else 200)


def complete(request) -> bytes:
    """Answer as an engine that names the attempt."""
    attempt = ATTEMPT.search(request)
    if not attempt:
        return build_answer(204)
    name = attempt.group(1).decode()
    text = find_text(request).decode()
    usage = {'prompt_tokens': 1, 'completion_tokens': 1}
    choice = {'finish_reason': 'stop'}
    if b'"stream":true' in request:
        chunk = {
            'id': name,
            'choices': [{**choice, 'delta': {'content': text}}],
        }
        events = b'data: %b\n\ndata: [DONE]\n\n' % msgspec.json.encode(chunk)
        return build_answer(200, events)
    whole = {
        'id': name,
        'choices': [{**choice, 'message': {'content': text}}],
        'usage': usage,
    }
    return build_answer(200, msgspec.json.encode(whole))


def refuse_first(request) -> bytes:
    """Refuse the first text as an engine does."""
    if b'first' in request:
        return echo(request, 400)
    return complete(request)


def list_worlds(target, answer, answer_id=''):
    """Yield a world for each size and time of copies, with both."""
    for copied, sent_at_once in product(COPIED_SIZES, (0, 3, 40)):
        world = World(engines=1, services=1, targets__answer_id=answer_id)
        server = StutteringServer(answer, copied, sent_at_once)
        world.net.add_site(f'{target}:80', server)
        yield world, (copied, sent_at_once)


@pytest.mark.parametrize('answer', [echo, fail_first])
@pytest.mark.parametrize('path', ['lookup', 'filing'])
def test_callers_of_a_service_get_their_own_answers(path, answer):
    for world, copied in list_worlds('service-0', answer):
        for text in TEXTS:
            body = text.encode()
            sent = world.send('POST', f'/services/{path}/x', body)
            got = world.finish(sent)
            status = 404 if (answer, text) == (fail_first, 'first') else 200
            assert (got.status, got.body) == (status, body), copied


@pytest.mark.parametrize('answer_id', ['', '{attempt}'])
def test_callers_of_an_engine_get_their_own_streams(answer_id):
    for world, copied in list_worlds('engine-0', complete, answer_id):
        for text, model in product(TEXTS, MODELS):
            got = world.finish(world.chat(model, text=text))
            assert got.body.endswith(b'data: [DONE]\n\n'), copied
            assert join_text(got) == text, copied


@pytest.mark.parametrize('answer_id', ['', '{attempt}'])
@pytest.mark.parametrize('answer', [complete, refuse_first])
def test_callers_of_an_engine_get_their_own_answers(answer, answer_id):
    for world, copied in list_worlds('engine-0', answer, answer_id):
        for text, model in product(TEXTS, MODELS):
            got = world.finish(world.chat(model, text=text, stream=False))
            if (answer, text) == (refuse_first, 'first'):
                assert (got.status, got.body) == (400, b'first'), copied
            else:
                assert got.status == 200, copied
                (choice,) = msgspec.json.decode(got.body)['choices']
                assert choice['message']['content'] == text, copied


class ClosingServer(StutteringServer):
    """Sends answers without a length with a part of a copy, and closes."""

    def buildProtocol(self, addr):
        built = super().buildProtocol(addr)
        built.dataReceived = partial(self.answer_and_close, built)
        return built

    def answer_and_close(self, connection, request):
        head, _, body = self.answer(request).partition(END_OF_HEAD)
        unframed = head.partition(b'\r\n')[0] + END_OF_HEAD + body
        connection.transport.write(unframed + unframed[: self.copied])
        connection.transport.loseConnection()


def make_closing_world(target, answer, copied):
    world = World(engines=1, services=1, targets__answer_id='')
    world.net.add_site(f'{target}:80', ClosingServer(answer, copied))
    return world


# Guards against a copy that counts as a part of the answer before it.
@pytest.mark.parametrize('copied', [1, 7, 19, 50, None])
def test_an_answer_without_a_length_and_its_copy_are_no_answer(copied):
    for path in ('lookup', 'filing'):
        world = make_closing_world('service-0', echo, copied)
        got = world.finish(world.send('POST', f'/services/{path}/x', b'first'))
        assert got.status == 502
    for model in MODELS:
        world = make_closing_world('engine-0', complete, copied)
        got = world.finish(world.chat(model, text='first', stream=False))
        assert got.status == 502


@pytest.mark.parametrize('copied', [1, 7, 19, 50, None])
def test_a_copy_behind_a_stream_without_a_length_is_no_part_of_it(copied):
    for model in MODELS:
        world = make_closing_world('engine-0', complete, copied)
        got = world.finish(world.chat(model, text='first'))
        assert join_text(got) == 'first'
        assert got.body.count(b'[DONE]') == 1
