"""
The promise checker of the soak reports each kind of breach.

A check that never fires would let a soak pass with a broken program, so every
rule gets a breach here and a proper run that must not count as one.
"""

import pytest

from soak.promises import DRAIN_MS, REVOKE_MS, Attempt, PromiseChecker


class CheckedRun:
    """A promise checker that has recorded one attempt."""

    def __init__(self, kind='submit', *, checks_times=True):
        self.now_ms = 100_000
        self.promises = PromiseChecker(
            lambda: self.now_ms, checks_times=checks_times
        )
        self.attempt = Attempt('a1', kind, 'k1', 'w1', 'i1', self.now_ms)
        self.promises.record_attempt(self.attempt)

    def run(self, target='t1', workspace='w1', attempt='a1', **headers):
        headers_seen = {b'x-cicadahoist-tenant': workspace.encode()}
        headers_seen |= {name.encode(): b'x' for name in headers}
        self.promises.check_run(attempt, target, headers_seen)

    @property
    def rules(self):
        return [
            entry.split()[1].rstrip(':') for entry in self.promises.breaches
        ]


def test_proper_run_is_no_breach():
    checked = CheckedRun()
    checked.run()
    assert checked.rules == []


def test_second_run_of_a_submission_is_a_breach():
    checked = CheckedRun()
    checked.run('t1')
    checked.run('t2')
    assert checked.rules == ['TWICE']


def test_second_run_of_a_lookup_is_no_breach():
    checked = CheckedRun('lookup')
    checked.run('t1')
    checked.run('t2')
    assert checked.rules == []


@pytest.mark.parametrize('is_run_first', [True, False])
def test_run_of_a_refused_submission_is_a_breach(is_run_first):
    checked = CheckedRun()
    if is_run_first:
        checked.run()
    checked.promises.check_refusal(checked.attempt, 503)
    if not is_run_first:
        checked.run()
    assert checked.rules == ['REFUSED']


def test_wrong_workspace_leaked_key_and_unknown_attempt_are_breaches():
    checked = CheckedRun('lookup')
    checked.run(workspace='w2')
    checked.run(authorization=True)
    checked.run(attempt='other')
    assert checked.rules == ['UNASKED', 'UNASKED', 'UNASKED']


def test_run_with_a_withdrawn_key_is_a_breach():
    checked = CheckedRun('lookup')
    checked.promises.withdrawn_ms_by_key['k1'] = (
        checked.attempt.sent_ms - REVOKE_MS - 1
    )
    checked.run()
    assert checked.rules == ['CONFIG']


def test_run_at_a_draining_target_is_a_breach_unless_disturbed():
    checked = CheckedRun('lookup')
    checked.promises.leaving_ms_by_target['t1'] = checked.now_ms - DRAIN_MS - 1
    checked.run()
    assert checked.rules == ['DRAIN']
    checked.promises.record_disturbance('i1')
    checked.run()
    assert checked.rules == ['DRAIN']


def test_time_bounds_are_not_checked_if_switched_off():
    checked = CheckedRun('lookup', checks_times=False)
    checked.promises.leaving_ms_by_target['t1'] = checked.now_ms - DRAIN_MS - 1
    checked.run()
    assert checked.rules == []


def test_differing_reports_and_stale_fences_are_breaches():
    checked = CheckedRun()
    check_call = checked.promises.check_platform_call
    check_call('/usage', 'i1', 3, {'window': 7, 'counts': {'w1': 1}})
    check_call('/usage', 'i1', 3, {'window': 7, 'counts': {'w1': 1}})
    assert checked.rules == []
    check_call('/usage', 'i1', 3, {'window': 7, 'counts': {'w1': 2}})
    check_call('/usage', 'i2', 3, {'window': 8, 'counts': {}})
    check_call('/usage', 'i2', 2, {'window': 9, 'counts': {}})
    assert checked.rules == ['ONE', 'ONE', 'ONE']
