"""
Tests of streams that callers take up after all instances were killed at once.

They guard against streams that hold events of two software versions (issue 35,
ORDER), and against a store that each instance of a large fleet calls.
"""

import pytest

from cicadahoist.clock import Clock
from cicadahoist.serving.version_history import HISTORY_KIND
from tests.test_serving.streams import send_ask, take_up
from tests.test_serving.version_fleet import (
    PausedObjects,
    VersionFleet,
    engines,
    has_event,
    version_of,
)

CALLS_BOUND = 10
BOTH = ('a', 'b')


def start(objects=None, **options):
    fleet = VersionFleet(objects or PausedObjects(), **options)
    fleet.settle()
    fleet.objects.calls.clear()
    return fleet


def assert_taken_up_soundly(fleet, first):
    """A stream goes on at its version, or is refused as not run."""
    caller, versions = fleet.take_up(first.attempt_id)
    assert set(versions) <= {version_of(first)}
    if not versions:
        assert caller.status == 503
        assert caller.header(b'Retry-After')


def read_record(objects):
    return objects.kinds[HISTORY_KIND]['used'].spec


# What the store does when the old version's engines are replaced: nothing yet,
# the read or the write has not arrived, has not been answered, or was answered.
STEPS = {
    'not-read': ({'page'}, set()),
    'read': (set(), {'page'}),
    'not-written': ({'write'}, set()),
    'written': (set(), {'write'}),
    'answered': (set(), set()),
}


@pytest.mark.parametrize('left', ['a', 'b', 'ab'])
@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('has_old_version', [False, True])
def test_a_kill_of_all_at_any_step_joins_no_versions(
    step, left, has_old_version
):
    fleet = start(listed=engines('a'), count=3)
    before, after = STEPS[step]
    fleet.objects.pauses_before |= before
    fleet.objects.pauses_after |= after
    fleet.list_engines(engines(*('ab' if has_old_version else 'b')))
    fleet.settle()
    begun = [fleet.begin(number) for number in (0, 1, 2) for _ in range(4)]
    restarted = fleet.restart(*left)
    for caller, first in begun:
        if has_event(caller):
            assert_taken_up_soundly(restarted, first)
    fleet.objects.release()
    for caller, first in begun:
        if has_event(caller):
            assert_taken_up_soundly(restarted, first)


def test_no_stream_begins_at_a_version_before_it_is_recorded():
    fleet = start(listed=engines('a'))
    fleet.objects.pauses_before.add('write')
    fleet.list_engines(engines(*BOTH))
    fleet.settle()
    for _ in range(12):
        _, first = fleet.begin()
        assert version_of(first) == 'v1'
    fleet.objects.release()
    assert {version_of(fleet.begin()[1]) for _ in range(24)} == {'v1', 'v2'}


def test_a_request_waits_for_the_record_within_its_objective():
    fleet = start(listed=engines('a'))
    fleet.objects.pauses_before.add('write')
    fleet.list_engines(engines('b'))
    fleet.settle()
    served, attempt = fleet.begin()
    assert attempt is None
    fleet.clock.advance(100)
    fleet.objects.release()
    assert len(fleet.instances[0].world.sent) == 1
    assert served.status is None


def test_a_request_is_refused_as_not_run_beyond_its_objective():
    fleet = start(listed=engines('a'))
    fleet.objects.pauses_before.add('write')
    fleet.list_engines(engines('b'))
    caller, _ = fleet.begin()
    fleet.clock.advance(151)
    assert caller.status == 503
    assert caller.header(b'Retry-After')
    assert not fleet.instances[0].world.sent


# After a kill, the holder of the duties wrote nothing for the rest of its term.
def test_a_second_kill_right_after_the_start_joins_no_versions():
    fleet = start(listed=engines('a'))
    fleet.begin()
    second = fleet.restart('b')
    caller, first = second.begin()
    second.clock.advance(100)
    assert has_event(caller) or not second.instances[0].world.sent
    for sent in second.instances[0].world.sent:
        if not has_event(caller):
            sent.begin_stream()
            sent.send_events(1)
        assert_taken_up_soundly(second.restart('a'), sent)


# The holder wrote twice a second what it listed then.
def test_a_version_that_came_and_left_between_two_writes_is_remembered():
    fleet = start(listed=engines('a'), count=3)
    fleet.clock.advance(20)
    fleet.list_engines(engines(*BOTH))
    fleet.clock.advance(450)
    begun = [fleet.begin() for _ in range(12)]
    fleet.list_engines(engines('a'))
    restarted = fleet.restart('a')
    assert 'v2' in {version_of(first) for _, first in begun}
    for _, first in begun:
        assert_taken_up_soundly(restarted, first)


# All that can know the origin are killed, others have not listed the version.
def test_instances_that_missed_a_version_read_the_record_before_they_infer():
    fleet = start(listed=engines('a'), count=6)
    fleet.network.drops_all = True
    knowing = fleet.instances[:5]
    for instance in knowing:
        instance.world.context.fleet.directory.replace(engines('b'))
    fleet.settle()
    # Only the news of the record are lost; origins reach their replicas.
    fleet.network.drops_all = False
    begun = [fleet.begin(0)[1] for _ in range(8)]
    for instance in knowing:
        fleet.network.by_port.pop(instance.record.port, None)
    for first in begun:
        assert version_of(first) == 'v2'
        caller, versions = fleet.take_up(first.attempt_id, 5)
        assert not versions
        assert caller.status == 503


