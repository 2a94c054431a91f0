"""Followers of the store, and the directory and configuration they keep."""

import pytest

from cicadahoist.clock import Clock
from cicadahoist.errors import WireError
from cicadahoist.listings import TargetDirectory
from cicadahoist.serving.deployment_source import DeploymentSource
from cicadahoist.serving.kind_poller import KindPoller
from cicadahoist.serving.store_follower import KindFollower
from cicadahoist.serving.target_source import TargetSource
from tests.coroutines import Pending
from tests.test_serving.fake_objects import FakeObjects
from tests.test_serving.world import deployment, target


class FollowedStore:
    """A store with followers of its targets and its configuration."""

    def __init__(self):
        self.clock = Clock.manual()
        self.objects = FakeObjects()
        self.directory = TargetDirectory()
        self.targets = TargetSource(
            self.directory,
            decode_target,
            self.clock,
            lambda: self.listings.outage_ended_ms,
        )
        self.listings = KindFollower(
            self.objects,
            'servers',
            1000,
            self.clock,
            self.targets.apply_list,
            self.targets.apply_change,
        )
        self.source = DeploymentSource('main', decode_deployment)
        self.config = KindFollower(
            self.objects,
            'config',
            1000,
            self.clock,
            self.source.apply_list,
            self.source.apply_change,
        )

    def start(self):
        Pending(self.listings.start())
        Pending(self.config.start())

    def fail_for(self, failure, delay_ms):
        self.objects.failure = failure
        self.objects.break_watches()
        self.advance(delay_ms)
        self.objects.failure = None
        self.advance(500)

    def advance(self, delay_ms):
        for _ in range(delay_ms // 50):
            self.clock.advance(50)

    @property
    def target_names(self):
        return sorted(entry.name for entry in self.directory.list_all())


def decode_target(name, spec):
    return target(name, **spec) if isinstance(spec, dict) else None


def decode_deployment(spec):
    if spec == 'broken':
        raise WireError('broken', remedy='none')
    return deployment(spec)


@pytest.fixture
def followed():
    followed = FollowedStore()
    followed.objects.put('config', 'main', 1)
    for name in ('t1', 't2', 't3', 't4', 't5'):
        followed.objects.put('servers', name, {})
    followed.start()
    return followed


def test_all_pages_of_a_list_are_applied(followed):
    assert followed.target_names == ['t1', 't2', 't3', 't4', 't5']


def test_each_change_is_applied_at_once(followed):
    followed.objects.put('servers', 't6', {})
    followed.objects.drop('servers', 't1')
    assert followed.target_names == ['t2', 't3', 't4', 't5', 't6']


def test_a_leaving_target_gets_no_new_work(followed):
    followed.objects.put('servers', 't2', {'is_leaving': True})
    usable = [entry.name for entry in followed.directory.list_usable('app')]
    assert 't2' not in usable
    assert 't2' in followed.target_names


def test_an_entry_that_becomes_undecodable_removes_its_target(followed):
    followed.objects.put('servers', 't3', 'garbage')
    assert 't3' not in followed.target_names
    assert 't2' in followed.target_names


def test_lost_history_leads_to_a_new_list(followed):
    followed.objects.break_watches()
    followed.objects.kinds['servers'].pop('t5')
    followed.objects.oldest_watchable = 1000
    followed.advance(500)
    assert 't5' not in followed.target_names
    followed.objects.oldest_watchable = 0


def test_entries_that_lapsed_in_an_outage_have_time_to_return(followed):
    followed.objects.kinds['servers'].pop('t1')
    followed.objects.kinds['servers'].pop('t2')
    followed.objects.oldest_watchable = 1000
    followed.fail_for('down', 5000)
    assert {'t1', 't2'} <= set(followed.target_names)
    followed.objects.oldest_watchable = 0
    followed.objects.put('servers', 't1', {})
    followed.advance(3000)
    assert 't1' in followed.target_names
    assert 't2' not in followed.target_names


def test_a_leaving_target_whose_entry_expires_in_an_outage_is_removed(followed):
    followed.objects.put('servers', 't1', {'is_leaving': True})
    followed.objects.kinds['servers'].pop('t1')
    followed.objects.oldest_watchable = 1000
    followed.fail_for('busy', 5000)
    assert 't1' not in followed.target_names


def test_without_an_outage_a_missing_target_is_removed_at_once(followed):
    followed.objects.drop('servers', 't1')
    assert 't1' not in followed.target_names


def test_quiet_watches_are_no_outage(followed):
    for _ in range(10):
        followed.advance(1000)
        followed.objects.answer_unchanged()
    assert followed.listings.outage_ended_ms is None
    followed.objects.drop('servers', 't1')
    assert 't1' not in followed.target_names


def test_configurations_never_go_back(followed):
    followed.objects.put('config', 'main', 5)
    assert followed.source.current.version == 5
    followed.objects.put('config', 'main', 4)
    assert followed.source.current.version == 5
    followed.objects.put('config', 'main', 'broken')
    assert followed.source.current.version == 5
    followed.objects.put('config', 'main', 9)
    assert followed.source.current.version == 9


def test_a_removed_configuration_leaves_the_last_one(followed):
    followed.objects.drop('config', 'main')
    assert followed.source.current.version == 1


def test_age_counts_from_when_the_store_was_asked(followed):
    followed.clock.advance(900)
    followed.objects.answer_unchanged()
    # The answered watch was sent 900 ms ago.
    assert followed.config.age_ms(followed.clock.now_ms()) == 900


@pytest.mark.parametrize('failure', ['busy', 'down'])
def test_age_grows_in_an_outage_and_falls_after_it(followed, failure):
    followed.objects.failure = failure
    followed.objects.break_watches()
    followed.advance(5000)
    assert followed.config.age_ms(followed.clock.now_ms()) >= 5000
    followed.objects.failure = None
    followed.advance(500)
    followed.objects.answer_unchanged()
    assert followed.config.age_ms(followed.clock.now_ms()) < 1000


def test_calls_to_an_unavailable_store_back_off(followed):
    before = len(followed.objects.calls)
    followed.fail_for('busy', 10_000)
    assert len(followed.objects.calls) - before < 80


def test_following_goes_on_after_a_listener_raises(followed):
    def raise_defect(deployment):
        raise RuntimeError('defect')

    followed.source.on_change(raise_defect)
    followed.objects.put('config', 'main', 6)
    followed.source._listeners.clear()
    followed.objects.put('config', 'main', 7)
    followed.advance(1000)
    assert followed.source.current.version == 7
    followed.objects.put('config', 'main', 8)
    assert followed.source.current.version == 8


def test_a_watch_held_in_full_confirms_the_state_at_its_end(followed):
    followed.advance(1000)
    followed.objects.answer_unchanged()
    assert followed.config.age_ms(followed.clock.now_ms()) == 0
    followed.advance(500)
    # An early answer confirms the state only at the time of the call.
    followed.objects.answer_unchanged()
    assert followed.config.age_ms(followed.clock.now_ms()) == 500


def test_changes_that_come_together_cost_one_more_call(followed):
    listed = KindFollower(
        followed.objects,
        'servers',
        1000,
        followed.clock,
        followed.targets.apply_list,
        followed.targets.apply_change,
        batch_delay_ms=lambda: 150,
    )
    Pending(listed.start())
    Pending(followed.listings.stop())
    before = len(followed.objects.calls)
    for number in range(10):
        followed.objects.put('servers', f'n{number}', {})
        followed.advance(10)
    followed.advance(500)
    calls = followed.objects.calls[before:]
    assert calls.count(('watch', 'servers')) <= 3
    assert len(followed.target_names) == 15


def test_a_poller_lists_periodically(followed):
    lists = []
    poller = KindPoller(
        followed.objects, 'servers', 3000, followed.clock, lists.append
    )
    Pending(poller.start())
    first = len(lists[0])
    followed.objects.put('servers', 'n1', {})
    followed.advance(3050)
    assert [len(found) for found in lists] == [first, first + 1]


def test_a_poller_lists_after_an_outage(followed):
    lists = []
    followed.objects.failure = 'down'
    poller = KindPoller(
        followed.objects, 'servers', 3000, followed.clock, lists.append
    )
    Pending(poller.start())
    followed.advance(2000)
    followed.objects.failure = None
    followed.advance(600)
    assert len(lists) == 1


def test_a_start_that_waits_ends_with_the_first_list(followed):
    """Guards against tasks that accept callers before the list is known."""
    lists = []
    followed.objects.failure = 'down'
    poller = KindPoller(
        followed.objects, 'servers', 3000, followed.clock, lists.append, 1000
    )
    started = Pending(poller.start())
    followed.advance(400)
    assert not started.is_done
    followed.objects.failure = None
    followed.advance(200)
    assert started.is_done
    assert len(lists) == 1


def test_a_store_that_is_away_holds_up_a_start_for_a_bounded_time(followed):
    lists = []
    followed.objects.failure = 'down'
    poller = KindPoller(
        followed.objects, 'servers', 3000, followed.clock, lists.append, 1000
    )
    started = Pending(poller.start())
    followed.advance(1050)
    assert started.is_done
    followed.objects.failure = None
    followed.advance(600)
    assert len(lists) == 1


# Revisions are given out again: a watch from an old one misses changes.
def test_a_store_that_comes_back_from_a_copy_is_listed_again(followed):
    copied_revision = followed.objects.revision
    followed.objects.put('servers', 't6', {})
    followed.objects.come_back(copied_revision)
    for name in ('t7', 't8', 't9'):
        followed.objects.put('servers', name, {})
    followed.advance(500)
    assert {'t7', 't8', 't9'} <= set(followed.target_names)


def test_targets_that_a_store_has_lost_have_time_to_register_again(followed):
    copied_revision = followed.objects.revision
    followed.objects.put('servers', 't6', {})
    followed.objects.put('servers', 't7', {})
    followed.objects.come_back(copied_revision)
    followed.advance(500)
    assert {'t6', 't7'} <= set(followed.target_names)
    followed.objects.put('servers', 't6', {})
    followed.advance(3000)
    assert 't6' in followed.target_names
    assert 't7' not in followed.target_names


def test_a_store_that_comes_back_puts_no_older_configuration_in_force(followed):
    copied_revision = followed.objects.revision
    followed.objects.put('config', 'main', 2)
    followed.objects.come_back(copied_revision)
    followed.objects.put('config', 'main', 1)
    followed.advance(500)
    assert followed.source.current.version == 2
    followed.objects.put('config', 'main', 3)
    followed.advance(500)
    assert followed.source.current.version == 3
