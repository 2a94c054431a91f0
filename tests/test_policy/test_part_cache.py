"""Pattern: ledgers of the same site come again within a second."""

from cicadahoist.policy.part_cache import PartCache
from cicadahoist.requests import PromptPart

GUIDE = PromptPart('guide', 2500)


def ledger(number, own=1000):
    return (
        GUIDE,
        PromptPart(f'site-{number}', 3800),
        PromptPart(f'own-{number}-{own}', own),
    )


def test_parts_at_the_beginning_of_a_prompt_are_kept():
    cache = PartCache(20_000)
    assert cache.count_cached_tokens(ledger(1)) == 0
    cache.record_prompt(ledger(1))
    assert cache.count_cached_tokens(ledger(1, own=999)) == 6300
    assert cache.count_cached_tokens(ledger(2)) == 2500


def test_a_part_behind_a_missing_one_is_of_no_use():
    cache = PartCache(20_000)
    cache.record_prompt(ledger(1)[1:])
    assert cache.count_cached_tokens(ledger(1)) == 0


def test_the_least_recently_used_parts_yield():
    cache = PartCache(13_000)
    cache.record_prompt(ledger(1))
    cache.record_prompt(ledger(2))
    cache.record_prompt(ledger(3))
    assert cache.count_cached_tokens(ledger(1)) == 2500
    assert cache.count_cached_tokens(ledger(3)) == 7300


def test_an_engine_of_unknown_memory_keeps_nothing():
    cache = PartCache.from_memory(0)
    cache.record_prompt(ledger(1))
    assert cache.count_cached_tokens(ledger(1)) == 0
