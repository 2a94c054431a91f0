from random import Random

from cicadahoist.policy.retries import (
    BACKOFF_MAX_MS,
    MAX_ATTEMPTS,
    RetryBudgets,
)
from cicadahoist.table import Route

CHAT = Route(name='chat', pool='engines')
BOOKING = Route(name='booking', pool='services', repeatable=False)


def test_the_loss_of_a_zone_causes_no_retry_storm():
    budgets = RetryBudgets(Random(1))
    retry_count = 0
    for number in range(10_000):
        budgets.record_first_attempt(CHAT, number)
        attempts = 1
        while (
            budgets.plan_retry_ms(CHAT, attempts, number, not_run=False)
            is not None
        ):
            attempts += 1
            retry_count += 1
    assert 900 <= retry_count <= 1100


def test_a_quiet_route_may_still_retry():
    budgets = RetryBudgets(Random(1))
    for hour in range(5):
        now_ms = hour * 3_600_000
        budgets.record_first_attempt(CHAT, now_ms)
        delay_ms = budgets.plan_retry_ms(CHAT, 1, now_ms, not_run=False)
        assert delay_ms is not None


def test_unrepeatable_routes_are_retried_only_if_not_run():
    budgets = RetryBudgets(Random(1))
    budgets.record_first_attempt(BOOKING, 0)
    assert budgets.plan_retry_ms(BOOKING, 1, 0, not_run=False) is None
    assert budgets.plan_retry_ms(BOOKING, 1, 0, not_run=True) is not None


def test_attempts_are_bounded_and_delays_spread():
    budgets = RetryBudgets(Random(1))
    delays_ms = set()
    for number in range(3000):
        budgets.record_first_attempt(CHAT, number)
    for attempts in range(1, MAX_ATTEMPTS):
        for _ in range(20):
            delay_ms = budgets.plan_retry_ms(CHAT, attempts, 0, not_run=False)
            delays_ms.add(delay_ms)
            assert 0 <= delay_ms <= BACKOFF_MAX_MS
    assert len(delays_ms) > 20
    delay_ms = budgets.plan_retry_ms(CHAT, MAX_ATTEMPTS, 0, not_run=False)
    assert delay_ms is None


def test_one_route_does_not_spend_the_budget_of_another():
    budgets = RetryBudgets(Random(1))
    lookup = Route(name='lookup', pool='services')
    for number in range(100):
        budgets.plan_retry_ms(CHAT, 1, number, not_run=False)
    assert budgets.plan_retry_ms(CHAT, 1, 100, not_run=False) is None
    assert budgets.plan_retry_ms(lookup, 1, 100, not_run=False) is not None
