"""Prompts that share their leading parts follow within a second."""

from cicadahoist.policy.part_cache import PartCache
from cicadahoist.requests import PromptPart

GUIDE = PromptPart('guide', 2500)


def make_parts(number, own=1000):
    return (
        GUIDE,
        PromptPart(f'site-{number}', 3800),
        PromptPart(f'own-{number}-{own}', own),
    )


def test_leading_parts_of_a_prompt_are_cached():
    cache = PartCache(20_000)
    assert cache.count_cached_tokens(make_parts(1)) == 0
    cache.record_prompt(make_parts(1))
    assert cache.count_cached_tokens(make_parts(1, own=999)) == 6300
    assert cache.count_cached_tokens(make_parts(2)) == 2500


def test_part_after_an_uncached_one_does_not_count():
    cache = PartCache(20_000)
    cache.record_prompt(make_parts(1)[1:])
    assert cache.count_cached_tokens(make_parts(1)) == 0


def test_least_recently_used_parts_are_evicted():
    cache = PartCache(13_000)
    cache.record_prompt(make_parts(1))
    cache.record_prompt(make_parts(2))
    cache.record_prompt(make_parts(3))
    assert cache.count_cached_tokens(make_parts(1)) == 2500
    assert cache.count_cached_tokens(make_parts(3)) == 7300


def test_engine_of_unknown_memory_caches_nothing():
    cache = PartCache.from_memory(0)
    cache.record_prompt(make_parts(1))
    assert cache.count_cached_tokens(make_parts(1)) == 0
