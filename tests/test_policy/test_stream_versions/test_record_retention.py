"""Versions leave the record only once no stream of theirs can be open."""

from cicadahoist.policy.stream_versions.record_retention import (
    SETTLE_MS,
    ListedTimes,
    RecordRetention,
)
from cicadahoist.policy.stream_versions.version_record import (
    RecordCopy,
    VersionRecord,
)

LIFETIME_MS = 30_000
RECORD = VersionRecord(
    versions_by_service={'s': ['v1', 'v2']}, is_complete=True
)
LISTED = ListedTimes({'s': {'v2'}})


def plan(retention, record, now_ms, listed=LISTED, era=0):
    return retention.plan(
        RecordCopy(era, 1, record), listed, now_ms, LIFETIME_MS
    )


def test_a_version_is_marked_and_then_removed():
    retention = RecordRetention()
    assert plan(retention, RECORD, 0) is None
    assert plan(retention, RECORD, LIFETIME_MS - 1) is None
    marked = plan(retention, RECORD, LIFETIME_MS)
    assert marked.leaving_by_service == {'s': ['v1']}
    assert marked.versions_by_service == RECORD.versions_by_service
    assert plan(retention, marked, LIFETIME_MS + 1) is None
    assert plan(retention, marked, LIFETIME_MS + SETTLE_MS) is None
    removed = plan(retention, marked, LIFETIME_MS + SETTLE_MS + 1)
    assert removed.versions_by_service == {'s': ['v2']}
    assert not removed.leaving_by_service


# It came and left between two observations, and began streams meanwhile.
def test_a_version_counts_from_when_it_was_last_listed():
    retention = RecordRetention()
    plan(retention, RECORD, 0)
    listed = ListedTimes({'s': {'v2'}}, {('s', 'v1'): LIFETIME_MS - 1})
    assert plan(retention, RECORD, LIFETIME_MS, listed) is None


def test_nothing_leaves_a_record_that_a_restored_store_holds():
    retention = RecordRetention()
    plan(retention, RECORD, 0, era=1)
    assert plan(retention, RECORD, 2 * LIFETIME_MS, era=1) is None


def test_a_new_era_begins_the_observation_anew():
    retention = RecordRetention()
    plan(retention, RECORD, 0)
    record = VersionRecord(versions_by_service={'s': ['v1', 'v2']}, era=1)
    assert plan(retention, record, LIFETIME_MS, era=1) is None
    planned = plan(retention, record, 2 * LIFETIME_MS, era=1)
    assert planned.is_complete
    assert planned.leaving_by_service == {'s': ['v1']}
