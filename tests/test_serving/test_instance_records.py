"""Records that an instance writes for itself and for peers that ended."""

import random

from cicadahoist.clock import Clock
from cicadahoist.platform.objects import ObjectStore
from cicadahoist.serving.instance_records import (
    COUNT_KIND,
    InstanceIdentity,
    InstanceRecords,
)
from cicadahoist.serving.usage_copies import UsageCopies, UsageCopy
from cicadahoist.serving.usage_counts import UsageCounts
from tests.coroutines import Pending, result_of
from tests.test_platform.object_pages import ObjectPages
from tests.test_serving.fake_objects import FakeObjects

IDENTITY = InstanceIdentity(
    kind='peers',
    name='i1',
    incarnation='i1.n',
    record={'host': 'h', 'port': 1},
)


def make_records(store, clock, usage):
    return InstanceRecords(
        store,
        clock,
        IDENTITY,
        usage,
        lambda: 505_600,
        lambda: 1,
        UsageCopies(),
    )


def test_counts_of_an_instance_are_written_to_the_store():
    clock, objects, usage = Clock.manual(), FakeObjects(), UsageCounts()
    records = make_records(objects, clock, usage)
    Pending(records.start())
    assert objects.names('peers') == ['i1']
    usage.count_start('w1', 500_000)
    usage.count_start('', 500_000)
    clock.advance(1500)
    stored = objects.kinds[COUNT_KIND]['i1.n']
    assert stored.spec['windows'] == {'100': {'w1': 1}}
    assert stored.spec['closed'] == 100
    calls = len(objects.calls)
    clock.advance(6000)
    assert len(objects.calls) == calls
    usage.count_start('w1', 500_001)
    result_of(records.stop())
    assert objects.kinds[COUNT_KIND]['i1.n'].spec['windows']['100']['w1'] == 2
    assert not objects.names('peers')


def test_counts_are_written_once_the_store_is_back():
    clock, objects, usage = Clock.manual(), FakeObjects(), UsageCounts()
    records = InstanceRecords(
        objects, clock, IDENTITY, usage, lambda: 0, lambda: 1, UsageCopies()
    )
    objects.failure = 'down'
    Pending(records.start())
    usage.count_start('w1', 500_000)
    clock.advance(3000)
    objects.failure = None
    for _ in range(4):
        clock.advance(1500)
    assert objects.names('peers') == ['i1']
    assert objects.names(COUNT_KIND) == ['i1.n']


# Guards against usage that is reported too low: a write without an answer that
# the store carries out late replaced counts which were written since.
def test_a_late_write_replaces_no_newer_counts():
    clock, objects, usage = Clock.manual(), FakeObjects(), UsageCounts()
    pages = ObjectPages(objects, clock, random.Random(1))
    store = ObjectStore('http://s/cicadahoist/objects', pages, 1000)
    records = make_records(store, clock, usage)
    Pending(records.start())

    def count(number, duration_ms):
        usage.count_start('w1', 500_000 + number)
        for _ in range(duration_ms // 20):
            clock.advance(20)

    count(1, 3000)
    pages.holds_writes = True
    count(2, 2000)
    assert pages.held_writes
    pages.holds_writes = False
    count(3, 3000)
    Pending(pages.run_held_writes())
    for number in (3, 4):
        windows = objects.kinds[COUNT_KIND]['i1.n'].spec['windows']
        assert windows == {'100': {'w1': number}}
        count(number, 3000)


def test_a_large_fleet_writes_its_counts_as_often_as_a_small_one():
    """Guards against calls to the store that grow with the fleet."""
    writes = {}
    for instances in (9, 66, 390):
        clock, objects, usage = Clock.manual(), FakeObjects(), UsageCounts()
        records = InstanceRecords(
            objects,
            clock,
            IDENTITY,
            usage,
            clock.now_ms,
            lambda: instances,  # noqa: B023
            UsageCopies(),
        )
        Pending(records.start())
        for _ in range(600):
            usage.count_start('w1', clock.now_ms())
            clock.advance(100)
        written = sum(call[0] == 'replace' for call in objects.calls)
        writes[instances] = written
    # In a minute: a write each 1.5 s, or one a window of 5 s and a few more.
    assert 40 <= writes[9] <= 53
    assert writes[66] <= 20
    assert 12 <= writes[390] <= 14


def start_records(clock, objects, copies):
    """Return the records of an instance that keeps copies of others."""
    records = InstanceRecords(
        objects,
        clock,
        IDENTITY,
        UsageCounts(),
        clock.now_ms,
        lambda: 2,
        copies,
    )
    Pending(records.start())
    return records


def test_the_last_counts_of_a_killed_instance_are_stored_by_a_peer():
    clock, objects, copies = Clock.manual(), FakeObjects(), UsageCopies()
    start_records(clock, objects, copies)
    stored = {'instance': 'i2', 'windows': {'7': {'w1': 4}}, 'closed': 6}
    objects.put(COUNT_KIND, 'i2.n', stored)
    copies.keep(UsageCopy('i2.n', {'7': {'w1': 6, 'w2': 1}}), clock.now_ms())
    for _ in range(3):
        clock.advance(500)
    assert objects.kinds[COUNT_KIND]['i2.n'].spec == stored
    for _ in range(3):
        clock.advance(500)
    spec = objects.kinds[COUNT_KIND]['i2.n'].spec
    assert spec['windows'] == {'7': {'w1': 6, 'w2': 1}}
    assert (spec['instance'], spec['closed']) == ('i2', 6)


def test_a_copy_never_lowers_what_its_process_stored_itself():
    clock, objects, copies = Clock.manual(), FakeObjects(), UsageCopies()
    start_records(clock, objects, copies)
    objects.put(COUNT_KIND, 'i2.n', {'windows': {'7': {'w1': 9}}})
    copies.keep(UsageCopy('i2.n', {'7': {'w1': 6}}), clock.now_ms())
    for _ in range(6):
        clock.advance(500)
    assert objects.kinds[COUNT_KIND]['i2.n'].spec['windows']['7'] == {'w1': 9}


def test_counts_that_could_never_be_stored_are_created_by_a_peer():
    clock, objects, copies = Clock.manual(), FakeObjects(), UsageCopies()
    start_records(clock, objects, copies)
    copies.keep(UsageCopy('i2.n', {'7': {'w1': 6}}), clock.now_ms())
    objects.failure = 'down'
    for _ in range(8):
        clock.advance(500)
    objects.failure = None
    for _ in range(3):
        clock.advance(500)
    assert objects.kinds[COUNT_KIND]['i2.n'].spec['windows']['7'] == {'w1': 6}


def test_copies_of_processes_that_still_send_are_not_orphans():
    copies = UsageCopies()
    for at_ms in range(0, 10_000, 500):
        copies.keep(UsageCopy('i2.n', {'7': {'w1': at_ms}}), at_ms)
        assert not copies.list_orphans(at_ms + 400)
    assert len(copies.list_orphans(12_000)) == 1
    assert not copies.list_orphans(60_000)
