"""
The record of versions in the store, and how versions leave it.

It guards against a version that leaves the record while a stream that began at
it may be open (issue 35, ORDER), and against one that never leaves, so that
streams are refused for good (LOST).
"""

import msgspec
import pytest

from cicadahoist.policy.stream_versions.record_retention import SETTLE_MS
from cicadahoist.policy.stream_versions.stream_terms import MIN_LIFETIME_MS
from cicadahoist.serving.version_history import (
    HISTORY_KIND,
    VersionHistoryJob,
    read_record,
)
from tests.coroutines import Pending, result_of
from tests.test_serving.test_version_recorder import start
from tests.test_serving.version_fleet import engines
from tests.test_serving.world import ROUTES, deployment

RUN_MS = 500
BOTH = {'llm': ['v1', 'v2']}


class Holder:
    """A fleet, and the job of the instance that holds the duties."""

    def __init__(self, *letters, **options):
        self.fleet = start(listed=engines(*letters), **options)
        self.objects = self.fleet.objects
        self.world = self.fleet.instances[0].world
        self.job = VersionHistoryJob(
            self.objects, self.world.context.streams, self.fleet.clock
        )
        self.may_act = True

    def run(self, duration_ms=RUN_MS):
        for _ in range(0, duration_ms, RUN_MS):
            self.fleet.clock.advance(RUN_MS)
            Pending(self.job.run(0, lambda: self.may_act, 1))

    @property
    def versions(self):
        return self.objects.kinds[HISTORY_KIND]['used'].spec[
            'versions_by_service'
        ]

    def count_calls(self):
        return len([call for call, _ in self.objects.calls])


def test_a_version_leaves_once_no_stream_of_it_is_left():
    holder = Holder('a', 'b')
    holder.run()
    holder.fleet.list_engines(engines('b'))
    holder.run(MIN_LIFETIME_MS)
    assert holder.versions == BOTH
    holder.run(SETTLE_MS + 2 * RUN_MS)
    assert holder.versions == {'llm': ['v2']}


def test_an_unchanged_record_costs_one_call_a_term():
    holder = Holder('a', 'b')
    holder.run(60_000)
    # The instance reads a list that may lag once a minute, at a tenth of the
    # price.
    assert holder.count_calls() <= 1 + 2


@pytest.mark.parametrize('timeout_ms', [15_000, 40_000])
def test_versions_and_origins_outlive_the_longest_streams(timeout_ms):
    holder = Holder('a', 'b', count=2)
    routes = [
        msgspec.structs.replace(route, timeout_ms=timeout_ms)
        if route.name == 'ask'
        else route
        for route in ROUTES
    ]
    for instance in holder.fleet.instances:
        instance.world.context.apply_deployment(deployment(2, routes))
    _, first = holder.fleet.begin()
    holder.fleet.list_engines(engines('b'))
    holder.run(2 * timeout_ms - 2 * RUN_MS)
    assert holder.versions == BOTH
    for number in (0, 1):
        streams = holder.fleet.instances[number].world.context.streams
        known = result_of(
            streams.find_version(first.attempt_id.decode(), 'llm')
        )
        assert known == {'a': 'v1', 'b': 'v2'}[first.target[0]]


def test_time_in_an_earlier_term_does_not_count():
    holder = Holder('a', 'b')
    holder.fleet.list_engines(engines('b'))
    holder.run(MIN_LIFETIME_MS - RUN_MS)
    holder.job.begin_term()
    holder.run(MIN_LIFETIME_MS - RUN_MS)
    assert holder.versions == BOTH


# A version may have come and left between two lists.
def test_time_before_a_new_list_does_not_count():
    holder = Holder('a', 'b')
    holder.fleet.list_engines(engines('b'))
    holder.run(MIN_LIFETIME_MS - RUN_MS)
    holder.world.context.streams.recorded.record_relist()
    holder.run(MIN_LIFETIME_MS - RUN_MS)
    assert holder.versions == BOTH


