"""
Targets that fall silent and go on while no other target can take over.

They guard against answers that are cut off, and requests that fail, because a
target was given up before another one had accepted the request in its place.
"""

import msgspec
import pytest

from cicadahoist.errors import RefusedError
from cicadahoist.outside.engine_messages import AttemptState
from cicadahoist.policy.load import ReportedLoad
from cicadahoist.policy.retries import MAX_ATTEMPTS
from cicadahoist.reasons import Retry
from cicadahoist.standin.faults import Fault
from tests.test_entry.test_claims import count_attempts
from tests.test_entry.test_failures import (
    count_runs,
    find_busy_engine,
    make_expected_text,
)
from tests.test_entry.world import (
    FixedEngine,
    World,
    decode_events,
    join_text,
)

STALL_MS = 200
PROBE_MS = 100
SILENT_MS = 1900
TOKENS = 60
# Stall timeout and time limit of probes, the defaults first.
TIMEOUTS_MS = ((2000, 1000), (500, 1000), (STALL_MS, PROBE_MS))
LONG_PROMPT = 'site 7;inert;12 t ' * 600


def make_world(stall_ms=STALL_MS, probe_ms=PROBE_MS, **options):
    return World(
        entry__stall_timeout=stall_ms, targets__timeout=probe_ms, **options
    )


def begin_stream(world, model='demo-model', **options):
    """Begin a stream of which some events arrive; return it and its engine."""
    answer = world.chat(model, tokens=TOKENS, **options)
    world.net.until(lambda: len(answer.body) > 1000)
    return answer, find_busy_engine(world)


def set_silent(world, *names, is_silent=True):
    for name in names:
        world.net.hosts[f'{name}:80'].is_frozen = is_silent


def be_silent_for(world, duration_ms, *names):
    set_silent(world, *names)
    world.net.advance(duration_ms)
    set_silent(world, *names, is_silent=False)


def list_others(world, engine):
    return [name for name in world.engines if name != engine]


def record_probes(world):
    """Return the list to which the time of each later probe is added."""
    engines = world.entries[0].context.engines
    probe_times_ms = []

    class Recorder:
        def __getattr__(self, name):
            return getattr(engines, name)

        async def fetch_attempt_state(self, target, attempt):
            probe_times_ms.append(world.net.clock.now_ms())
            return await engines.fetch_attempt_state(target, attempt)

    world.entries[0].context.engines = Recorder()
    return probe_times_ms


def assert_whole(answer):
    assert join_text(answer) == make_expected_text(TOKENS)
    assert decode_events(answer)[-1] == '[DONE]'


def assert_no_watcher_is_left(world):
    probe_times_ms = record_probes(world)
    world.net.advance(3000)
    assert not probe_times_ms
    assert not world.entries[0].context.open_requests
    assert not world.entries[0].context.dispatcher.loads.build_view().by_target


@pytest.mark.parametrize('silent_ms', [700, 1200, 1900])
@pytest.mark.parametrize(('stall_ms', 'probe_ms'), TIMEOUTS_MS)
def test_a_stream_waits_for_the_only_target(stall_ms, probe_ms, silent_ms):
    world = make_world(stall_ms, probe_ms, engines=1)
    answer, engine = begin_stream(world)
    be_silent_for(world, silent_ms, engine)
    world.finish(answer)
    assert_whole(answer)
    assert count_attempts(world) == 1
    assert_no_watcher_is_left(world)


@pytest.mark.parametrize('stream', [True, False])
@pytest.mark.parametrize('model', ['demo-model', 'once-model'])
def test_a_request_before_its_head_waits_for_the_only_target(model, stream):
    world = make_world(engines=1)
    set_silent(world, 'engine-0')
    answer = world.chat(model, stream=stream)
    be_silent_for(world, SILENT_MS, 'engine-0')
    world.finish(answer)
    assert answer.status == 200
    assert b'error' not in answer.body
    assert count_attempts(world) == 1


def test_a_stream_waits_while_all_targets_are_silent():
    world = make_world(engines=4)
    answer, _ = begin_stream(world)
    be_silent_for(world, SILENT_MS, *world.engines)
    world.finish(answer)
    assert_whole(answer)
    assert len(world.entries[0].metrics.counted_reasons) <= MAX_ATTEMPTS - 1
    assert_no_watcher_is_left(world)


def test_requests_before_their_heads_wait_while_all_targets_are_silent():
    world = make_world(engines=3)
    set_silent(world, *world.engines)
    answers = [world.chat(tokens=TOKENS) for _ in range(5)]
    be_silent_for(world, SILENT_MS, *world.engines)
    for answer in answers:
        world.finish(answer)
        assert_whole(answer)
    assert_no_watcher_is_left(world)


