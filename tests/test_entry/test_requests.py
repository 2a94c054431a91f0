"""
Requests of callers through one entry.

These tests guard against answers that differ from those of the target, against
callers without a right or beyond the limits, and against keys or headers of a
caller that reach a target.
"""

import msgspec
import pytest

from cicadahoist.reasons import Refusal
from tests.test_entry.world import (
    CREDENTIAL,
    KEY,
    World,
    decode_error,
    decode_events,
    join_text,
)


def test_stream_reaches_the_caller_complete_and_is_billed():
    world = World()
    answer = world.finish(world.chat(tokens=5))
    assert answer.status == 200
    assert decode_events(answer)[-1] == '[DONE]'
    assert len(join_text(answer).split()) == 5
    (count,) = world.entries[0].usage
    assert count.workspace == 'tayside'
    assert count.output_tokens == 5
    assert count.prompt_tokens > 0


def test_unstreamed_answer_has_the_same_text_as_the_stream():
    world = World()
    streamed = join_text(world.finish(world.chat(tokens=5)))
    whole = world.finish(world.chat(tokens=5, stream=False))
    choice = msgspec.json.decode(whole.body)['choices'][0]
    assert choice['message']['content'] == streamed


def test_no_target_sees_the_callers_key_or_other_headers():
    world = World()
    world.finish(world.chat(headers={'Cookie': 'a=b', 'X-Secret': 'c'}))
    world.finish(
        world.send('POST', '/services/lookup/x', headers={'Cookie': 'a=b'})
    )
    seen = [
        server.seen().calls
        for server in [*world.engines.values(), *world.services.values()]
    ]
    wire = msgspec.json.encode(seen).decode()
    assert CREDENTIAL in wire
    assert KEY not in wire
    assert 'a=b' not in wire
    assert 'X-Secret' not in wire


@pytest.mark.parametrize(
    ('key', 'model', 'reason'),
    [
        ('', 'demo-model', Refusal.no_key),
        ('wrong', 'demo-model', Refusal.wrong_key),
        (KEY, 'no-such-model', Refusal.unknown_route),
        ('key-of-pilbara', 'demo-model', Refusal.forbidden_route),
    ],
)
def test_callers_without_a_right_are_refused(key, model, reason):
    world = World()
    answer = world.finish(world.chat(model, key=key))
    assert answer.status == reason.status
    assert decode_error(answer)['code'] == reason.code
    assert decode_error(answer)['outcome'] == 'not-run'
    assert world.entries[0].metrics.counted_reasons == [reason]
    assert not any(server.seen().calls for server in world.engines.values())


@pytest.mark.parametrize(
    'body',
    [
        b'{"model": ',
        b'[]',
        b'{"model": "demo-model"}',
        b'{"model": "demo-model", "messages": [], "n": 2}',
        b'\xff\xfe',
    ],
)
def test_invalid_bodies_are_refused(body):
    world = World()
    answer = world.finish(world.send('POST', '/v1/chat/completions', body))
    assert decode_error(answer)['code'] == 'bad-request'
    assert not any(server.seen().calls for server in world.engines.values())


def test_body_above_the_limit_is_refused_unread():
    world = World(entry__body_limit=2000)
    answer = world.finish(world.chat(text='x' * 5000))
    assert answer.status == 413
    assert world.entries[0].metrics.counted_reasons == [Refusal.body_too_large]


def test_caller_that_never_completes_its_header_is_refused():
    world = World(entry__header_timeout=1000)
    host = world.entries[0].host
    received = []
    client = SlowCaller(received)
    host.connect(client)
    client.transport.write(b'POST /v1/chat/completions HTTP/1.1\r\nHost: ')
    world.net.advance(900)
    assert not received
    client.transport.write(b'x')
    world.net.advance(300)
    assert b'408' in b''.join(received)
    assert world.entries[0].metrics.counted_reasons == [Refusal.header_too_slow]


class SlowCaller:
    """A raw connection that records what it receives."""

    def __init__(self, received) -> None:
        self._got = received

    def buildProtocol(self, _):
        return self

    def makeConnection(self, transport) -> None:
        self.transport = transport

    def dataReceived(self, received) -> None:
        self._got.append(received)

    def connectionLost(self, reason=None) -> None:
        """The entry closed the connection."""


def test_models_lists_the_routes_of_the_workspace():
    world = World()
    answer = world.finish(world.send('GET', '/v1/models'))
    listed = msgspec.json.decode(answer.body)['data']
    assert [model['id'] for model in listed] == ['demo-model', 'once-model']


def test_an_open_route_needs_no_key():
    world = World()
    answer = world.finish(world.send('GET', '/services/public/x', key=''))
    assert answer.status == 200


def test_disconnected_caller_frees_the_engine_and_is_billed():
    world = World(engines=1)
    answer = world.chat(tokens=500)
    world.net.until(lambda: len(answer.body) > 2000)
    answer.leave()
    world.net.advance(500)
    (count,) = world.entries[0].usage
    assert 0 < count.output_tokens < 500
    assert len(world.entries[0].context.open_requests) == 0
    engine = world.engines['engine-0']
    (attempt,) = engine.seen().attempts
    assert engine._engine.read_state(attempt).state == 'cancelled'
