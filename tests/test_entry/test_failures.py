"""
Failures of targets while requests run on them.

Targets crash, freeze, stall or send wrong frames. These tests guard against
answers with lost or repeated tokens, against a second run of a request that
may not be repeated, and against a wrong outcome in a refusal.
"""

import pytest

from cicadahoist.reasons import Refusal, Retry
from cicadahoist.standin.faults import Fault
from tests.test_entry.world import (
    FixedEngine,
    World,
    decode_error,
    decode_events,
    join_text,
)


def find_busy_engine(world):
    """Return the name of the engine that runs a request."""
    return next(
        name
        for name, server in world.engines.items()
        if any(
            server._engine.read_state(attempt).state == 'running'
            for attempt in server.seen().attempts
        )
    )


def make_expected_text(tokens):
    world = World()
    return join_text(world.finish(world.chat(tokens=tokens)))


def test_a_crash_midway_is_resumed_without_loss_or_repetition():
    world = World()
    answer = world.chat(tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    world.kill(find_busy_engine(world))
    world.finish(answer)
    assert join_text(answer) == make_expected_text(60)
    assert decode_events(answer)[-1] == '[DONE]'
    assert world.entries[0].metrics.counted_reasons == [Retry.stream_broken]
    (count,) = world.entries[0].usage
    assert count.output_tokens == 60


def test_stream_is_resumed_elsewhere_when_its_engine_freezes():
    world = World()
    answer = world.chat(tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    world.net.hosts[f'{find_busy_engine(world)}:80'].is_frozen = True
    world.finish(answer)
    assert join_text(answer) == make_expected_text(60)
    assert world.entries[0].metrics.counted_reasons == [Retry.target_frozen]


def test_a_frozen_engine_that_thaws_adds_nothing():
    world = World()
    answer = world.chat(tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    frozen = world.net.hosts[f'{find_busy_engine(world)}:80']
    frozen.is_frozen = True
    world.net.until(lambda: world.entries[0].metrics.counted_reasons)
    frozen.is_frozen = False
    world.finish(answer)
    world.net.advance(1000)
    assert join_text(answer) == make_expected_text(60)


def test_attempt_on_a_slow_working_engine_is_not_abandoned():
    world = World()
    for server in world.engines.values():
        server.faults.apply(Fault(kind='stall'))
    answer = world.chat(tokens=5)
    world.net.advance(7000)
    assert not answer.is_over
    for server in world.engines.values():
        server.faults.apply(Fault(kind='none'))
    world.finish(answer)
    assert decode_events(answer)[-1] == '[DONE]'
    assert not world.entries[0].metrics.counted_reasons


def test_a_cut_stream_is_never_passed_off_as_whole():
    world = World(engines=1)
    world.engines['engine-0'].faults.apply(Fault(kind='cut', count=7))
    answer = world.finish(world.chat(tokens=60))
    last = decode_events(answer)[-1]
    assert last['error']['code'] == 'target-failed'
    assert last['error']['outcome'] == 'failed'


@pytest.mark.parametrize(
    'mark', ['late-frame', 'crossed-frame', 'repeat-frame', 'skip-frame']
)
def test_frames_that_do_not_belong_never_reach_the_caller(mark):
    world = World(engines=3)
    world.engines['engine-0'].faults.apply(Fault(kind='frames', mark=mark))
    answers = [world.finish(world.chat(tokens=30)) for _ in range(6)]
    assert [join_text(answer) for answer in answers] == [
        make_expected_text(30)
    ] * 6
    assert all(decode_events(answer)[-1] == '[DONE]' for answer in answers)


def test_unrepeatable_stream_is_not_resumed():
    world = World()
    answer = world.chat('once-model', tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    world.kill(find_busy_engine(world))
    world.finish(answer)
    assert decode_events(answer)[-1]['error']['outcome'] == 'unknown'
    attempts = [server.seen().attempts for server in world.engines.values()]
    assert sum(len(seen) for seen in attempts) == 1


def test_with_all_targets_down_not_run_is_said_at_once():
    world = World()
    for name in world.engines:
        world.kill(name)
    answer = world.chat()
    world.net.advance(100)
    assert answer.is_over
    assert decode_error(answer)['code'] == 'no-target'
    assert decode_error(answer)['outcome'] == 'not-run'
    assert int(answer.headers.getRawHeaders('Retry-After')[0]) > 0


def test_internal_error_is_typed_and_has_unknown_outcome():
    world = World()

    world.entries[0].context.engines = None
    answer = world.finish(world.chat(stream=False))
    assert answer.status == 500
    assert decode_error(answer)['code'] == 'internal-error'
    assert decode_error(answer)['outcome'] == 'unknown'


# Guards against a stream that ends with the refusal of its second engine, and
# so with neither an end nor an error.
def test_a_stream_whose_resumption_is_refused_ends_with_an_error():
    world = World()
    answer = world.chat(tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    engine = find_busy_engine(world)
    for other in world.engines:
        if other != engine:
            world.net.add(f'{other}:80', FixedEngine(400))
    world.kill(engine)
    world.finish(answer)
    assert decode_events(answer)[-1]['error']['code'] == 'target-failed'


def test_answer_broken_off_by_a_failure_is_not_billed():
    world = World(engines=1)
    world.engines['engine-0'].faults.apply(Fault(kind='cut', count=7))
    world.finish(world.chat(tokens=60))
    assert not world.entries[0].usage


# Issue 21: the end of an answer's framing was taken for that of the stream.
def test_a_stream_that_ends_inside_an_event_is_resumed():
    world = World()
    world.engines['engine-0'].faults.apply(Fault(kind='tear', count=7))
    answers = [world.finish(world.chat(tokens=60)) for _ in range(4)]
    for answer in answers:
        assert join_text(answer) == make_expected_text(60)
        assert decode_events(answer)[-1] == '[DONE]'
    assert Retry.stream_broken in world.entries[0].metrics.counted_reasons


def test_a_stream_that_ends_inside_an_event_is_not_billed():
    world = World(engines=1)
    world.engines['engine-0'].faults.apply(Fault(kind='tear', count=7))
    answer = world.finish(world.chat(tokens=60))
    assert '[DONE]' not in decode_events(answer)
    assert not world.entries[0].usage


def test_the_deadline_gives_the_final_answer_at_once():
    world = World(engines=1)
    world.apply(world.rows(deadline_ms=3000))
    world.engines['engine-0'].faults.apply(Fault(kind='stall'))
    answer = world.chat(stream=False)
    world.net.advance(3100)
    assert answer.is_over
    assert decode_error(answer)['code'] == 'timed-out'
    assert decode_error(answer)['outcome'] == 'unknown'


def test_no_call_is_repeated_after_the_deadline_when_its_timer_is_late():
    """Guard against work that goes on after callers have left (GONE)."""
    world = World()
    world.apply(world.rows(deadline_ms=3000))
    for service in world.services.values():
        service.set_fault(Fault(kind='die-after'))
    answer = world.send('GET', '/services/lookup/1')
    world.net.be_busy(3000)
    world.finish(answer)
    assert decode_error(answer)['code'] == 'timed-out'
    assert count_runs(world) == 1


def test_repeatable_calls_are_retried_on_another_target():
    world = World()
    world.services['service-0'].set_fault(Fault(kind='lose-answer'))
    answers = [
        world.finish(world.send('GET', f'/services/lookup/{number}'))
        for number in range(4)
    ]
    assert [answer.status for answer in answers] == [200] * 4
    assert Retry.stream_broken in world.entries[0].metrics.counted_reasons


@pytest.mark.parametrize('kind', ['lose-answer', 'die-after'])
def test_unrepeatable_call_whose_answer_is_lost_is_not_retried(kind):
    world = World()
    for service in world.services.values():
        service.set_fault(Fault(kind=kind))
    answer = world.finish(world.send('POST', '/services/filing/f', b'return'))
    assert decode_error(answer)['outcome'] == 'unknown'
    assert decode_error(answer)['code'] == Refusal.target_lost.code
    assert count_runs(world) == 1


def count_runs(world):
    return sum(
        sum(service.seen().runs_by_body.values())
        for service in world.services.values()
    )
