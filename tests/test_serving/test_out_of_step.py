"""
Tests of instances that are out of step while a software version joins.

They guard against a stream that such an instance takes up and continues at
another version than the one that began it (ORDER).
"""

import pytest

from cicadahoist.errors import StoreUnavailableError
from tests.test_serving.fake_objects import FakeObjects
from tests.test_serving.version_fleet import (
    VersionFleet,
    engines,
    has_event,
)

STREAM_COUNT = 16


class CutObjects(FakeObjects):
    """A store that is out of reach while ``is_cut``."""

    is_cut = False

    def _call(self, call, kind):
        if self.is_cut:
            raise StoreUnavailableError('cut', remedy='later')
        super()._call(call, kind)


class Rollout:
    """A fleet in which some instances miss that v2 joins."""

    def __init__(self, count, out_of_step):
        self.objects = CutObjects()
        self.fleet = VersionFleet(
            self.objects, count=count, listed=engines('a')
        )
        self.fleet.settle()
        self.out_of_step = out_of_step
        self.in_step = [
            number for number in range(count) if number not in out_of_step
        ]

    def cut(self):
        """Cut the instances off, each from all others."""
        self.fleet.network.cut_ports = {
            self.fleet.instances[number].record.port
            for number in self.out_of_step
        }

    def heal(self):
        self.fleet.network.cut_ports = set()

    def join(self):
        """Let v2 join, and take the place of v1 where it is seen."""
        for letters in ('ab', 'b'):
            for number in self.in_step:
                world = self.fleet.instances[number].world
                world.context.fleet.directory.replace(engines(*letters))
            self.fleet.settle()

    def begin_streams(self):
        """Return the attempts of streams that began and broke."""
        attempts = []
        for number in range(STREAM_COUNT):
            begins_at = self.in_step[number % len(self.in_step)]
            caller, sent = self.fleet.begin(begins_at)
            assert has_event(caller)
            assert sent.target.startswith('b')
            attempts.append(sent.attempt_id)
            caller.disconnect()
        return attempts

    def expect_no_other_version(self, attempts):
        for number in self.out_of_step:
            for attempt in attempts:
                caller, versions = self.fleet.take_up(attempt, number)
                assert versions in ([], ['v2'])
                assert versions or caller.status == 503
                caller.disconnect()


# Guards against an instance that trusts its own list, and its own place among
# those that would hold the origin, while nobody answers it.
@pytest.mark.parametrize('count', [2, 3, 6, 13])
@pytest.mark.parametrize('reaches_store', [True, False])
def test_an_instance_that_nobody_answers_does_not_infer_a_version(
    count, reaches_store
):
    rollout = Rollout(count, [0])
    rollout.cut()
    rollout.join()
    attempts = rollout.begin_streams()
    rollout.objects.is_cut = not reaches_store
    rollout.expect_no_other_version(attempts)


# Guards against instances that confirm each other what both have missed.
@pytest.mark.parametrize('reaches_store', [True, False])
def test_instances_that_were_cut_off_together_confirm_nothing(reaches_store):
    rollout = Rollout(6, [0, 3])
    rollout.cut()
    rollout.join()
    attempts = rollout.begin_streams()
    # They reach each other again before anybody else.
    rollout.fleet.network.cut_ports = {
        rollout.fleet.instances[number].record.port
        for number in rollout.in_step
    }
    rollout.objects.is_cut = not reaches_store
    rollout.expect_no_other_version(attempts)


# Guards against the same right after the end of the cut.
@pytest.mark.parametrize('count', [2, 3, 6, 13])
def test_an_instance_that_is_back_learns_the_version_from_others(count):
    rollout = Rollout(count, [0])
    rollout.cut()
    rollout.join()
    attempts = rollout.begin_streams()
    rollout.heal()
    rollout.expect_no_other_version(attempts)


# Guards against streams that nobody takes up while there is one version and the
# store is down.
@pytest.mark.parametrize('count', [3, 6, 13])
def test_streams_go_on_without_the_store_where_two_replicas_confirm(count):
    rollout = Rollout(count, [])
    attempts = []
    for _ in range(STREAM_COUNT):
        caller, sent = rollout.fleet.begin(count - 1)
        attempts.append(sent.attempt_id)
        caller.disconnect()
    rollout.objects.is_cut = True
    for attempt in attempts:
        assert set(rollout.fleet.take_up(attempt, 0)[1]) == {'v1'}
