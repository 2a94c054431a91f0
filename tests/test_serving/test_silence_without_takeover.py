"""
Tests of targets that fall silent and go on while no other can take over.

They guard against answers that are cut off, and requests that fail, because a
target was given up before another one was found that goes on in its place.
"""

import pytest

from cicadahoist.metrics import CUT_BESIDE_CHANGE, CUT_OTHERWISE
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    World,
    deployment,
    prompt_headers,
    target,
)

STEP_MS = 10
# A sound target may be silent for a second or so.
SILENCES_MS = (700, 1200, 1900)
HANDLE_BODY = b'{"kv-handle": "h7", "tokens": 9000, "version": 1}'


def make_world(*engines):
    world = World()
    world.add(*engines)
    return world


def advance_in_steps(world, span_ms):
    """Advance the clock in small steps, as for a process that is not paused."""
    for _ in range(span_ms // STEP_MS):
        world.clock.advance(STEP_MS)


def begin_ask(world):
    """Begin a stream that may be resumed, of which two events arrive."""
    caller = world.send_request(
        b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000
    )
    world.sent[0].begin_stream()
    world.sent[0].send_events(1, 2)
    return caller


def end_ask(run):
    run.send_events(3)
    run.end_stream()


def assert_whole(world, caller):
    assert caller.status == 200
    assert caller.body.count(b'data: t') == 3
    assert caller.body.endswith(b'0\r\n\r\n')
    assert world.count(CUT_BESIDE_CHANGE) + world.count(CUT_OTHERWISE) == 0


@pytest.mark.parametrize('silent_ms', SILENCES_MS)
def test_a_stream_waits_for_the_only_engine(silent_ms):
    world = make_world(target('d1', 'llm', 'decode'))
    caller = begin_ask(world)
    advance_in_steps(world, silent_ms)
    end_ask(world.sent[0])
    assert_whole(world, caller)


@pytest.mark.parametrize('silent_ms', SILENCES_MS)
def test_a_stream_waits_beside_a_new_configuration(silent_ms):
    world = make_world(target('d1', 'llm', 'decode'))
    caller = begin_ask(world)
    advance_in_steps(world, silent_ms // 2)
    world.context.apply_deployment(deployment(version=2))
    advance_in_steps(world, silent_ms // 2)
    end_ask(world.sent[0])
    assert_whole(world, caller)


@pytest.mark.parametrize('silent_ms', SILENCES_MS)
def test_a_stream_waits_for_the_only_engine_of_its_version(silent_ms):
    world = make_world(
        target('d1', 'llm', 'decode', version='v1'),
    )
    caller = begin_ask(world)
    world.add(target('d2', 'llm', 'decode', version='v2'))
    advance_in_steps(world, silent_ms)
    end_ask(world.sent[0])
    assert_whole(world, caller)


@pytest.mark.parametrize('silent_ms', SILENCES_MS)
def test_a_stream_waits_while_all_engines_are_silent(silent_ms):
    world = make_world(
        target('d1', 'llm', 'decode'), target('d2', 'llm', 'decode')
    )
    callers = []
    while len({run.target for run in world.sent}) < 2:
        callers.append(
            world.send_request(
                b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000
            )
        )
    runs = list(world.sent)
    for run in runs:
        run.begin_stream()
        run.send_events(1, 2)
    advance_in_steps(world, silent_ms)
    assert len(world.sent) == len(runs)
    for run in runs:
        end_ask(run)
    for caller in callers:
        assert_whole(world, caller)


@pytest.mark.parametrize('silent_ms', SILENCES_MS)
def test_a_stream_goes_on_where_the_engine_that_takes_over_rejects(silent_ms):
    world = make_world(
        target('d1', 'llm', 'decode'), target('d2', 'llm', 'decode')
    )
    caller = begin_ask(world)
    for _ in range(silent_ms // STEP_MS):
        world.clock.advance(STEP_MS)
        for run in world.sent[1:]:
            if not run.is_closed and run.connection.is_open:
                run.reject()
    end_ask(world.sent[0])
    assert_whole(world, caller)


@pytest.mark.parametrize('silent_ms', SILENCES_MS)
def test_a_stream_goes_on_where_the_engine_that_takes_over_is_away(silent_ms):
    world = make_world(
        target('d1', 'llm', 'decode'), target('d2', 'llm', 'decode')
    )
    caller = begin_ask(world)
    other = {'d1': 'd2', 'd2': 'd1'}[world.sent[0].target]
    world.connections.refusing_targets.add(other)
    advance_in_steps(world, silent_ms)
    end_ask(world.sent[0])
    assert_whole(world, caller)


@pytest.mark.parametrize('silent_ms', SILENCES_MS)
def test_a_lookup_waits_for_the_only_target(silent_ms):
    world = make_world(target('t1'))
    caller = world.send_request(b'/lookup/x')
    advance_in_steps(world, silent_ms)
    assert not caller.received
    world.sent[0].answer(body=b'found')
    assert (caller.status, caller.body) == (200, b'found')


@pytest.mark.parametrize('silent_ms', SILENCES_MS)
def test_a_lookup_waits_where_the_target_that_takes_over_rejects(silent_ms):
    world = make_world(target('t1'), target('t2'))
    caller = world.send_request(b'/lookup/x')
    for _ in range((silent_ms - STEP_MS) // STEP_MS):
        world.clock.advance(STEP_MS)
        for sent in world.sent[1:]:
            if sent.request and not sent.connection.is_reused:
                sent.reject()
    world.sent[0].answer(body=b'found')
    assert (caller.status, caller.body) == (200, b'found')


@pytest.mark.parametrize('silent_ms', SILENCES_MS)
def test_a_prefill_waits_for_the_only_engines(silent_ms):
    world = make_world(
        target('p1', 'llm', 'prefill'), target('d1', 'llm', 'decode')
    )
    caller = world.send_request(b'/ask/x', *prompt_headers(), patience=15_000)
    world.connections.refusing_targets.add('d1')
    advance_in_steps(world, silent_ms)
    world.connections.refusing_targets.clear()
    assert not caller.received
    world.sent[0].answer(body=HANDLE_BODY)
    assert world.sent[1].target == 'd1'
    assert world.sent[1].header(b'X-Cicadahoist-Kv-Source') is not None