@pytest.mark.parametrize('status', [404, 429, 503, 500])
def test_a_stream_goes_on_where_the_target_that_takes_over_rejects(status):
    world = make_world()
    answer, engine = begin_stream(world)
    (other,) = list_others(world, engine)
    world.net.add(f'{other}:80', FixedEngine(status))
    be_silent_for(world, SILENT_MS, engine)
    world.finish(answer)
    assert_whole(answer)


def test_a_stream_goes_on_where_the_target_that_takes_over_is_down():
    world = make_world()
    answer, engine = begin_stream(world)
    world.kill(*list_others(world, engine))
    be_silent_for(world, SILENT_MS, engine)
    world.finish(answer)
    assert_whole(answer)


def test_a_stream_goes_on_where_the_other_target_drains():
    world = make_world()
    answer, engine = begin_stream(world)
    loads = world.entries[0].context.dispatcher.loads
    for other in list_others(world, engine):
        loads.set_draining(other, world.net.clock.now_ms(), active=True)
    be_silent_for(world, SILENT_MS, engine)
    world.finish(answer)
    assert_whole(answer)


def test_a_stream_goes_on_where_the_retries_are_used_up():
    world = make_world()
    answer, engine = begin_stream(world)
    dispatcher = world.entries[0].context.dispatcher
    route = world.entries[0].table().routes_by_name['demo-model']
    budget = dispatcher.budgets._get_budget(route, 0)
    while budget.try_spend_retry(world.net.clock.now_ms()):
        continue
    be_silent_for(world, SILENT_MS, engine)
    world.finish(answer)
    assert_whole(answer)
    assert count_attempts(world) == 1


@pytest.mark.parametrize('is_listed', [True, False])
def test_a_stream_goes_on_beside_a_new_table(is_listed):
    world = make_world()
    answer, engine = begin_stream(world)
    set_silent(world, engine)
    rows = world.rows()
    rows.targets = [
        target
        for target in world.targets
        if target.name not in world.engines
        or (target.name == engine and is_listed)
    ]
    world.apply(rows, revision=2)
    world.net.advance(SILENT_MS)
    set_silent(world, engine, is_silent=False)
    world.finish(answer)
    assert_whole(answer)


@pytest.mark.parametrize('headers', [{}, {'Idempotency-Key': 'ask-1'}])
@pytest.mark.parametrize('stream', [True, False])
def test_an_unrepeatable_request_waits_and_runs_once(stream, headers):
    world = make_world()
    answer = world.chat(
        'once-model', tokens=TOKENS, stream=stream, headers=headers
    )
    world.net.advance(100)
    be_silent_for(world, SILENT_MS, find_busy_engine(world))
    world.finish(answer)
    assert answer.status == 200
    assert b'error' not in answer.body
    assert count_attempts(world) == 1
    assert_no_watcher_is_left(world)


@pytest.mark.parametrize('headers', [{}, {'Idempotency-Key': 'filing-1'}])
@pytest.mark.parametrize('path', ['lookup', 'filing'])
def test_a_service_call_waits_for_a_silent_target(path, headers):
    world = make_world(services=1)
    set_silent(world, 'service-0')
    answer = world.send(
        'POST', f'/services/{path}/x', b'return', headers=headers
    )
    be_silent_for(world, SILENT_MS, 'service-0')
    world.finish(answer)
    assert answer.status == 200
    assert count_runs(world) == 1


def test_a_prefill_waits_where_no_target_can_take_the_request():
    world = make_world()
    loads = world.entries[0].context.dispatcher.loads
    for name, role in (('engine-0', 'prefill'), ('engine-1', 'decode')):
        loads.apply_report(name, ReportedLoad(age_ms=0, role=role), 0)
    set_silent(world, 'engine-0')
    answer = world.chat(text=LONG_PROMPT)
    loads.set_draining('engine-1', world.net.clock.now_ms(), active=True)
    world.net.advance(SILENT_MS)
    loads.set_draining('engine-1', world.net.clock.now_ms(), active=False)
    set_silent(world, 'engine-0', is_silent=False)
    world.finish(answer)
    assert decode_events(answer)[-1] == '[DONE]'


