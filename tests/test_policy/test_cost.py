from random import Random

import pytest

from cicadahoist.policy.cost import MAX_PAIRS, CostModel, LengthSketch
from cicadahoist.policy.prefix import (
    BLOCK_BYTES,
    BLOCK_TOKENS,
    PrefixIndex,
    hash_blocks,
)


@pytest.mark.parametrize('share', [0.1, 0.5, 0.9])
def test_quantiles_are_within_a_bin(share):
    rng = Random(1)
    lengths = [rng.randint(20, 2000) for _ in range(400)]
    sketch = LengthSketch()
    for length in lengths:
        sketch.add(length)
    recent = sorted(lengths[-100:])
    exact = recent[int(share * len(recent))]
    assert exact / 2 <= sketch.estimate_quantile(share) <= exact * 2


def test_estimates_follow_a_change_of_length():
    costs = CostModel()
    for _ in range(200):
        costs.observe('w', 'r', 100, 50)
    for _ in range(80):
        costs.observe('w', 'r', 100, 800)
    assert costs.estimate('w', 'r', 100, 0, 0).decode_tokens > 400


def test_estimates_differ_by_workspace_and_respect_bounds():
    costs = CostModel()
    for _ in range(50):
        costs.observe('long', 'r', 100, 1000)
        costs.observe('short', 'r', 100, 10)
    assert costs.estimate('long', 'r', 0, 0, 0).decode_tokens > 700
    assert costs.estimate('short', 'r', 0, 0, 0).decode_tokens < 15
    assert costs.estimate('long', 'r', 0, 0, 64).decode_tokens == 64
    assert costs.estimate('long', 'r', 100, 300, 0).prefill_tokens == 0


def test_the_number_of_pairs_is_bounded():
    costs = CostModel()
    for number in range(MAX_PAIRS + 10):
        costs.observe(f'w{number}', 'r', 1, 1000)
    assert costs.estimate('w0', 'r', 0, 0, 0).decode_tokens < 700
    newest = f'w{MAX_PAIRS + 9}'
    assert costs.estimate(newest, 'r', 0, 0, 0).decode_tokens > 700


def test_only_a_common_prefix_counts_as_cached():
    start, middle = b'a' * BLOCK_BYTES, b'b' * BLOCK_BYTES
    index = PrefixIndex()
    index.record_stored('engine-0', hash_blocks(start + middle))
    same_start = hash_blocks(start + b'c' * BLOCK_BYTES)
    assert index.find_cached_tokens(same_start) == {'engine-0': BLOCK_TOKENS}
    assert index.find_cached_tokens(hash_blocks(middle + start)) == {}


def test_gaps_in_cache_events_cost_at_most_the_rest_of_a_prefix():
    blocks = hash_blocks(bytes(5 * BLOCK_BYTES))
    index = PrefixIndex()
    index.record_stored('engine-0', blocks)
    index.record_evicted('engine-0', blocks[2])
    assert index.find_cached_tokens(blocks) == {'engine-0': 2 * BLOCK_TOKENS}
    index.forget_target('engine-0')
    assert index.find_cached_tokens(blocks) == {}
