"""
Tests of the trust in a configuration.

They guard against a withdrawn key that works at an instance which starts while
the store has an older configuration (CONFIG), and against needless refusals.
"""

import pytest

from cicadahoist.policy.caller_admission.config_currency import (
    HEAR_TIMEOUT_MS,
    MAX_LAG_MS,
    ConfigCurrency,
)


@pytest.fixture
def currency():
    return ConfigCurrency()


def test_nothing_is_relied_on_before_the_first_version(currency):
    currency.record_told(9, 0)
    assert not currency.is_reliable(10, has_peers=True)


# Guards against an older version that the store came back with.
def test_a_first_version_that_others_have_left_is_not_relied_on(currency):
    currency.record_own(8, 0)
    currency.record_told(9, 50)
    currency.record_told(7, 60)
    for now_ms in (60, MAX_LAG_MS + 60, 60_000):
        assert not currency.is_reliable(now_ms, has_peers=True)
    currency.record_own(9, 60_000)
    assert currency.is_reliable(60_000, has_peers=True)


# Guards against the time before the first report of others.
def test_an_instance_that_starts_waits_to_hear_of_others(currency):
    currency.record_own(8, 100)
    assert not currency.is_reliable(100, has_peers=True)
    assert currency.is_reliable(100, has_peers=False)
    assert not currency.is_reliable(99 + HEAR_TIMEOUT_MS, has_peers=True)
    assert currency.is_reliable(100 + HEAR_TIMEOUT_MS, has_peers=True)
    currency.record_told(8, 200)
    assert currency.is_reliable(200, has_peers=True)


# Guards against another instance that has started with the older version, too.
def test_a_newer_version_counts_whoever_is_heard_first(currency):
    currency.record_own(8, 0)
    currency.record_told(8, 100)
    assert currency.is_reliable(100, has_peers=True)
    currency.record_told(9, 400)
    assert not currency.is_reliable(400, has_peers=True)


# Guards against refusals each time that others apply a version first, the
# first time included.
@pytest.mark.parametrize('has_changed', [True, False])
def test_an_instance_that_runs_may_lag(currency, has_changed):
    currency.record_own(7, 0)
    currency.record_told(7, 10)
    own = 7
    if has_changed:
        own = 8
        currency.record_own(own, 2000)
    currency.record_told(own + 1, 5000)
    assert currency.is_reliable(5000 + MAX_LAG_MS - 1, has_peers=True)
    assert not currency.is_reliable(5000 + MAX_LAG_MS, has_peers=True)
    currency.record_own(own + 1, 7000)
    assert currency.is_reliable(7000, has_peers=True)
