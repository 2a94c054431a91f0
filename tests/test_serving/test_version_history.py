"""
History of versions in the store.

It guards against streams that go on at a guessed version after all instances
have started again (issue 21, ORDER), and against refusing all of them (LOST).
"""

import pytest

from cicadahoist.serving.version_history import (
    HISTORY_KIND,
    VersionHistoryJob,
    apply_history,
)
from tests.coroutines import Pending
from tests.test_serving.fake_objects import FakeObjects
from tests.test_serving.world import World, target

VERSIONS = {'llm': ['v1']}


@pytest.fixture
def objects():
    return FakeObjects()


def decode(name, version):
    return target(name, 'llm', 'decode', version=version)


def run(job, world, *, may_act=True):
    Pending(job.run(world.clock.now_ms(), lambda: may_act, 1))


def read_history(objects):
    history = objects.kinds[HISTORY_KIND]['recent'].spec
    return history['versions_by_service']


def count_writes(objects):
    return sum(call in {'create', 'replace'} for call, _ in objects.calls)


def test_each_change_of_the_recent_versions_is_stored(objects):
    world = World()
    job = VersionHistoryJob(objects, world.context.streams)
    world.add(decode('a0', 'v1'))
    run(job, world)
    assert read_history(objects) == VERSIONS
    world.add(decode('b0', 'v2'))
    run(job, world)
    assert read_history(objects) == {'llm': ['v1', 'v2']}
    world.context.fleet.directory.remove('a0')
    run(job, world)
    assert read_history(objects) == {'llm': ['v1', 'v2']}
    world.clock.advance(30_000)
    run(job, world)
    assert read_history(objects) == {'llm': ['v2']}


def test_an_unchanged_history_is_not_written_each_time(objects):
    world = World()
    job = VersionHistoryJob(objects, world.context.streams)
    world.add(decode('a0', 'v1'))
    run(job, world)
    count = count_writes(objects)
    for _ in range(10):
        run(job, world)
    assert count_writes(objects) == count


def test_a_history_that_the_store_has_lost_is_written_again(objects):
    world = World()
    job = VersionHistoryJob(objects, world.context.streams)
    world.add(decode('a0', 'v1'))
    run(job, world)
    objects.kinds.clear()
    world.clock.advance(30_000)
    run(job, world)
    assert read_history(objects) == VERSIONS


def test_nothing_is_written_without_the_lease_or_without_knowledge(objects):
    world = World()
    world.add(decode('a0', 'v1'))
    run(VersionHistoryJob(objects, world.context.streams), world, may_act=False)
    fresh = World(is_first_start=False)
    fresh.add(decode('a0', 'v1'))
    run(VersionHistoryJob(objects, fresh.context.streams), fresh)
    assert not objects.kinds


def test_a_started_instance_knows_the_stored_history(objects):
    fresh = World(is_first_start=False)
    fresh.add(decode('a0', 'v1'))
    objects.put(HISTORY_KIND, 'recent', {'versions_by_service': VERSIONS})
    apply_history(
        fresh.context.streams, list(objects.kinds[HISTORY_KIND].values())
    )
    assert fresh.context.streams.list_recent_versions() == VERSIONS


def test_an_unreadable_history_leaves_earlier_versions_unknown(objects):
    fresh = World(is_first_start=False)
    fresh.add(decode('a0', 'v1'))
    objects.put(HISTORY_KIND, 'recent', {'versions_by_service': 7})
    apply_history(
        fresh.context.streams, list(objects.kinds[HISTORY_KIND].values())
    )
    assert not fresh.context.streams.list_recent_versions()
