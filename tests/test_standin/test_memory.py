"""
The in-memory store has the semantics of the store, its faults included.

Tests of leases, orders and records run against this store. A version that
recurs, a write without its version check or a lost answer without the effect
would hide faults of the product.
"""

import pytest

from cicadahoist.clock import Clock
from cicadahoist.errors import (
    ConfigError,
    StoreBusyError,
    StoreUnavailableError,
    VersionConflictError,
)
from cicadahoist.standin.faults import Fault
from cicadahoist.standin.memory import Cut, MemoryStore
from cicadahoist.standin.objects import ObjectModel
from tests.coroutines import Pending, result_of


@pytest.fixture
def clock():
    return Clock.manual()


@pytest.fixture
def store(clock):
    return MemoryStore.from_seed(7, clock)


def test_versions_rise_across_a_removal(store):
    assert result_of(store.write('lease', b'a', 0)) == 1
    assert result_of(store.write('lease', b'b', 1)) == 2
    result_of(store.remove('lease', 2))
    assert result_of(store.read('lease')) is None
    assert result_of(store.write('lease', b'c', 0)) == 3


def test_write_with_another_version_has_no_effect(store):
    result_of(store.write('lease', b'a', 0))
    for expected in (0, 2):
        with pytest.raises(VersionConflictError):
            result_of(store.write('lease', b'b', expected))
    with pytest.raises(VersionConflictError):
        result_of(store.remove('lease', 2))
    assert result_of(store.read('lease')).payload == b'a'


def test_watch_fires_on_a_write_and_expires(store, clock):
    watch = Pending(store.watch('head', 0, 1000))
    clock.advance(999)
    assert not watch.is_done
    result_of(store.write('head', b'a', 0))
    assert watch.result().version == 1
    expired = Pending(store.watch('head', 1, 1000))
    clock.advance(1000)
    assert expired.result() is None
    assert store.model.calls['watch'] == 2


def test_write_with_a_lost_answer_takes_effect(store):
    store.model.set_fault(Fault(kind='lose-answers', count=1))
    with pytest.raises(StoreUnavailableError):
        result_of(store.write('lease', b'a', 0))
    assert result_of(store.read('lease')).payload == b'a'
    assert result_of(store.write('lease', b'b', 1)) == 2


def test_concurrent_write_causes_a_version_conflict(store):
    result_of(store.write('lease', b'a', 0))
    store.model.set_fault(Fault(kind='conflicts', share=1))
    with pytest.raises(VersionConflictError):
        result_of(store.write('lease', b'b', 1))
    stored = result_of(store.read('lease'))
    assert (stored.version, stored.payload) == (2, b'a')


def test_write_during_an_outage_has_no_effect(store):
    store.model.set_fault(Fault(kind='outage'))
    with pytest.raises(StoreUnavailableError):
        result_of(store.write('lease', b'a', 0))
    store.model.set_fault(Fault(kind='none'))
    assert result_of(store.read('lease')) is None


def test_slow_write_takes_effect_after_its_timeout(store, clock):
    store.model.set_fault(Fault(kind='slow', delay_ms=1500))
    write = Pending(store.write('lease', b'a', 0))
    clock.advance(1000)
    with pytest.raises(StoreUnavailableError):
        write.result()
    assert store.model.get('lease') is None
    clock.advance(500)
    assert store.model.get('lease').payload == b'a'


@pytest.mark.parametrize(
    ('cut', 'written'), [(Cut.requests, False), (Cut.answers, True)]
)
def test_cut_requests_have_no_effect_and_cut_answers_do(
    store, clock, cut, written
):
    store.cut = cut
    write = Pending(store.write('lease', b'a', 0))
    clock.advance(1000)
    with pytest.raises(StoreUnavailableError):
        write.result()
    assert (store.model.get('lease') is not None) == written


def test_watch_fails_if_the_connection_is_cut_meanwhile(store, clock):
    watch = Pending(store.watch('head', 0, 1000))
    store.cut = Cut.requests
    clock.advance(5000)
    with pytest.raises(StoreUnavailableError):
        watch.result()


def test_write_over_the_rate_limit_has_no_effect(clock):
    store = MemoryStore(ObjectModel(writes_per_s=2), clock)
    for number in range(2):
        result_of(store.write(f'object-{number}', b'', 0))
    with pytest.raises(StoreBusyError):
        result_of(store.write('object-2', b'', 0))
    assert store.model.get('object-2') is None
    clock.advance(500)
    assert result_of(store.write('object-2', b'', 0)) == 1


def test_random_faults_are_reproducible_by_seed(clock):
    def list_outcomes(seed):
        store = MemoryStore.from_seed(seed, clock)
        store.model.set_fault(Fault(kind='lose-answers', share=0.5))
        return [
            isinstance(Pending(store.write(f'{number}', b'', 0)).ended[0], int)
            for number in range(64)
        ]

    assert list_outcomes(1) == list_outcomes(1)
    assert list_outcomes(1) != list_outcomes(2)


def test_error_of_an_unknown_fault_lists_the_known_ones(store):
    with pytest.raises(ConfigError, match='lose-answers'):
        store.model.set_fault(Fault(kind='fire'))
