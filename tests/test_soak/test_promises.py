"""The soak notices what it is there to notice."""

import pytest

from soak.promises import DRAIN_MS, REVOKE_MS, Attempt, PromiseChecker


class Judged:
    def __init__(self, kind='submit', *, checks_times=True):
        self.now_ms = 100_000
        self.promises = PromiseChecker(
            lambda: self.now_ms, checks_times=checks_times
        )
        self.attempt = Attempt('a1', kind, 'k1', 'w1', 'i1', self.now_ms)
        self.promises.record_attempt(self.attempt)

    def run(self, target='t1', workspace='w1', attempt='a1', **headers):
        seen = {b'x-cicadahoist-tenant': workspace.encode()}
        seen |= {name.encode(): b'x' for name in headers}
        self.promises.check_run(attempt, target, seen)

    @property
    def rules(self):
        return [
            entry.split()[1].rstrip(':') for entry in self.promises.breaches
        ]


def test_a_proper_run_breaks_nothing():
    judged = Judged()
    judged.run()
    assert judged.rules == []


def test_a_second_run_of_a_submission_is_noticed():
    judged = Judged()
    judged.run('t1')
    judged.run('t2')
    assert judged.rules == ['TWICE']


def test_a_lookup_may_run_again():
    judged = Judged('lookup')
    judged.run('t1')
    judged.run('t2')
    assert judged.rules == []


@pytest.mark.parametrize('is_run_first', [True, False])
def test_a_refusal_that_was_not_true_is_noticed(is_run_first):
    judged = Judged()
    if is_run_first:
        judged.run()
    judged.promises.check_refusal(judged.attempt, 503)
    if not is_run_first:
        judged.run()
    assert judged.rules == ['REFUSED']


def test_foreign_workspaces_keys_and_requests_are_noticed():
    judged = Judged('lookup')
    judged.run(workspace='w2')
    judged.run(authorization=True)
    judged.run(attempt='other')
    assert judged.rules == ['UNASKED', 'UNASKED', 'UNASKED']


def test_a_withdrawn_key_that_works_is_noticed():
    judged = Judged('lookup')
    judged.promises.withdrawn_ms_by_key['k1'] = (
        judged.attempt.sent_ms - REVOKE_MS - 1
    )
    judged.run()
    assert judged.rules == ['CONFIG']


def test_work_for_a_leaving_target_is_noticed_unless_disturbed():
    judged = Judged('lookup')
    judged.promises.leaving_ms_by_target['t1'] = judged.now_ms - DRAIN_MS - 1
    judged.run()
    assert judged.rules == ['DRAIN']
    judged.promises.record_disturbance('i1')
    judged.run()
    assert judged.rules == ['DRAIN']


def test_times_are_not_judged_where_they_tell_nothing():
    judged = Judged('lookup', checks_times=False)
    judged.promises.leaving_ms_by_target['t1'] = judged.now_ms - DRAIN_MS - 1
    judged.run()
    assert judged.rules == []


def test_differing_reports_and_fences_are_noticed():
    judged = Judged()
    check_call = judged.promises.check_platform_call
    check_call('/usage', 'i1', 3, {'window': 7, 'counts': {'w1': 1}})
    check_call('/usage', 'i1', 3, {'window': 7, 'counts': {'w1': 1}})
    assert judged.rules == []
    check_call('/usage', 'i1', 3, {'window': 7, 'counts': {'w1': 2}})
    check_call('/usage', 'i2', 3, {'window': 8, 'counts': {}})
    check_call('/usage', 'i2', 2, {'window': 9, 'counts': {}})
    assert judged.rules == ['ONE', 'ONE', 'ONE']
