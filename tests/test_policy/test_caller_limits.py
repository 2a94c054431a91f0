"""
Tests of the limits on callers beside new configurations.

They guard against limits that hold for callers which cannot know them yet.
"""

from cicadahoist.policy.caller_admission.caller_limits import CallerLimitHistory
from cicadahoist.rules import CallerLimits

NOTICE_MS = 2000
LONG = CallerLimits(idle_timeout_ms=20_000, body_bytes=1000)
SHORT = CallerLimits(idle_timeout_ms=4000, body_bytes=5000)


def make_history(*changes):
    history = CallerLimitHistory(NOTICE_MS)
    for now_ms, limits in changes:
        history.apply(limits, now_ms)
    return history


def test_each_limit_is_the_widest_that_the_caller_may_know():
    history = make_history((0, LONG), (50_000, SHORT))
    limits = history.get_since(50_000)
    assert limits.idle_timeout_ms == 20_000
    assert limits.body_bytes == 5000


def test_a_limit_holds_alone_once_callers_have_heard_of_it():
    history = make_history((0, LONG), (50_000, SHORT))
    assert history.get_since(50_000 + NOTICE_MS) != SHORT
    assert history.get_since(50_001 + NOTICE_MS) == SHORT


def test_a_limit_that_was_in_force_for_a_moment_counts():
    history = make_history((0, SHORT), (50_000, LONG), (50_010, SHORT))
    assert history.get_since(51_000).idle_timeout_ms == 20_000


def test_the_same_limits_in_a_new_version_change_nothing():
    history = make_history((0, LONG), (50_000, SHORT), (52_500, SHORT))
    assert history.get_since(53_000) == SHORT


def test_the_history_of_many_changes_is_bounded():
    history = make_history(
        *((number * 1000, (LONG, SHORT)[number % 2]) for number in range(999))
    )
    assert len(history._replaced) < 30
