import pytest

from cicadahoist.reasons import Refusal, Retry
from cicadahoist.standin.faults import Fault
from tests.test_entry.world import World, error_of, events, text_of


def busy(world):
    """Return the name of the engine that works on a request."""
    return next(
        name
        for name, server in world.engines.items()
        if any(
            server._engine.state(attempt).state == 'running'
            for attempt in server.seen().attempts
        )
    )


def expected_text(tokens):
    world = World()
    return text_of(world.finish(world.chat(tokens=tokens)))


def test_a_crash_midway_is_resumed_without_loss_or_repetition():
    world = World()
    answer = world.chat(tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    world.kill(busy(world))
    world.finish(answer)
    assert text_of(answer) == expected_text(60)
    assert events(answer)[-1] == '[DONE]'
    assert world.entries[0].metrics.counted == [Retry.stream_broken]
    (count,) = world.entries[0].usage
    assert count.output_tokens == 60


def test_a_frozen_engine_is_left_and_the_stream_goes_on():
    world = World()
    answer = world.chat(tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    world.net.hosts[f'{busy(world)}:80'].is_frozen = True
    world.finish(answer)
    assert text_of(answer) == expected_text(60)
    assert world.entries[0].metrics.counted == [Retry.target_frozen]


def test_a_frozen_engine_that_thaws_adds_nothing():
    world = World()
    answer = world.chat(tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    frozen = world.net.hosts[f'{busy(world)}:80']
    frozen.is_frozen = True
    world.net.until(lambda: world.entries[0].metrics.counted)
    frozen.is_frozen = False
    world.finish(answer)
    world.net.advance(1000)
    assert text_of(answer) == expected_text(60)


def test_a_slow_engine_that_still_works_is_not_left():
    world = World()
    for server in world.engines.values():
        server.faults.apply(Fault(kind='stall'))
    answer = world.chat(tokens=5)
    world.net.advance(7000)
    assert not answer.is_over
    for server in world.engines.values():
        server.faults.apply(Fault(kind='none'))
    world.finish(answer)
    assert events(answer)[-1] == '[DONE]'
    assert not world.entries[0].metrics.counted


def test_a_cut_stream_is_never_passed_off_as_whole():
    world = World(engines=1)
    world.engines['engine-0'].faults.apply(Fault(kind='cut', count=7))
    answer = world.finish(world.chat(tokens=60))
    last = events(answer)[-1]
    assert last['error']['code'] == 'target-failed'
    assert last['error']['outcome'] == 'failed'


@pytest.mark.parametrize(
    'mark', ['late-frame', 'crossed-frame', 'repeat-frame', 'skip-frame']
)
def test_frames_that_do_not_belong_never_reach_the_caller(mark):
    world = World(engines=3)
    world.engines['engine-0'].faults.apply(Fault(kind='frames', mark=mark))
    answers = [world.finish(world.chat(tokens=30)) for _ in range(6)]
    assert [text_of(answer) for answer in answers] == [expected_text(30)] * 6
    assert all(events(answer)[-1] == '[DONE]' for answer in answers)


def test_a_stream_that_may_not_repeat_is_not_resumed():
    world = World()
    answer = world.chat('once-model', tokens=60)
    world.net.until(lambda: len(answer.body) > 3000)
    world.kill(busy(world))
    world.finish(answer)
    assert events(answer)[-1]['error']['outcome'] == 'unknown'
    attempts = [server.seen().attempts for server in world.engines.values()]
    assert sum(len(seen) for seen in attempts) == 1


def test_with_all_targets_down_not_run_is_said_at_once():
    world = World()
    for name in world.engines:
        world.kill(name)
    answer = world.chat()
    world.net.advance(100)
    assert answer.is_over
    assert error_of(answer)['code'] == 'no-target'
    assert error_of(answer)['outcome'] == 'not-run'
    assert int(answer.headers.getRawHeaders('Retry-After')[0]) > 0


def test_an_error_of_the_entry_is_typed_and_not_called_not_run():
    world = World()

    world.entries[0].context.engines = None
    answer = world.finish(world.chat(stream=False))
    assert answer.status == 500
    assert error_of(answer)['code'] == 'internal-error'
    assert error_of(answer)['outcome'] == 'unknown'


def test_an_answer_that_breaks_off_here_is_not_billed():
    world = World(engines=1)
    world.engines['engine-0'].faults.apply(Fault(kind='cut', count=7))
    world.finish(world.chat(tokens=60))
    assert not world.entries[0].usage


def test_the_deadline_gives_the_final_answer_at_once():
    world = World(engines=1)
    world.apply(world.rows(deadline_ms=3000))
    world.engines['engine-0'].faults.apply(Fault(kind='stall'))
    answer = world.chat(stream=False)
    world.net.advance(3100)
    assert answer.is_over
    assert error_of(answer)['code'] == 'timed-out'
    assert error_of(answer)['outcome'] == 'unknown'


def test_lookups_are_repeated_on_another_target():
    world = World()
    world.services['service-0'].set_fault(Fault(kind='lose-answer'))
    answers = [
        world.finish(world.send('GET', f'/services/lookup/{number}'))
        for number in range(4)
    ]
    assert [answer.status for answer in answers] == [200] * 4
    assert Retry.stream_broken in world.entries[0].metrics.counted


@pytest.mark.parametrize('kind', ['lose-answer', 'die-after'])
def test_a_filing_whose_answer_is_lost_is_not_repeated(kind):
    world = World()
    for service in world.services.values():
        service.set_fault(Fault(kind=kind))
    answer = world.finish(world.send('POST', '/services/filing/f', b'return'))
    assert error_of(answer)['outcome'] == 'unknown'
    assert error_of(answer)['code'] == Refusal.target_lost.code
    assert runs(world) == 1


def runs(world):
    return sum(
        sum(service.seen().runs_by_body.values())
        for service in world.services.values()
    )
