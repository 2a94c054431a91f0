"""Prompts on engines for prefill, output on others."""

import pytest

from cicadahoist.policy.load import ReportedLoad
from cicadahoist.reasons import Retry
from cicadahoist.standin.faults import Fault
from tests.test_entry.world import World, events, text_of

LONG = 'site 7;inert;12 t ' * 600
PREFILL, OUTPUT, SPARE = 'engine-0', 'engine-1', 'engine-2'


def split_world(**settings) -> World:
    world = World(engines=3, **settings)
    loads = world.entries[0].context.dispatcher.loads
    for name in world.engines:
        role = 'prefill' if name == PREFILL else 'decode'
        report = ReportedLoad(age_ms=0, role=role)
        loads.apply_report(name, report, world.net.clock.now_ms())
    return world


def prefilled(world) -> dict[str, int]:
    return {
        name: server._engine.prefilled_tokens
        for name, server in world.engines.items()
    }


def whole_text(text, tokens):
    world = World(engines=1)
    return text_of(world.finish(world.chat(text=text, tokens=tokens)))


def test_a_long_prompt_is_processed_once_on_the_engine_for_prefill():
    world = split_world()
    answer = world.finish(world.chat(text=LONG, tokens=20))
    assert text_of(answer) == whole_text(LONG, 20)
    done = prefilled(world)
    assert done[PREFILL] > 2000
    assert done[OUTPUT] + done[SPARE] < 100
    (count,) = world.entries[0].usage
    assert count.output_tokens == 20


def test_whole_answers_are_handed_over_as_well():
    world = split_world()
    answer = world.finish(world.chat(text=LONG, tokens=20, stream=False))
    assert answer.status == 200
    assert prefilled(world)[OUTPUT] + prefilled(world)[SPARE] < 100


@pytest.mark.parametrize(
    ('text', 'model'), [('short', 'demo-model'), (LONG, 'once-model')]
)
def test_short_and_unrepeatable_requests_run_on_one_engine(text, model):
    world = split_world()
    answer = world.finish(world.chat(model, text=text, tokens=5))
    assert events(answer)[-1] == '[DONE]'
    assert not world.engines[PREFILL].seen().attempts


def test_without_other_engines_those_for_prefill_do_all():
    world = split_world()
    world.kill(OUTPUT)
    world.kill(SPARE)
    answer = world.finish(world.chat(text='short', tokens=5))
    assert events(answer)[-1] == '[DONE]'


def test_a_prefill_that_breaks_off_costs_time_only():
    world = split_world()
    world.engines[PREFILL].faults.apply(Fault(kind='stall'))
    answer = world.chat(text=LONG, tokens=20)
    world.net.advance(100)
    world.kill(PREFILL)
    world.finish(answer)
    assert text_of(answer) == whole_text(LONG, 20)
    assert Retry.handoff_failed in world.entries[0].metrics.counted


def test_an_engine_that_dies_after_the_handoff_is_replaced():
    world = split_world()
    answer = world.chat(text=LONG, tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    for name in (OUTPUT, SPARE):
        if world.engines[name].seen().attempts:
            world.kill(name)
            break
    world.finish(answer)
    assert text_of(answer) == whole_text(LONG, 60)


def test_the_source_of_the_cache_may_be_gone():
    world = split_world()
    answer = world.chat(text=LONG, tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    world.kill(PREFILL)
    for name in (OUTPUT, SPARE):
        if world.engines[name].seen().attempts:
            world.kill(name)
            break
    world.finish(answer)
    assert text_of(answer) == whole_text(LONG, 60)
    assert Retry.handoff_failed in world.entries[0].metrics.counted


def test_a_setting_turns_it_off():
    world = split_world(policy__handoff_tokens=0)
    world.finish(world.chat(text=LONG, tokens=5))
    assert not world.engines[PREFILL].seen().attempts
