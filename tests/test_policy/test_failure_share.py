"""
Tests of targets that fail some of their requests.

The load: a service of three targets of which one fails nearly half of its
requests while its health check is good (gray failure). They guard against both
tries of a request at such a target, and against leaving a target for good.
"""

import random

from cicadahoist.policy.failure_share import FailureShare


def test_a_target_without_failures_is_not_failing():
    share = FailureShare()
    for now_ms in range(0, 5000, 100):
        share.record(now_ms, is_failure=False)
    assert not share.is_failing(5000)


def test_one_failure_does_not_count():
    share = FailureShare()
    share.record(0, is_failure=True)
    assert not share.is_failing(0)


def test_two_failures_in_a_row_count():
    share = FailureShare()
    share.record(0, is_failure=True)
    share.record(50, is_failure=True)
    assert share.is_failing(50)


def test_a_target_that_fails_nearly_half_is_found_within_a_dozen_requests():
    for seed in range(20):
        rng = random.Random(seed)
        share = FailureShare()
        found_after = None
        for number in range(40):
            share.record(number * 100, is_failure=rng.random() < 0.45)
            if share.is_failing(number * 100):
                found_after = number
                break
        assert found_after is not None
        assert found_after <= 20


def test_a_target_that_fails_few_requests_is_kept():
    rng = random.Random(4)
    share = FailureShare()
    failing = 0
    for number in range(400):
        share.record(number * 100, is_failure=rng.random() < 0.02)
        failing += share.is_failing(number * 100)
    assert failing <= 20


def test_a_failing_target_is_tried_again_after_some_time():
    share = FailureShare()
    for now_ms in range(0, 1000, 100):
        share.record(now_ms, is_failure=True)
    assert share.is_failing(1000)
    assert not share.is_failing(9000)