# Guards against a probe that is answered before its request has been read.
@pytest.mark.parametrize('model', ['demo-model', 'once-model'])
def test_an_attempt_that_one_probe_does_not_find_is_kept(model):
    world = make_world(engines=1)
    engines = world.entries[0].context.engines
    states = [AttemptState('absent'), AttemptState('queued')]

    class Overtaken:
        def __getattr__(self, name):
            return getattr(engines, name)

        async def fetch_attempt_state(self, target, attempt):
            return states.pop(0)

    world.entries[0].context.engines = Overtaken()
    set_silent(world, 'engine-0')
    answer = world.chat(model, tokens=TOKENS)
    be_silent_for(world, 2 * STALL_MS + PROBE_MS, 'engine-0')
    world.finish(answer)
    assert answer.status == 200
    assert decode_events(answer)[-1] == '[DONE]'
    assert count_attempts(world) == 1


# Guards against a stalled stream that nobody watches any longer.
def test_a_stream_is_taken_over_after_a_probe_that_cannot_be_decoded():
    world = make_world()
    answer, engine = begin_stream(world)
    engines = world.entries[0].context.engines
    errors = [msgspec.DecodeError('not JSON')]

    class Garbled:
        def __getattr__(self, name):
            return getattr(engines, name)

        async def fetch_attempt_state(self, target, attempt):
            if errors:
                raise errors.pop()
            return await engines.fetch_attempt_state(target, attempt)

    world.entries[0].context.engines = Garbled()
    set_silent(world, engine)
    world.finish(answer)
    assert_whole(answer)


# Guards against a failed probe that counts for more than arriving data.
def test_a_stream_goes_on_when_only_its_probes_fail():
    world = make_world(engines=1)
    answer, engine = begin_stream(world)
    engines = world.entries[0].context.engines

    class Unprobed:
        def __getattr__(self, name):
            return getattr(engines, name)

        async def fetch_attempt_state(self, target, attempt):
            set_silent(world, engine, is_silent=False)
            await world.net.clock.sleep(PROBE_MS)
            raise RefusedError('HTTP 500', remedy='read the log')

    world.entries[0].context.engines = Unprobed()
    set_silent(world, engine)
    world.finish(answer)
    assert_whole(answer)
    assert count_attempts(world) == 1


def test_a_stream_is_taken_over_by_the_only_sound_target():
    world = make_world(engines=3)
    answer, engine = begin_stream(world)
    sound = list_others(world, engine)[0]
    set_silent(world, *(name for name in world.engines if name != sound))
    world.finish(answer)
    assert_whole(answer)
    assert_no_watcher_is_left(world)


def test_a_request_before_its_head_is_taken_over_by_the_only_sound_target():
    world = make_world(engines=3)
    set_silent(world, 'engine-0', 'engine-1')
    answers = [world.chat(tokens=TOKENS) for _ in range(3)]
    for answer in answers:
        world.finish(answer)
        assert_whole(answer)
    assert_no_watcher_is_left(world)


# Guards against a takeover that ends an attempt which has gone on meanwhile.
def test_a_stream_that_goes_on_before_the_takeover_is_accepted_is_kept():
    world = make_world()
    answer, engine = begin_stream(world)
    (other,) = list_others(world, engine)
    slow = FixedEngine(0)
    world.net.add(f'{other}:80', slow)
    be_silent_for(world, SILENT_MS, engine)
    world.finish(answer)
    assert_whole(answer)
    assert '/v1/chat/completions' in [path.decode() for path in slow.seen_paths]
    assert world.entries[0].metrics.counted_reasons == [Retry.target_frozen]
    assert_no_watcher_is_left(world)


def test_the_deadline_ends_a_request_on_a_target_that_stays_silent():
    world = make_world()
    world.apply(world.rows(deadline_ms=3000))
    answer, _ = begin_stream(world)
    set_silent(world, *world.engines)
    world.net.advance(3000)
    assert answer.is_over
    assert decode_events(answer)[-1]['error']['code'] == 'timed-out'
    assert_no_watcher_is_left(world)


def test_all_attempts_end_when_the_caller_leaves_midway():
    world = make_world(engines=3)
    answer, _ = begin_stream(world)
    set_silent(world, *world.engines)
    world.net.advance(1000)
    answer.leave()
    world.net.advance(100)
    assert_no_watcher_is_left(world)


def test_a_target_that_closes_its_silent_attempt_is_given_up():
    world = make_world(engines=1)
    answer, engine = begin_stream(world, model='once-model')
    world.engines[engine].faults.apply(Fault(kind='stall'))
    world.net.advance(1000)
    assert not answer.is_over
    world.kill(engine)
    world.net.advance(100)
    assert decode_events(answer)[-1]['error']['outcome'] == 'unknown'
