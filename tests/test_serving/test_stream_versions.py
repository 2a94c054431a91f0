"""
Tests of streams while targets of several software versions serve.

They guard against streams that hold events of two versions: issue 21, ORDER.
"""

import msgspec
import pytest

from cicadahoist.policy.stream_versions.stream_terms import MIN_LIFETIME_MS
from cicadahoist.requests import RepeatRule
from cicadahoist.rules import EngineSizes, ServiceRule, ServiceShare
from tests.test_serving.streams import send_ask, take_up
from tests.test_serving.world import (
    ROUTES,
    World,
    deployment,
    prompt_headers,
    target,
)

HANDLE_BODY = b'{"kv-handle":"h7","tokens":9000,"version":1}'
STREAM_COUNT = 24


def decode(name, version, **fields):
    return target(name, 'llm', 'decode', version=version, **fields)


def prefill(name, version):
    return target(name, 'llm', 'prefill', version=version)


MIXED_ENGINES = [
    *(decode(f'a{number}', 'v1') for number in range(3)),
    *(decode(f'b{number}', 'v2') for number in range(3)),
]


@pytest.fixture
def world():
    world = World()
    world.add(*MIXED_ENGINES)
    return world


def version_of(sent):
    return {'a': 'v1', 'b': 'v2'}[sent.target[0]]


def begin(sent, *numbers):
    sent.begin_stream()
    sent.send_events(*numbers)


# A stream that broke off was resumed at an engine of any version.
def test_a_broken_stream_is_resumed_at_its_version(world):
    for _ in range(STREAM_COUNT):
        _, (first,) = send_ask(world)
        begin(first, 1)
        first.reset()
        assert version_of(world.sent[-1]) == version_of(first)
        assert world.sent[-1] is not first
        world.clock.advance(6000)


# With no engine of its version left, a stream went on at another one.
def test_a_stream_whose_version_has_no_engine_left_ends_at_once():
    world = World()
    world.add(decode('a0', 'v1'))
    caller, (first,) = send_ask(world)
    world.add(decode('b0', 'v2'), decode('b1', 'v2'))
    begin(first, 1)
    first.reset()
    assert len(world.sent) == 1
    assert caller.transport.is_aborted


def test_a_stream_without_events_begins_anew_at_any_version():
    world = World()
    world.add(decode('a0', 'v1'))
    _, (first,) = send_ask(world)
    world.add(decode('b0', 'v2'))
    first.begin_stream()
    first.reset()
    assert version_of(world.sent[1]) == 'v2'


# A stream that its caller took up again went on at any version.
def test_a_stream_that_its_caller_takes_up_stays_at_its_version(world):
    for _ in range(STREAM_COUNT):
        caller, (first,) = send_ask(world)
        begin(first, 1)
        caller.disconnect()
        _, (second,) = take_up(world, first.attempt_id)
        assert version_of(second) == version_of(first)
        begin(second, 2)
        second.reset()
        assert version_of(world.sent[-1]) == version_of(first)
        world.clock.advance(6000)


# Where its version was not known, a stream went on at a guessed one.
def test_a_stream_of_unknown_version_is_refused_as_not_run(world):
    caller, sent = take_up(world, b'elsewhere')
    assert not sent
    assert caller.status == 503
    assert caller.header(b'Retry-After')


def test_a_stream_without_a_named_beginning_is_refused_as_not_run(world):
    caller, sent = send_ask(world, b'Last-Event-Id: 3')
    assert not sent
    assert caller.status == 503


def test_an_unknown_stream_goes_on_while_there_is_one_version():
    world = World()
    world.add(decode('a0', 'v1'), decode('a1', 'v1'))
    _, sent = take_up(world, b'elsewhere')
    assert len(sent) == 1


# After a restart of all instances, the only listed version was guessed.
def test_an_unknown_stream_is_refused_where_earlier_versions_are_unknown():
    world = World(is_first_start=False)
    world.add(decode('a0', 'v1'))
    caller, sent = take_up(world, b'elsewhere')
    assert not sent
    assert caller.status == 503


@pytest.mark.parametrize(
    ('earlier', 'goes_on'),
    [(['v1'], True), (['v2'], False), (['v1', 'v2'], False)],
)
def test_earlier_versions_decide_after_a_restart(earlier, goes_on):
    world = World(is_first_start=False)
    world.apply_record({'llm': earlier})
    world.add(decode('a0', 'v1'))
    _, sent = take_up(world, b'elsewhere')
    assert bool(sent) == goes_on


# Which versions open streams began at is decided by the record alone: an
# instance cannot tell that from the time for which it has run.
def test_earlier_versions_are_forgotten_once_they_left_the_record():
    world = World(is_first_start=False)
    world.apply_record({'llm': ['v2']}, 1)
    world.add(decode('a0', 'v1'))
    world.clock.advance(2 * MIN_LIFETIME_MS)
    caller, sent = take_up(world, b'elsewhere')
    assert not sent
    assert caller.status == 503
    world.apply_record({'llm': ['v1']}, 2)
    _, sent = take_up(world, b'elsewhere')
    assert len(sent) == 1


