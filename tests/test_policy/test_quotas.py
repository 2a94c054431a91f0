"""
Tests of the parts of quotas that decide (docs/design/quotas.md).

Each guards against tokens that are counted twice: by returns, by a process that
forgot what the one before it had delegated, or by old lists of instances.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadahoist.policy.quotas.bucket import NO_SHARE_WAIT_MS, QuotaBucket
from cicadahoist.policy.quotas.delegations import (
    CLAIM_MEMORY_MS,
    LEASE_MS,
    Claim,
    Delegations,
    compute_rank,
)
from cicadahoist.policy.quotas.home import QuotaHome
from cicadahoist.policy.quotas.limit import (
    QuotaLimit,
    QuotaTerms,
    compute_allowed,
)
from cicadahoist.policy.quotas.roster import (
    COUNT_MEMORY_MS,
    NEW_PEER_MS,
    QuotaRoster,
)
from cicadahoist.rules import Quota

LIMIT = QuotaLimit(
    tokens_per_ms=1, capacity_tokens=1000, overdraft_tokens=0, window_ms=8000
)
HOMES = sorted(('i1', 'i2', 'i3'), key=lambda name: compute_rank('w', name))


def claim(delegations, home, now_ms):
    delegations.record_claim('w', home, Claim('t', now_ms, now_ms))
    return delegations.try_delegate('w', home, now_ms)


def fill(bucket, now_ms, share=1.0):
    bucket.settle(LIMIT, share, now_ms)


STEPS = st.lists(
    st.tuples(
        st.sampled_from([0, 1, 100, 300, 700]),
        st.sampled_from([1.0, 1.0, 1.0, 0.5, 0.2]),
        st.sampled_from([100, 300, 700, 1000]),
        # Steps after which the grant is returned, none if it runs.
        st.none() | st.integers(1, 6),
    ),
    max_size=30,
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(steps=STEPS)
def test_returned_tokens_let_no_window_have_more_than_a_bucket(steps):
    bucket = QuotaBucket(LIMIT, 0)
    now_ms = 2000
    fill(bucket, 0)
    fill(bucket, now_ms)
    used = []
    returns_by_step = {}
    for number, (wait_ms, share, tokens, return_after) in enumerate(steps):
        now_ms += wait_ms
        fill(bucket, now_ms, share)
        for taken in returns_by_step.pop(number, ()):
            bucket.give_back(taken)
        taken = bucket.try_take(tokens)
        if taken is not None and return_after is None:
            used.append((now_ms, tokens))
        elif taken is not None:
            returns = returns_by_step.setdefault(number + return_after, [])
            returns.append(taken)
    for start, (start_ms, _) in enumerate(used):
        total = 0
        for end_ms, tokens in used[start:]:
            total += tokens
            assert total <= 1000 + (end_ms - start_ms) + 1e-6


def test_tokens_that_are_returned_soon_can_be_used_again():
    bucket = QuotaBucket(LIMIT, 0)
    fill(bucket, 2000)
    fill(bucket, 2000)
    taken = bucket.try_take(1000)
    fill(bucket, 2050)
    bucket.give_back(taken)
    assert bucket.try_take(1000) is not None


def test_later_callers_get_a_later_time_at_the_rate_of_the_quota():
    bucket = QuotaBucket(LIMIT, 0)
    fill(bucket, 0)
    waits = [bucket.plan_wait_ms(500, 0) for _ in range(4)]
    assert waits == [500, 1000, 1500, 2000]
    fill(bucket, 500)
    assert bucket.try_take(500) is not None


def test_a_request_larger_than_the_shares_held_comes_back_when_they_moved():
    bucket = QuotaBucket(LIMIT, 0)
    fill(bucket, 0, share=0.1)
    assert bucket.plan_wait_ms(500, 0) == NO_SHARE_WAIT_MS


def test_a_share_is_delegated_to_one_home_at_a_time():
    delegations = Delegations(0)
    delegations.mark_first_start()
    first, second, _ = HOMES
    assert claim(delegations, second, 0)
    # The first in rank gets it once the lease of the other has ended.
    assert not claim(delegations, first, 1000)
    assert not claim(delegations, second, 1000)
    assert not claim(delegations, first, LEASE_MS - 1)
    assert claim(delegations, first, LEASE_MS)
    delegations.release('w', first)
    assert delegations.find_home('w', LEASE_MS)[0] == second
    assert claim(delegations, second, LEASE_MS + 1)


def test_a_home_that_claims_no_more_leaves_its_place_to_the_second():
    delegations = Delegations(0)
    delegations.mark_first_start()
    first, second, _ = HOMES
    assert claim(delegations, first, 0)
    assert not claim(delegations, second, CLAIM_MEMORY_MS + 1)
    assert claim(delegations, second, LEASE_MS)


def test_a_process_started_again_delegates_nothing_for_a_lease():
    delegations = Delegations(5000)
    assert not claim(delegations, HOMES[0], 5000 + LEASE_MS - 1)
    assert claim(delegations, HOMES[0], 5000 + LEASE_MS)
    assert not delegations.try_give_overdraft('w', 5000 + 15_999)
    assert delegations.try_give_overdraft('w', 5000 + 16_000)
    assert not delegations.try_give_overdraft('w', 5000 + 31_999)


def test_a_home_that_stood_still_has_no_shares_left():
    home = QuotaHome(LIMIT, 0)
    home.update(LIMIT, 2, 0)
    for name in ('i1', 'i2'):
        home.apply_delegation(name, 0, 1, has_share=True, has_overdraft=False)
    assert home.compute_share(1000) == 1
    assert home.compute_share(LEASE_MS) == 0
    # Answers to claims from before arrive late.
    home.apply_delegation(
        'i1', 0, LEASE_MS, has_share=True, has_overdraft=False
    )
    assert home.compute_share(LEASE_MS) == 0


def test_answers_to_claims_from_before_a_release_do_not_count():
    home = QuotaHome(LIMIT, 0)
    home.update(LIMIT, 1, 0)
    home.apply_delegation('i1', 0, 0, has_share=True, has_overdraft=False)
    home.drop_delegations(500)
    home.apply_delegation('i1', 400, 501, has_share=True, has_overdraft=False)
    assert home.compute_share(501) == 0


def test_a_question_that_is_repeated_is_granted_once():
    home = QuotaHome(LIMIT, 0)
    home.update(LIMIT, 1, 0)
    home.apply_delegation('i1', 0, 0, has_share=True, has_overdraft=False)
    first = ('i2', 't', 1)
    assert home.ask(first, 800, 900).wait_ms is None
    assert home.ask(first, 800, 910).wait_ms is None
    assert home.ask(('i2', 't', 2), 100, 910).wait_ms is None
    assert home.ask(('i2', 't', 3), 800, 910).wait_ms
    assert home.give_back(first, 911)
    assert not home.give_back(first, 911)


def test_the_highest_number_of_instances_that_anyone_knows_counts():
    roster = QuotaRoster('i1', lambda name, now_ms: True)
    assert roster.count_instances(0) == 0
    roster.set_peers(['i2', 'i3', 'i4'], 0)
    roster.record_count(10, 100)
    assert roster.count_instances(200) == 10
    later_ms = 101 + COUNT_MEMORY_MS
    assert roster.count_instances(later_ms) == 4
    # Leases outlive the records of the instances that gave them.
    roster.set_peers([], later_ms)
    assert roster.count_instances(later_ms + 100) == 4


def test_a_new_peer_is_a_home_before_it_is_heard():
    roster = QuotaRoster('i1', lambda name, now_ms: False)
    roster.set_peers(['i2', 'i3'], 0)
    assert roster.list_homes('w', 3, 100) == HOMES
    assert roster.list_homes('w', 3, NEW_PEER_MS + 1) == ['i1']


def test_the_slack_counts_for_quotas_in_tokens_only():
    terms = QuotaTerms()
    requests = Quota(tokens_per_s=3, burst_tokens=3)
    tokens = Quota(tokens_per_s=3, burst_tokens=3, counts_tokens=True)
    assert compute_allowed(requests, terms) == 27 * 1.1
    assert compute_allowed(tokens, terms) == 27 * 1.1 + 120_000
