"""What one instance knows of versions, from lists and copies of the record."""

import pytest

from cicadahoist.policy.service_versions import ServiceVersions
from cicadahoist.policy.stream_versions.stream_terms import (
    MIN_LIFETIME_MS,
    StreamTerms,
)
from cicadahoist.policy.stream_versions.version_record import (
    RecordCopy,
    VersionRecord,
)
from tests.test_serving.world import ROUTES, deployment


def make_copy(*versions, era=0, revision=1, **fields):
    record = VersionRecord(
        versions_by_service={'llm': list(versions)},
        era=era,
        is_complete=True,
    )
    return RecordCopy(era, revision, record, **fields)


@pytest.fixture
def versions():
    known = ServiceVersions()
    known.is_recording = True
    known.terms = StreamTerms(resumable_services=frozenset({'llm'}))
    known.observe([('llm', 'v1')], 0)
    return known


def test_nothing_is_known_before_the_record_is(versions):
    assert versions.find_only('llm', 0) is None
    assert not versions.is_recorded('llm', 'v1')
    assert versions.list_uncertain(0) == {'llm'}


def test_an_empty_record_does_not_make_the_listed_version_the_only_one(
    versions,
):
    versions.apply_copy(make_copy(), 0)
    assert versions.find_only('llm', 0) is None
    assert versions.list_missing() == {'llm': {'v1'}}


def test_an_older_copy_changes_nothing(versions):
    versions.apply_copy(make_copy('v1', 'v2', revision=5), 0)
    assert not versions.apply_copy(make_copy('v1', revision=4), 0)
    assert versions.is_recorded('llm', 'v2')


def test_a_copy_of_an_earlier_era_changes_nothing(versions):
    versions.apply_copy(make_copy('v1', era=1, revision=2), 0)
    assert not versions.apply_copy(make_copy('v2', era=0, revision=9), 0)


# What the store lost is written again by the instances that knew it.
def test_a_new_era_makes_all_known_versions_missing(versions):
    versions.apply_copy(make_copy('v1', 'v2', revision=9), 0)
    versions.apply_era(1)
    assert not versions.is_recorded('llm', 'v1')
    assert versions.find_only('llm', 0) is None
    versions.apply_copy(make_copy('v1', era=1, revision=3), 0)
    assert versions.list_missing() == {'llm': {'v2'}}
    versions.apply_copy(make_copy('v1', 'v2', era=1, revision=4), 0)
    assert not versions.list_missing()


def test_versions_of_older_builds_are_to_be_recorded(versions):
    copy = make_copy('v1', earlier_by_service={'llm': ['v0']})
    versions.apply_copy(copy, 0)
    assert versions.find_only('llm', 0) is None
    assert versions.list_missing() == {'llm': {'v0'}}


def test_services_without_resumable_streams_are_not_recorded(versions):
    versions.observe([('llm', 'v1'), ('app', 'v7')], 0)
    versions.apply_copy(make_copy('v1'), 0)
    assert not versions.list_missing()


def test_a_lagging_copy_does_not_end_a_doubt(versions):
    versions.apply_copy(make_copy('v1', 'v2'), 0)
    versions.observe([('llm', 'v2')], MIN_LIFETIME_MS)
    assert not versions.is_recorded('llm', 'v2')
    versions.apply_copy(make_copy('v1', 'v2'), MIN_LIFETIME_MS, may_lag=True)
    assert not versions.is_recorded('llm', 'v2')
    versions.apply_copy(make_copy('v1', 'v2'), MIN_LIFETIME_MS)
    assert versions.is_recorded('llm', 'v2')


def test_terms_come_from_streamed_routes_and_their_lifetime_never_falls():
    terms = StreamTerms.from_deployment(deployment())
    assert terms == StreamTerms(30_000, frozenset({'llm'}))
    longer = StreamTerms(80_000, frozenset({'other'}))
    assert longer.follow(terms) == StreamTerms(80_000, frozenset({'llm'}))
    no_routes = deployment(routes=[ROUTES[0]])
    assert not StreamTerms.from_deployment(no_routes).resumable_services
