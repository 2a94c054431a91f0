"""Delays guard against a fleet that calls the store at the same moment."""

from random import Random

import pytest

from cicadahoist.policy.stream_versions.record_timing import (
    MAX_AWAITED_DELAY_MS,
    MAX_DELAY_MS,
    compute_read_delay_ms,
    plan_write,
)
from cicadahoist.policy.stream_versions.version_record import (
    RecordCopy,
    VersionRecord,
)


def draw_delays_ms(seed, count, *, is_awaited=False):
    random = Random(seed)
    return sorted(
        compute_read_delay_ms(random.random(), count, is_awaited=is_awaited)
        for _ in range(count)
    )


# A read, a write and the news of it take 20 ms.
@pytest.mark.parametrize('is_awaited', [False, True])
@pytest.mark.parametrize('count', [9, 70, 195])
def test_few_instances_call_before_the_first_has_told(count, is_awaited):
    early = []
    for seed in range(200):
        delays_ms = draw_delays_ms(seed, count, is_awaited=is_awaited)
        early.append(sum(ms <= delays_ms[0] + 20 for ms in delays_ms))
    # A read, and mostly a write or a conflict, of each.
    assert 2 * sum(early) / len(early) <= 10


@pytest.mark.parametrize('count', [1, 9, 70, 195])
def test_delays_are_bounded(count):
    for draw in (0, 1e-9, 0.5, 1):
        delay_ms = compute_read_delay_ms(draw, count, is_awaited=False)
        assert 0 <= delay_ms <= MAX_DELAY_MS
        delay_ms = compute_read_delay_ms(draw, count, is_awaited=True)
        assert 0 <= delay_ms <= MAX_AWAITED_DELAY_MS


def test_a_read_that_shows_all_versions_writes_nothing():
    copy = RecordCopy(0, 3, VersionRecord(versions_by_service={'s': ['v1']}))
    assert plan_write(copy, {}) is None


def test_a_write_keeps_what_was_read():
    record = VersionRecord(
        versions_by_service={'s': ['v1'], 't': ['x']},
        is_complete=True,
        leaving_by_service={'s': ['v1'], 't': ['x']},
    )
    planned = plan_write(RecordCopy(0, 3, record), {'s': {'v1', 'v2'}})
    assert planned.versions_by_service == {'s': ['v1', 'v2'], 't': ['x']}
    assert planned.leaving_by_service == {'t': ['x']}
    assert planned.is_complete


# What the store had recorded since the copy is not known.
def test_a_write_in_a_new_era_is_not_complete():
    record = VersionRecord(versions_by_service={'s': ['v1']}, is_complete=True)
    planned = plan_write(RecordCopy(1, 3, record), {'s': {'v2'}})
    assert planned.era == 1
    assert not planned.is_complete
