"""
Tests of quotas over many instances (docs/design/quotas.md).

They guard against more than the rule QUOTA allows in any window of 8 s,
whatever fails meanwhile, and against refusals below the limit in calm.
"""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadahoist.policy.quotas.delegations import compute_rank
from cicadahoist.policy.quotas.limit import QuotaTerms
from tests.test_serving.quota_fleet import WORKSPACE, QuotaFleet, token_quota

LOWEST = token_quota(29_000)
HIGHEST = token_quota(1_054_375)
REQUEST_TOKENS = 9000
WARM_UP_MS = 4000
# Without the slack, which is large for quotas of this size, one home too many
# shows within a second.
STRICT = QuotaTerms(slack_tokens=0)


def play(fleet, duration_ms, load=6.0, names=None, returned=0.1):
    """Send several times the quota, and return the worst window's share."""
    per_s = load * fleet.quota.tokens_per_s / REQUEST_TOKENS
    fleet.send_load(duration_ms, per_s, REQUEST_TOKENS, names, returned)
    fleet.run(duration_ms)
    return fleet.find_excess()


def test_a_workspace_below_its_limit_is_not_refused_in_calm():
    fleet = QuotaFleet(74, LOWEST)
    fleet.run(WARM_UP_MS)
    # The usual rate: the quota is 1.8 times as high.
    play(fleet, 60_000, load=1 / 1.8, returned=0)
    assert not fleet.refused


# Peers list an instance some seconds after its start.
def test_callers_of_an_instance_that_joins_are_not_refused():
    fleet = QuotaFleet(74, LOWEST)
    fleet.run(WARM_UP_MS)
    fleet.at(0, fleet.start, 'new', 'a')
    fleet.run(500)
    fleet.send_load(4000, requests_per_s=10, tokens=1500, names=['new'])
    fleet.run(4000)
    assert fleet.runs
    assert not fleet.refused


@pytest.mark.parametrize('size', [8, 74, 195])
@pytest.mark.parametrize('quota', [LOWEST, token_quota(200_000)])
def test_a_hot_workspace_gets_nine_tenths_of_its_limit(size, quota):
    fleet = QuotaFleet(size, quota)
    fleet.run(WARM_UP_MS)
    duration_ms = 16_000
    assert play(fleet, duration_ms, load=5, returned=0) <= 1
    used = sum(run.tokens for run in fleet.runs)
    assert used >= 0.9 * quota.tokens_per_s * duration_ms / 1000


def test_callers_at_one_instance_get_the_whole_limit_and_no_more():
    fleet = QuotaFleet(74, LOWEST)
    fleet.run(WARM_UP_MS)
    assert play(fleet, 16_000, names=['i5'], returned=0) <= 1
    assert sum(run.tokens for run in fleet.runs) >= 0.9 * 16 * 29_000


@pytest.mark.parametrize('size', [74, 195])
def test_all_killed_at_once_and_back_stay_within_the_limit(size):
    fleet = QuotaFleet(size, token_quota(200_000), terms=STRICT)
    fleet.run(WARM_UP_MS)
    for name in list(fleet.by_name):
        fleet.at(6000, fleet.restart, name, fleet.random.uniform(300, 2500))
    assert play(fleet, 20_000) <= 1


@pytest.mark.parametrize('duration_ms', [500, 2500, 4000, 9000])
def test_a_frozen_home_that_wakes_grants_nothing_twice(duration_ms):
    fleet = QuotaFleet(74, token_quota(200_000), terms=STRICT)
    fleet.run(WARM_UP_MS)
    home = fleet.find_home()
    fleet.at(5000, fleet.freeze, home, duration_ms)
    assert play(fleet, 20_000) <= 1


@pytest.mark.parametrize('zone', ['a', 'b', 'c'])
def test_a_zone_that_is_cut_off_adds_nothing(zone):
    fleet = QuotaFleet(74, token_quota(200_000), terms=STRICT)
    fleet.run(WARM_UP_MS)
    fleet.at(5000, fleet.cut, zone, 7000)
    assert play(fleet, 24_000) <= 1


# Two instances that hear all others, and not each other, are both first in
# rank as far as they can hear.
def test_two_homes_that_do_not_hear_each_other_share_the_quota():
    fleet = QuotaFleet(74, token_quota(200_000), terms=STRICT)
    fleet.run(WARM_UP_MS)
    first, second = sorted(
        fleet.by_name, key=lambda name: compute_rank(WORKSPACE, name)
    )[:2]
    fleet.at(3000, fleet.cut_link, first, second, 10_000)
    assert play(fleet, 20_000, returned=0) <= 1
    used = sum(run.tokens for run in fleet.runs)
    assert used >= 0.9 * 200_000 * 20


def test_the_highest_quota_holds_while_homes_are_killed():
    fleet = QuotaFleet(24, HIGHEST)
    fleet.run(WARM_UP_MS)
    fleet.at(3000, lambda: fleet.restart(fleet.find_home(), 1000))
    fleet.at(6000, lambda: fleet.kill(fleet.find_home()))
    assert play(fleet, 14_000, load=4) <= 1


def strike(fleet, kind, random):
    """Let one thing go wrong, or change."""
    name = random.choice(sorted(fleet.by_name))
    running = [
        name for name in fleet.by_name if fleet.by_name[name].still_ms is None
    ]
    if random.random() < 0.5 and running:
        name = fleet.find_home() if fleet.registered & set(running) else name
    match kind:
        case 'restart':
            fleet.restart(name, random.uniform(300, 4000))
        case 'restart-all':
            for each in list(fleet.by_name):
                fleet.restart(each, random.uniform(300, 2500))
        case 'join':
            fleet.start(f'n{fleet.now_ms}', random.choice('abc'))
        case 'stop':
            fleet.stop(name)
        case 'freeze':
            fleet.freeze(name, random.uniform(200, 10_000))
        case 'cut':
            fleet.cut(random.choice('abc'), random.uniform(500, 12_000))
        case 'cut-link':
            peer = random.choice(sorted(fleet.by_name))
            fleet.cut_link(name, peer, random.uniform(500, 12_000))
        case 'configure':
            rate = random.choice([29_000, 80_000, 300_000, None])
            fleet.configure(rate and token_quota(rate))
        case 'store':
            fleet.is_store_down = not fleet.is_store_down


KINDS = [
    'restart',
    'restart-all',
    'join',
    'stop',
    'freeze',
    'cut',
    'cut-link',
    'configure',
    'store',
]


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10_000),
    size=st.integers(2, 14),
    loss=st.sampled_from([0.0, 0.02, 0.3]),
    strikes=st.lists(
        st.tuples(st.integers(0, 22_000), st.sampled_from(KINDS)), max_size=12
    ),
)
def test_no_window_has_more_than_the_rule_allows(seed, size, loss, strikes):
    fleet = QuotaFleet(size, token_quota(120_000), seed, loss, STRICT)
    random = Random(seed)
    for at_ms, kind in strikes:
        fleet.at(at_ms, strike, fleet, kind, random)
    assert play(fleet, 26_000, load=4) <= 1
