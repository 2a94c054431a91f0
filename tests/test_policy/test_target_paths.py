"""
Tests of the choice of paths to targets.

They guard against an instance that waits for a direct path that is down,
against one that floods crashed targets and peers with attempts, and against a
path that stays down after a cut is over.
"""

import pytest

from cicadahoist.policy.paths.target_path import (
    CONNECT_TIMEOUT_MS,
    PROBE_PERIOD_MS,
    PathFailure,
)
from cicadahoist.policy.paths.target_paths import (
    CUT_OFF_RETRY_MS,
    DOUBT_MS,
    RECENT_MS,
    RELAY_RETRY_MS,
    Opening,
    TargetPaths,
)


@pytest.fixture
def paths():
    return TargetPaths()


def fail_directly(paths, target, failure, now_ms):
    paths.record_direct_start(target, now_ms)
    paths.record_direct_failure(target, failure, now_ms)


def hear(paths, target, now_ms):
    paths.record_direct_start(target, now_ms)
    paths.record_heard(target, now_ms, is_new=True)


def test_a_target_is_first_tried_directly(paths):
    assert paths.choose_opening('t1', 0) is Opening.direct


@pytest.mark.parametrize('failure', list(PathFailure))
def test_a_target_that_only_peers_reach_is_used_through_them(paths, failure):
    fail_directly(paths, 't1', failure, 0)
    paths.record_relay_open('t1')
    assert paths.choose_opening('t1', 10) is Opening.relayed
    assert not paths.get('t1').is_probe_due(PROBE_PERIOD_MS - 1)
    assert paths.get('t1').is_probe_due(PROBE_PERIOD_MS)


@pytest.mark.parametrize('failure', list(PathFailure))
def test_a_new_direct_connection_ends_the_use_of_peers(paths, failure):
    fail_directly(paths, 't1', failure, 0)
    paths.record_relay_open('t1')
    hear(paths, 't1', 1000)
    assert paths.choose_opening('t1', 1000) is Opening.direct


def test_bytes_on_a_kept_connection_show_that_packets_pass_again(paths):
    fail_directly(paths, 't1', PathFailure.hanging, 0)
    paths.record_relay_open('t1')
    paths.record_heard('t1', 500)
    assert paths.choose_opening('t1', 500) is Opening.direct


def test_bytes_on_a_kept_connection_do_not_show_that_new_ones_open(paths):
    fail_directly(paths, 't1', PathFailure.refused, 0)
    paths.record_relay_open('t1')
    paths.record_heard('t1', 500)
    assert paths.choose_opening('t1', 500) is Opening.relayed


def test_a_path_is_known_to_hang_once_the_direct_attempt_has_ended(paths):
    fail_directly(paths, 't1', PathFailure.hanging, 100)
    paths.record_relay_open('t1')
    assert not paths.get('t1').is_confirmed(100 + CONNECT_TIMEOUT_MS - 1)
    assert paths.get('t1').is_confirmed(100 + CONNECT_TIMEOUT_MS)
    fail_directly(paths, 't1', PathFailure.hanging, 1200)
    assert paths.get('t1').is_confirmed(1210)


def test_one_lost_packet_beside_answers_is_no_cut(paths):
    paths.record_direct_start('t1', 0)
    paths.record_heard('t1', 50)
    paths.record_direct_failure('t1', PathFailure.hanging, 0)
    assert paths.choose_opening('t1', 300) is Opening.direct


def test_a_target_that_nobody_reaches_fails_at_once(paths):
    fail_directly(paths, 't1', PathFailure.refused, 0)
    paths.record_relay_failure('t1', 10)
    assert paths.choose_opening('t1', 20) is Opening.none
    assert paths.choose_opening('t1', PROBE_PERIOD_MS) is Opening.direct


def test_a_crashed_target_costs_one_question_to_peers_a_second(paths):
    hear(paths, 't2', 0)
    fail_directly(paths, 't1', PathFailure.refused, 0)
    paths.record_relay_failure('t1', 10)
    assert not paths.may_try_relay('t1', 10 + RELAY_RETRY_MS - 1)
    assert paths.may_try_relay('t1', 10 + RELAY_RETRY_MS)