# A version that left seconds ago may have begun a stream that is still open.
def test_an_unknown_stream_is_refused_shortly_after_a_version_left():
    world = World()
    world.add(decode('a0', 'v1'), decode('b0', 'v2'))
    world.context.fleet.directory.remove('a0')
    world.clock.advance(5000)
    caller, sent = take_up(world, b'elsewhere')
    assert not sent
    assert caller.status == 503


# An engine that restarts under its id may have another version.
def test_a_stream_does_not_return_to_an_engine_of_a_new_version():
    world = World()
    world.add(decode('a0', 'v1', started_ms=1))
    caller, (first,) = send_ask(world)
    begin(first, 1)
    caller.disconnect()
    world.add(decode('a0', 'v2', started_ms=2), decode('a1', 'v2'))
    caller, sent = take_up(world, first.attempt_id)
    assert not sent
    assert caller.status == 503


# Versions bind streams only: a lookup may be repeated at any of them.
def test_a_failed_lookup_is_repeated_at_another_version():
    world = World()
    world.add(target('t1', version='v1'), target('t2', version='v2'))
    caller = world.send_request(b'/lookup/x', patience=2000)
    world.sent[0].answer(500)
    world.sent[1].answer()
    assert caller.status == 200


# A KV cache of one version was handed to an engine of another.
def test_prefill_and_decode_run_at_one_version(world):
    world.add(prefill('ap', 'v1'), prefill('bp', 'v2'))
    for _ in range(STREAM_COUNT):
        sent_count = len(world.sent)
        world.send_request(b'/check/x', *prompt_headers(), patience=2000)
        first = world.sent[sent_count]
        first.answer(body=HANDLE_BODY)
        run = world.sent[sent_count + 1]
        assert run.header(b'X-Cicadahoist-Kv-Source')
        assert version_of(run) == version_of(first)
        begin(run, 1)
        run.end_stream()


# A handle that was not sent was kept for an engine of another version.
def test_a_handle_is_kept_for_its_version_only():
    world = World()
    world.add(prefill('ap', 'v1'), decode('a0', 'v1'))
    world.send_request(b'/check/x', *prompt_headers(), patience=2000)
    world.connections.refusing_targets.add('a0')
    world.add(decode('b0', 'v2'))
    world.sent[0].answer(body=HANDLE_BODY)
    for sent in world.sent[1:]:
        assert sent.header(b'X-Cicadahoist-Kv-Source') is None
    assert [handle.name for handle in world.freed_handles] == ['h7']


# A route may split its traffic between services with versions of their own.
def test_a_taken_up_stream_stays_with_the_service_that_began_it():
    world = World()
    world.context.apply_deployment(split_deployment())
    world.add(decode('a0', 'v1'), target('x0', 'other', 'decode', version='v1'))
    for _ in range(STREAM_COUNT):
        caller, (first,) = send_ask(world)
        begin(first, 1)
        caller.disconnect()
        _, (second,) = take_up(world, first.attempt_id)
        assert second.target == first.target


# The id of an attempt that took a stream up may stand for another service.
def test_a_stream_does_not_go_on_at_another_service():
    world = World()
    world.context.apply_deployment(split_deployment())
    world.add(decode('a0', 'v1'), target('x0', 'other', 'decode', version='v1'))
    refused_count = 0
    for _ in range(STREAM_COUNT):
        caller, (first,) = send_ask(world)
        begin(first, 1)
        caller.disconnect()
        caller, (second,) = take_up(world, first.attempt_id)
        begin(second, 2)
        caller.disconnect()
        caller, sent = take_up(world, second.attempt_id)
        refused_count += not sent
        assert caller.status == 503 or sent[0].target == first.target
    assert refused_count


# A plain service may have resumable streams as well.
def test_an_answer_of_a_plain_service_waits_for_the_record_in_a_new_era():
    world = World()
    resumable = msgspec.structs.replace(
        ROUTES[1], repeat=RepeatRule.resumable, is_streamed=True
    )
    world.context.apply_deployment(deployment(2, [resumable]))
    recorded = world.context.streams.recorded
    recorded.require_records()
    world.apply_record({'app': ['v1']}, 1)
    world.add(target('t1', version='v1'))
    caller = world.send_request(b'/lookup/x', patience=2000)
    recorded.apply_era(1)
    world.sent[0].answer(body=b'id: 1\ndata: t\n\n')
    world.clock.advance(500)
    assert not caller.received
    world.apply_record({'app': ['v1']}, 2, era=1)
    assert caller.status == 200


def split_deployment():
    shares = (ServiceShare('llm', 1), ServiceShare('other', 1))
    routes = [
        msgspec.structs.replace(route, shares=shares)
        if route.name == 'ask'
        else route
        for route in ROUTES
    ]
    split = deployment(routes=routes)
    split.services_by_name['other'] = ServiceRule(
        name='other', engine=EngineSizes(slots=32, cache_tokens=232_000)
    )
    return split