def test_a_written_record_whose_answer_was_lost_is_read_again():
    fleet = start(listed=engines('a'))
    fleet.objects.drops_write_answers = True
    fleet.list_engines(engines('b'))
    fleet.settle()
    assert read_record(fleet.objects)['versions_by_service'] == {
        'llm': ['v1', 'v2']
    }
    assert fleet.begin()[1] is not None


def test_streams_begin_at_recorded_versions_while_the_store_is_down():
    fleet = start(listed=engines('a'))
    fleet.objects.failure = 'down'
    fleet.clock.advance(60_000)
    assert fleet.begin()[1] is not None


def test_an_instance_that_cannot_read_the_record_refuses_to_infer():
    fleet = start(listed=engines('a'))
    _, first = fleet.begin()
    fleet.objects.failure = 'down'
    caller, versions = fleet.restart('a').take_up(first.attempt_id)
    assert not versions
    assert caller.status == 503


def test_a_stream_waits_for_the_first_read_of_an_instance():
    fleet = start(listed=engines('a'))
    _, first = fleet.begin()
    fleet.objects.pauses_after.add('page')
    restarted = fleet.restart('a')
    world = restarted.instances[0].world
    assert not take_up(world, first.attempt_id)[1]
    fleet.objects.release()
    assert version_of(world.sent[0]) == 'v1'


# The copy was made before the second version was recorded.
@pytest.mark.parametrize('left', ['a', 'b', 'ab'])
@pytest.mark.parametrize('is_era_noticed', [False, True])
def test_a_store_from_an_older_copy_joins_no_versions(left, is_era_noticed):
    fleet = start(listed=engines('a'))
    copied = fleet.objects.revision
    fleet.list_engines(engines(*BOTH))
    fleet.settle()
    begun = [fleet.begin() for _ in range(12)]
    fleet.objects.come_back(copied)
    if is_era_noticed:
        fleet.instances[0].world.context.streams.recorded.apply_era(1)
        fleet.settle()
        assert 'v2' in read_record(fleet.objects)['versions_by_service']['llm']
    restarted = fleet.restart(*left)
    for _, first in begun:
        assert_taken_up_soundly(restarted, first)
    restarted.settle()
    for _, first in begun:
        assert_taken_up_soundly(restarted, first)


# A store without a record was taken for one before the first stream.
def test_a_store_from_a_copy_without_a_record_joins_no_versions():
    objects = PausedObjects()
    copied = objects.revision
    fleet = start(objects, listed=engines('b'))
    _, first = fleet.begin()
    objects.come_back(copied)
    restarted = fleet.restart('a')
    assert_taken_up_soundly(restarted, first)
    restarted.settle()
    assert_taken_up_soundly(restarted, first)


# An event that arrives after the store came back waits for the new record.
def test_an_event_is_held_until_the_version_is_recorded_in_a_new_era():
    fleet = start(listed=engines('a'))
    copied = fleet.objects.revision
    world = fleet.instances[0].world
    held, (sent,) = send_ask(world)
    fleet.objects.pauses_before.add('write')
    fleet.objects.come_back(copied)
    world.context.streams.recorded.apply_era(1)
    sent.begin_stream()
    sent.send_events(1, 2)
    sent.end_stream()
    fleet.clock.advance(1000)
    assert held.received == b''
    fleet.objects.release()
    assert held.received.count(b'data: ') == 2
    assert held.received.endswith(b'0\r\n\r\n')


def test_a_stream_that_broke_again_is_known_by_its_second_attempt():
    fleet = start(listed=engines(*BOTH), count=3)
    _, first = fleet.begin()
    caller, versions = fleet.take_up(first.attempt_id, 0)
    second = fleet.instances[0].world.sent[-1]
    second.begin_stream()
    second.send_events(2)
    caller.disconnect()
    _, versions = fleet.take_up(second.attempt_id, 1)
    assert versions == [version_of(first)]


def count_calls_of_new_version(seed, latency_ms):
    clock = Clock.manual()
    fleet = VersionFleet(
        PausedObjects(clock, latency_ms),
        clock,
        count=70,
        listed=engines('a'),
        seed=seed,
    )
    fleet.settle()
    fleet.objects.calls.clear()
    fleet.list_engines(engines(*BOTH))
    fleet.settle()
    assert {version_of(fleet.begin(9)[1]) for _ in range(24)} == {'v1', 'v2'}
    return len(fleet.objects.calls)


@pytest.mark.parametrize('seed', range(5))
def test_a_new_version_costs_about_ten_calls_at_70_instances(seed):
    assert 2 <= count_calls_of_new_version(seed, 4) <= CALLS_BOUND


def test_a_new_version_costs_as_many_calls_while_the_store_is_slow():
    counts = [count_calls_of_new_version(seed, 240) for seed in range(5)]
    assert sum(counts) / len(counts) <= CALLS_BOUND, counts


def test_a_start_with_a_known_version_costs_one_call_an_instance():
    fleet = start(listed=engines('a'), count=9)
    restarted = fleet.restart('a')
    restarted.settle()
    assert len(fleet.objects.calls) == 9
    fleet.objects.calls.clear()
    _, first = restarted.begin()
    restarted.take_up(first.attempt_id, 1)
    assert not fleet.objects.calls
