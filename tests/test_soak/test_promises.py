"""
The promise checker of the soak reports each kind of breach.

A check that never fires would let a soak pass with a broken program, so every
rule gets a breach here and a proper run that must not count as one.
"""

import pytest

from soak.promises import (
    CONTACT_MS,
    DRAIN_MS,
    MAX_LATE_PART_COUNT,
    MIN_SOUND_COUNT,
    PART_CRASH_COUNT,
    REVOKE_MS,
    Attempt,
    PromiseChecker,
)
from soak.stutters import Answer

PART = 'beef'
BODY = b'answer to a1'


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

    def send_part(self, later_ms, part=PART):
        """Send a prompt with a part some time after the first attempt."""
        sent_ms = self.now_ms + later_ms
        attempt = Attempt('a2', 'ask', 'k1', 'w1', 'i1', sent_ms)
        attempt.crashing_part = part
        self.promises.record_attempt(attempt)
        self.promises.check_crashing_part('a2')

    def crash_engines(self, count=PART_CRASH_COUNT):
        for _ in range(count):
            self.promises.record_part_crash(PART)

    def send_sound(self, count, later_ms, runs=()):
        """Send prompts without the part."""
        sent_ms = self.now_ms + later_ms
        for _ in range(count):
            attempt = Attempt('a3', 'ask', 'k1', 'w1', 'i1', sent_ms)
            attempt.runs.extend(runs)
            self.promises.record_sound_prompt(attempt, PART)

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


def test_cut_answer_of_a_sound_target_is_a_breach():
    checked = CheckedRun('ask')
    checked.promises.check_cut(checked.attempt)
    assert checked.rules == []
    checked.run()
    checked.promises.check_cut(checked.attempt)
    assert checked.rules == ['CUT']


@pytest.mark.parametrize('cause', ['crash', 'drain', 'disturbance'])
def test_cut_answer_with_a_cause_outside_the_instance_is_no_breach(cause):
    checked = CheckedRun('ask')
    checked.run('t1')
    checked.run('t2')
    if cause == 'crash':
        checked.promises.crashed_targets.add('t1')
    elif cause == 'drain':
        checked.promises.leaving_ms_by_target['t2'] = checked.now_ms
    else:
        checked.promises.record_disturbance('')
    checked.promises.check_cut(checked.attempt)
    assert checked.rules == []


def test_many_requests_with_a_known_crashing_part_are_a_breach():
    checked = CheckedRun()
    checked.crash_engines()
    for _ in range(MAX_LATE_PART_COUNT):
        checked.send_part(CONTACT_MS + 1)
    assert checked.rules == []
    checked.send_part(CONTACT_MS + 1)
    assert checked.rules == ['BUDGET']


@pytest.mark.parametrize(
    'excuse', ['fresh', 'few crashes', 'other part', 'sound', 'disturbed']
)
def test_requests_with_a_part_not_yet_known_are_no_breach(excuse):
    checked = CheckedRun()
    checked.crash_engines(PART_CRASH_COUNT - (excuse == 'few crashes'))
    if excuse == 'disturbed':
        disturbed_ms = checked.now_ms + 1
        checked.promises.disturbed_ms_by_instance['i1'] = disturbed_ms
    part = {'other part': 'cafe', 'sound': ''}.get(excuse, PART)
    for _ in range(MAX_LATE_PART_COUNT + 1):
        checked.send_part(CONTACT_MS + (excuse != 'fresh'), part)
    assert checked.rules == []


@pytest.mark.parametrize(
    ('begun_count', 'later_ms', 'rules'),
    [
        (MIN_SOUND_COUNT // 2, 2 * CONTACT_MS + 1, []),
        (MIN_SOUND_COUNT // 2 - 1, 2 * CONTACT_MS + 1, ['HELD']),
        (0, 2 * CONTACT_MS, []),
    ],
)
def test_sound_prompts_held_beside_a_crashing_part_are_a_breach(
    begun_count, later_ms, rules
):
    checked = CheckedRun()
    checked.crash_engines()
    checked.send_sound(begun_count, later_ms, ['t1'])
    checked.send_sound(MIN_SOUND_COUNT - begun_count, later_ms)
    checked.promises.check_sound_prompts()
    assert checked.rules == rules


@pytest.mark.parametrize(
    ('status', 'seal', 'body', 'is_whole', 'rules'),
    [
        (404, 't1.1', BODY, True, []),
        (404, 't1.1', BODY[:5], False, []),
        (404, 't1.1', BODY[:5], True, ['MIXED']),
        (404, 't1.1', BODY + b'HTTP/1.1 404', True, ['MIXED']),
        (404, 't1.1', b'answer to a2', False, ['MIXED']),
        (200, 't1.1', BODY, True, ['MIXED']),
        (404, 't1.2', BODY, True, ['MIXED']),
        (404, 't1.3', BODY, True, ['MIXED']),
        (200, '', BODY, True, ['MIXED']),
    ],
)
def test_an_answer_that_its_target_did_not_send_is_a_breach(
    status, seal, body, is_whole, rules
):
    checked = CheckedRun()
    for signed, attempt in (('t1.1', 'a1'), ('t1.2', 'a2')):
        checked.promises.record_answer(Answer(attempt, signed, 404, BODY))
    checked.promises.check_signed(
        checked.attempt, status, seal, body, is_whole=is_whole
    )
    assert checked.rules == rules


@pytest.mark.parametrize('is_whole', [True, False])
def test_an_answer_that_its_target_broke_off_is_not_whole(is_whole):
    checked = CheckedRun()
    answer = Answer('a1', 't1.1', 200, BODY)
    answer.is_whole, answer.may_be_cut = False, True
    checked.promises.record_answer(answer)
    checked.promises.check_signed(
        checked.attempt, 200, 't1.1', BODY, is_whole=is_whole
    )
    checked.run('t1')
    checked.promises.check_cut(checked.attempt)
    checked.promises.check_lost(checked.attempt, 'read')
    assert checked.rules == ['MIXED'] * is_whole


def test_an_event_that_no_target_sent_is_a_breach():
    checked = CheckedRun('ask')
    checked.promises.versions_by_event['a1', 1] = {'v1'}
    checked.attempt.events = [('a1', 1)]
    checked.promises.check_versions(checked.attempt)
    assert checked.rules == []
    checked.attempt.events.append(('a1', 2))
    checked.promises.check_versions(checked.attempt)
    assert checked.rules == ['MIXED']