def test_nothing_leaves_without_the_lease_or_a_fresh_list():
    holder = Holder('a', 'b')
    holder.fleet.list_engines(engines('b'))
    holder.may_act = False
    holder.run(2 * MIN_LIFETIME_MS)
    holder.may_act = True
    holder.world.context.streams.is_listing_fresh = bool
    holder.run(2 * MIN_LIFETIME_MS)
    assert holder.versions == BOTH


# An instance may list a version again just as the holder removes it.
def test_a_version_that_is_listed_again_while_it_leaves_is_recorded_again():
    holder = Holder('a', 'b')
    holder.fleet.list_engines(engines('b'))
    holder.run(MIN_LIFETIME_MS + RUN_MS)
    assert holder.objects.kinds[HISTORY_KIND]['used'].spec[
        'leaving_by_service'
    ] == {'llm': ['v1']}
    holder.objects.failure = 'down'
    holder.fleet.list_engines(engines('a'))
    caller, first = holder.fleet.begin()
    assert first is None
    holder.objects.failure = None
    holder.run(2 * SETTLE_MS)
    assert holder.versions == BOTH
    assert holder.fleet.begin()[1] is not None


def test_a_version_that_was_away_for_long_is_looked_up_again():
    holder = Holder('a', 'b')
    holder.fleet.list_engines(engines('b'))
    holder.fleet.clock.advance(MIN_LIFETIME_MS // 2)
    holder.objects.pauses_before.add('page')
    holder.fleet.list_engines(engines('a'))
    assert holder.fleet.begin()[1] is None
    holder.objects.release()
    holder.fleet.settle()
    assert holder.fleet.begin()[1] is not None


# After a store came back from an older copy, the record is complete again once
# no stream is left that may have begun before.
def test_a_record_in_a_new_era_is_complete_after_the_lifetime_of_streams():
    holder = Holder('a')
    holder.objects.come_back(holder.objects.revision)
    streams = holder.world.context.streams
    streams.recorded.apply_era(1)
    holder.fleet.settle()
    holder.run(MIN_LIFETIME_MS - 2 * RUN_MS)
    assert streams.recorded.find_only('llm') is None
    holder.run(4 * RUN_MS)
    assert streams.recorded.find_only('llm') == 'v1'


class TestOlderBuilds:
    """Builds that write the history `recent`, beside new ones."""

    def put(self, objects, versions):
        objects.put(HISTORY_KIND, 'recent', {'versions_by_service': versions})

    def test_their_history_is_read(self):
        holder = Holder('a')
        self.put(holder.objects, BOTH)
        restarted = holder.fleet.restart('a')
        caller, versions = restarted.take_up(b'elsewhere')
        assert not versions
        assert caller.status == 503

    def test_their_history_is_kept_in_the_record_and_deleted(self):
        holder = Holder('a')
        self.put(holder.objects, BOTH)
        holder.run()
        holder.fleet.settle()
        holder.run()
        assert holder.versions == BOTH
        assert 'recent' not in holder.objects.kinds[HISTORY_KIND]

    def test_they_read_the_record_last(self):
        """They apply all objects of the kind, ordered by name."""
        holder = Holder('a', 'b')
        self.put(holder.objects, {'llm': ['v1']})
        names = holder.objects.names(HISTORY_KIND)
        last = holder.objects.kinds[HISTORY_KIND][names[-1]]
        assert last.spec['versions_by_service'] == BOTH

    def test_an_unreadable_history_leaves_earlier_versions_unknown(self):
        holder = Holder('a')
        holder.objects.kinds.clear()
        holder.objects.put(HISTORY_KIND, 'recent', {'versions_by_service': 7})
        assert not result_of(read_record(holder.objects)).is_complete


def test_an_unreadable_record_leaves_earlier_versions_unknown():
    holder = Holder('a')
    holder.objects.put(HISTORY_KIND, 'used', {'versions_by_service': 7})
    restarted = holder.fleet.restart('a')
    caller, versions = restarted.take_up(b'elsewhere')
    assert not versions
    assert caller.status == 503
    assert holder.versions == {'llm': ['v1']}
