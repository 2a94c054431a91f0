"""
What callers of the soak may rely on while limits change.

Limits that are promised for too long make sound programs break promises; for
too short a time, a program that closes kept connections too early passes.
"""

import random

import pytest

from soak.limits import CONFIG_MS, USED_SHARE, Limits, PublishedLimits

NAME = 'idle_timeout_ms'
LONG_MS, SHORT_MS = 10_000, 2000


class ChangedLimits:
    """Limits that were changed at a time that the test sets."""

    def __init__(self, before_ms, after_ms):
        self.now_ms = 50_000
        self.published = PublishedLimits(lambda: self.now_ms)
        self.published.publish(Limits(idle_timeout_ms=before_ms))
        self.now_ms += 50_000
        self.published.publish(Limits(idle_timeout_ms=after_ms))

    def find_promised(self, later_ms, delay_ms):
        self.now_ms += later_ms
        return self.published.find_promised(NAME, delay_ms)


@pytest.mark.parametrize(
    ('later_ms', 'delay_ms', 'limit_ms'),
    [
        (0, 500, LONG_MS),
        (499, 500, LONG_MS),
        (500, 500, SHORT_MS),
        (CONFIG_MS - 1, CONFIG_MS, LONG_MS),
        (CONFIG_MS, CONFIG_MS, SHORT_MS),
    ],
)
def test_a_shorter_limit_binds_callers_that_have_heard_of_it(
    later_ms, delay_ms, limit_ms
):
    changed = ChangedLimits(LONG_MS, SHORT_MS)
    promised_ms = changed.find_promised(later_ms, delay_ms)
    assert promised_ms == USED_SHARE * limit_ms


@pytest.mark.parametrize(
    ('later_ms', 'limit_ms'),
    [(0, SHORT_MS), (CONFIG_MS - 1, SHORT_MS), (CONFIG_MS, LONG_MS)],
)
def test_a_longer_limit_is_promised_once_instances_must_know_it(
    later_ms, limit_ms
):
    changed = ChangedLimits(SHORT_MS, LONG_MS)
    assert changed.find_promised(later_ms, 100) == USED_SHARE * limit_ms


def test_chosen_limits_follow_from_the_seed():
    chosen = [Limits.choose(random.Random(7)) for _ in range(2)]
    assert chosen[0] == chosen[1]
