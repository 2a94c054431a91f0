from hypothesis import given
from hypothesis import strategies as st

from cicadahoist.policy.retry_share import RetryShares, RetryTerms
from cicadahoist.policy.true_time import TrueTime

TERMS = RetryTerms(0.2, 58, 10_000)


@given(
    st.lists(
        st.tuples(st.integers(0, 8), st.integers(0, 400), st.booleans()),
        max_size=400,
    )
)
def test_repeats_of_all_instances_stay_within_every_sliding_window(steps):
    shares = [RetryShares(TERMS) for _ in range(9)]
    for share in shares:
        share.instance_count = 9
    now_ms = 0
    requests, retries = [], []
    for number, pause_ms, is_retry in steps:
        now_ms += pause_ms
        if not is_retry:
            shares[number].record_request('s', now_ms)
            requests.append(now_ms)
        elif shares[number].try_spend_retry('s', now_ms):
            retries.append(now_ms)
    for end_ms in retries:
        window = [at for at in retries if end_ms - 10_000 < at <= end_ms]
        # The buckets may reach back into the window before.
        counted_requests = [
            at for at in requests if end_ms - 20_000 < at <= end_ms
        ]
        assert len(window) <= 0.2 * len(counted_requests) + 58


def test_each_service_has_its_own_budget():
    shares = RetryShares(RetryTerms(0, 10, 10_000))
    shares.instance_count = 1
    spent_count = sum(shares.try_spend_retry('s', 0) for _ in range(20))
    assert 0 < spent_count <= 10
    assert shares.try_spend_retry('other', 0)


def test_budgets_refill_over_time():
    shares = RetryShares(RetryTerms(0, 10, 10_000))
    while shares.try_spend_retry('s', 0):
        continue
    assert shares.try_spend_retry('s', 12_000)


def test_a_step_of_the_wall_clock_moves_no_billing_window():
    steady, wall = [0], [1_000_000]
    time = TrueTime(lambda: steady[0], lambda: wall[0])
    wall[0] += 7000
    steady[0] += 100
    assert time.now_ms() == 1_000_100


def test_an_instance_that_starts_with_a_wrong_clock_follows_its_peers():
    steady = [0]
    time = TrueTime(lambda: steady[0], lambda: 1_002_400)
    for peer in ('p1', 'p2', 'p3'):
        time.record_peer_time(peer, 1_000_000)
    assert time.now_ms() == 1_000_000


def test_one_wrong_peer_is_outvoted_and_readings_of_silent_peers_expire():
    steady = [0]
    time = TrueTime(lambda: steady[0], lambda: 1_000_000)
    time.record_peer_time('p1', 1_002_400)
    time.record_peer_time('p2', 1_000_001)
    assert time.now_ms() == 1_000_001
    steady[0] = 4000
    time.record_peer_time('p3', 1_004_002)
    assert time.now_ms() == 1_004_001
