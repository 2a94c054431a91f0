"""
Handoffs from a prefill engine to a decode engine.

Either engine may fail before, during or after the handoff. These tests guard
against answers that fail or differ because of it.
"""

import pytest

from cicadahoist.policy.load import ReportedLoad
from cicadahoist.reasons import Retry
from cicadahoist.standin.faults import Fault
from tests.test_entry.world import (
    World,
    decode_error,
    decode_events,
    join_text,
)

LONG_PROMPT = 'site 7;inert;12 t ' * 600
PREFILL, DECODE, SPARE = 'engine-0', 'engine-1', 'engine-2'


def make_split_world(**settings) -> World:
    world = World(engines=3, **settings)
    loads = world.entries[0].context.dispatcher.loads
    for name in world.engines:
        role = 'prefill' if name == PREFILL else 'decode'
        report = ReportedLoad(age_ms=0, role=role)
        loads.apply_report(name, report, world.net.clock.now_ms())
    return world


def read_prefilled_tokens(world) -> dict[str, int]:
    return {
        name: server._engine.prefilled_tokens
        for name, server in world.engines.items()
    }


def make_expected_text(text, tokens):
    world = World(engines=1)
    return join_text(world.finish(world.chat(text=text, tokens=tokens)))


def test_long_prompt_is_processed_only_on_the_prefill_engine():
    world = make_split_world()
    answer = world.finish(world.chat(text=LONG_PROMPT, tokens=20))
    assert join_text(answer) == make_expected_text(LONG_PROMPT, 20)
    prefilled_tokens = read_prefilled_tokens(world)
    assert prefilled_tokens[PREFILL] > 2000
    assert prefilled_tokens[DECODE] + prefilled_tokens[SPARE] < 100
    (count,) = world.entries[0].usage
    assert count.output_tokens == 20


def test_unstreamed_answers_use_the_handoff_too():
    world = make_split_world()
    answer = world.finish(world.chat(text=LONG_PROMPT, tokens=20, stream=False))
    assert answer.status == 200
    assert (
        read_prefilled_tokens(world)[DECODE]
        + read_prefilled_tokens(world)[SPARE]
        < 100
    )


@pytest.mark.parametrize(
    ('text', 'model'), [('short', 'demo-model'), (LONG_PROMPT, 'once-model')]
)
def test_short_or_unrepeatable_requests_have_no_handoff(text, model):
    world = make_split_world()
    answer = world.finish(world.chat(model, text=text, tokens=5))
    assert decode_events(answer)[-1] == '[DONE]'
    assert not world.engines[PREFILL].seen().attempts


def test_prefill_engine_runs_requests_when_no_other_is_up():
    world = make_split_world()
    world.kill(DECODE)
    world.kill(SPARE)
    answer = world.finish(world.chat(text='short', tokens=5))
    assert decode_events(answer)[-1] == '[DONE]'


def test_broken_prefill_does_not_fail_the_request():
    world = make_split_world()
    world.engines[PREFILL].faults.apply(Fault(kind='stall'))
    answer = world.chat(text=LONG_PROMPT, tokens=20)
    world.net.advance(100)
    world.kill(PREFILL)
    world.finish(answer)
    assert join_text(answer) == make_expected_text(LONG_PROMPT, 20)
    assert Retry.handoff_failed in world.entries[0].metrics.counted_reasons


def test_decode_engine_that_dies_after_the_handoff_is_replaced():
    world = make_split_world()
    answer = world.chat(text=LONG_PROMPT, tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    for name in (DECODE, SPARE):
        if world.engines[name].seen().attempts:
            world.kill(name)
            break
    world.finish(answer)
    assert join_text(answer) == make_expected_text(LONG_PROMPT, 60)


def test_stream_is_resumed_without_the_source_of_the_cache():
    world = make_split_world()
    answer = world.chat(text=LONG_PROMPT, tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    world.kill(PREFILL)
    for name in (DECODE, SPARE):
        if world.engines[name].seen().attempts:
            world.kill(name)
            break
    world.finish(answer)
    assert join_text(answer) == make_expected_text(LONG_PROMPT, 60)
    assert Retry.handoff_failed in world.entries[0].metrics.counted_reasons


# Guards against a deadline that is overlooked during a handoff.
def test_the_deadline_ends_a_request_whose_cache_is_being_imported():
    world = make_split_world(targets__timeout=5000)
    world.apply(world.rows(deadline_ms=2000))
    for name in (DECODE, SPARE):
        world.net.hosts[f'{name}:80'].is_frozen = True
    answer = world.chat(text=LONG_PROMPT)
    world.net.advance(2010)
    assert read_prefilled_tokens(world)[PREFILL] > 2000
    assert decode_error(answer)['code'] == 'timed-out'


def test_handoff_is_disabled_by_a_zero_threshold():
    world = make_split_world(policy__handoff_tokens=0)
    world.finish(world.chat(text=LONG_PROMPT, tokens=5))
    assert not world.engines[PREFILL].seen().attempts
