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


def test_versions_rise_also_over_a_removal(store):
    assert result_of(store.write('lease', b'a', 0)) == 1
    assert result_of(store.write('lease', b'b', 1)) == 2
    result_of(store.remove('lease', 2))
    assert result_of(store.read('lease')) is None
    assert result_of(store.write('lease', b'c', 0)) == 3


def test_stale_version_writes_nothing(store):
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


def test_lost_answer_after_the_write_took_effect(store):
    store.model.set_fault(Fault(kind='lose-answers', count=1))
    with pytest.raises(StoreUnavailableError):
        result_of(store.write('lease', b'a', 0))
    assert result_of(store.read('lease')).payload == b'a'
    assert result_of(store.write('lease', b'b', 1)) == 2


def test_another_writer_comes_first(store):
    result_of(store.write('lease', b'a', 0))
    store.model.set_fault(Fault(kind='conflicts', share=1))
    with pytest.raises(VersionConflictError):
        result_of(store.write('lease', b'b', 1))
    stored = result_of(store.read('lease'))
    assert (stored.version, stored.payload) == (2, b'a')


def test_outage_takes_no_effect(store):
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
def test_one_way_cuts(store, clock, cut, written):
    store.cut = cut
    write = Pending(store.write('lease', b'a', 0))
    clock.advance(1000)
    with pytest.raises(StoreUnavailableError):
        write.result()
    assert (store.model.get('lease') is not None) == written


def test_watch_that_was_cut_off_does_not_pass_for_quiet(store, clock):
    watch = Pending(store.watch('head', 0, 1000))
    store.cut = Cut.requests
    clock.advance(5000)
    with pytest.raises(StoreUnavailableError):
        watch.result()


def test_rate_limit_refuses_without_effect(clock):
    store = MemoryStore(ObjectModel(writes_per_s=2), clock)
    for number in range(2):
        result_of(store.write(f'object-{number}', b'', 0))
    with pytest.raises(StoreBusyError):
        result_of(store.write('object-2', b'', 0))
    assert store.model.get('object-2') is None
    clock.advance(500)
    assert result_of(store.write('object-2', b'', 0)) == 1


def test_random_faults_follow_the_seed(clock):
    def lost(seed):
        store = MemoryStore.from_seed(seed, clock)
        store.model.set_fault(Fault(kind='lose-answers', share=0.5))
        return [
            isinstance(Pending(store.write(f'{number}', b'', 0)).ended[0], int)
            for number in range(64)
        ]

    assert lost(1) == lost(1)
    assert lost(1) != lost(2)


def test_unknown_fault_names_the_known_ones(store):
    with pytest.raises(ConfigError, match='lose-answers'):
        store.model.set_fault(Fault(kind='fire'))
