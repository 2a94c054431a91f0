"""
Cut-off instances have to serve first tries, at two thirds of the others' rate.

Counts that miss tries, or excuse those that fail, would let a soak pass with
instances that refuse everything while they reach no target.
"""

import pytest

from soak.cuts import MAX_FAILED_COUNT, Cut
from soak.promises import CONTACT_MS, Attempt, PromiseChecker


class CutCase:
    """A cut of one of two instances."""

    def __init__(self, *, checks_times=True):
        self.now_ms = 100_000
        self.promises = PromiseChecker(
            lambda: self.now_ms, checks_times=checks_times
        )
        self.cut = Cut(self.promises, ['i1'], 'hang')
        self.cut.begin([])
        self.now_ms += CONTACT_MS + 1
        self.sent = 0

    def send(self, instance, served, failed):
        for number in range(served + failed):
            self.sent += 1
            attempt = Attempt(
                f'a{self.sent}', 'lookup', 'k1', 'w1', instance, self.now_ms
            )
            self.cut.record_try(instance, attempt.attempt_id)
            if number < served:
                self.cut.record_served(attempt)

    @property
    def rules(self):
        self.cut.check()
        return [
            entry.split()[1].rstrip(':') for entry in self.promises.breaches
        ]


@pytest.mark.parametrize(
    ('served', 'failed', 'rules'),
    [
        (65, 35, ['PARTITION']),
        (67, 33, []),
        (0, MAX_FAILED_COUNT, []),
        (0, MAX_FAILED_COUNT + 1, ['PARTITION']),
    ],
)
def test_fewer_first_tries_served_than_at_others_are_a_breach(
    served, failed, rules
):
    case = CutCase()
    case.send('i1', served, failed)
    case.send('i2', 100, 0)
    assert case.rules == rules


def test_failures_at_all_instances_alike_are_no_breach():
    case = CutCase()
    case.send('i1', 40, 60)
    case.send('i2', 50, 50)
    assert case.rules == []


def test_callers_that_cannot_connect_are_counted():
    case = CutCase()
    for _ in range(MAX_FAILED_COUNT + 1):
        case.cut.record_try('i1')
    case.send('i2', 100, 0)
    assert case.rules == ['PARTITION']


@pytest.mark.parametrize('when', ['before contact', 'after the cut'])
def test_tries_outside_the_judged_time_are_not_counted(when):
    case = CutCase()
    if when == 'before contact':
        case.now_ms -= 1
    else:
        case.cut.heal([])
    case.send('i1', 0, 100)
    case.send('i2', 100, 0)
    assert case.rules == []
    assert not case.cut.cut_off.sent


def test_cut_off_instances_are_disturbed_until_the_cut_ends():
    case = CutCase()
    since_ms = case.now_ms + 10 * CONTACT_MS
    assert not case.promises.is_undisturbed('i1', since_ms)
    assert case.promises.is_undisturbed('i2', since_ms)
    case.cut.heal([])
    assert case.promises.is_undisturbed('i1', since_ms)


def test_time_bounds_are_not_checked_if_switched_off():
    case = CutCase(checks_times=False)
    case.send('i1', 0, 100)
    case.send('i2', 100, 0)
    assert case.rules == []