def test_an_instance_that_is_cut_off_asks_peers_sooner(paths):
    for target in ('t1', 't2', 't3'):
        fail_directly(paths, target, PathFailure.hanging, 0)
    paths.record_relay_failure('t1', 10)
    assert paths.may_try_relay('t1', 10 + CUT_OFF_RETRY_MS)


def test_most_targets_down_means_cut_off(paths):
    for target in ('t1', 't2', 't3'):
        hear(paths, target, 0)
    fail_directly(paths, 't1', PathFailure.hanging, 100)
    paths.record_relay_open('t1')
    assert not paths.is_cut_off(100)
    fail_directly(paths, 't2', PathFailure.hanging, 100)
    assert paths.is_cut_off(100)
    assert paths.list_down() == ['t1', 't2']
    assert not paths.is_cut_off(100 + RECENT_MS + 1)


def test_the_crash_of_the_only_target_does_not_mean_cut_off(paths):
    fail_directly(paths, 't1', PathFailure.refused, 0)
    paths.record_relay_failure('t1', 10)
    assert not paths.is_cut_off(20)


def test_crashed_targets_beside_kept_connections_do_not_mean_cut_off(paths):
    for target in ('t1', 't2', 't3', 't4', 't5'):
        hear(paths, target, 0)
    later_ms = 2 * RECENT_MS
    for target in ('t3', 't4', 't5'):
        paths.record_heard(target, later_ms)
    fail_directly(paths, 't1', PathFailure.refused, later_ms)
    fail_directly(paths, 't2', PathFailure.refused, later_ms)
    assert not paths.is_cut_off(later_ms)


def test_kept_connections_are_in_doubt_after_another_target_hung(paths):
    hear(paths, 't1', 0)
    hear(paths, 't2', 0)
    fail_directly(paths, 't1', PathFailure.hanging, 100)
    assert not paths.may_reuse_direct('t1', 200)
    assert not paths.may_reuse_direct('t2', 200)
    paths.record_heard('t2', 200)
    assert paths.may_reuse_direct('t2', 200)


def test_doubt_about_kept_connections_ends(paths):
    hear(paths, 't2', 0)
    fail_directly(paths, 't1', PathFailure.hanging, 100)
    assert paths.may_reuse_direct('t2', 100 + DOUBT_MS + 1)


def test_kept_connections_live_on_while_new_ones_are_refused(paths):
    fail_directly(paths, 't1', PathFailure.refused, 0)
    paths.record_relay_open('t1')
    assert paths.may_reuse_direct('t1', 10)


def test_changes_of_a_path_are_reported_once(paths):
    changed = []
    paths.on_change(changed.append)
    fail_directly(paths, 't1', PathFailure.hanging, 0)
    assert not changed
    paths.record_relay_open('t1')
    paths.record_relay_open('t1')
    assert changed == ['t1']
    hear(paths, 't1', 1000)
    assert changed == ['t1', 't1']


# Guards against crashes that are taken for a cut of this instance.
def test_targets_that_refuse_peers_too_show_no_cut(paths):
    hear(paths, 'sound', 0)
    for target in ('t1', 't2', 't3'):
        fail_directly(paths, target, PathFailure.refused, 10)
    assert paths.is_cut_off(20)
    for target in ('t1', 't2', 't3'):
        paths.record_relay_failure(target, 30, is_refused=True)
        assert paths.get(target).has_crashed
    assert not paths.is_cut_off(40)
    assert paths.is_cut_off(40, counts_crashed=True)


# Guards against a crash that is remembered after its target is back.
@pytest.mark.parametrize('is_relayed', [True, False])
def test_a_target_that_is_back_has_not_crashed(paths, is_relayed):
    fail_directly(paths, 't1', PathFailure.refused, 10)
    paths.record_relay_failure('t1', 20, is_refused=True)
    if is_relayed:
        paths.record_relay_open('t1')
    else:
        hear(paths, 't1', 30)
    assert not paths.get('t1').has_crashed
    fail_directly(paths, 't1', PathFailure.refused, 40)
    assert not paths.get('t1').has_crashed


# Guards against a target that does not answer peers and counts as crashed.
@pytest.mark.parametrize('failure', list(PathFailure))
def test_a_target_that_peers_do_not_reach_has_not_crashed(paths, failure):
    fail_directly(paths, 't1', failure, 10)
    paths.record_relay_failure('t1', 20)
    assert not paths.get('t1').has_crashed
