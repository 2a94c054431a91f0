"""Tests of the status that each zone writes to the store."""

import msgspec
import pytest

from cicadahoist.mesh.zone_status import REWRITE_MS, ZoneStatusWriter
from cicadahoist.messages import ZoneStatus
from tests.test_mesh.cluster import run
from tests.test_mesh.fleet import Fleet


class StatusFleet(Fleet):
    def __init__(self, sizes) -> None:
        self.writers = {}
        super().__init__(sizes)

    def start(self, name):
        node = super().start(name)
        self.writers[name] = ZoneStatusWriter(
            node,
            self.syncs[name],
            self.stores[name],
            self.clock,
            read_wall_ms=self.clock.now_ms,
        )
        run(self.writers[name].start())
        return node

    def kill(self, name) -> None:
        run(self.writers.pop(name).stop())
        super().kill(name)

    def status(self, zone) -> ZoneStatus | None:
        stored = self.model.get(f'status/{zone}')
        if stored is None:
            return None
        return msgspec.json.decode(stored.payload, type=ZoneStatus)

    def writes(self, zone) -> int:
        stored = self.model.get(f'status/{zone}')
        return stored.version if stored else 0


@pytest.fixture
def fleet():
    started = StatusFleet({'a': 3, 'b': 2})
    started.advance(4000)
    return started


def test_each_zone_tells_its_revision_and_since_when(fleet):
    saved_ms = fleet.clock.now_ms()
    revision = fleet.save('tayside')
    fleet.advance(8000)
    for zone, entries in (('a', 3), ('b', 2)):
        status = fleet.status(zone)
        assert (status.revision, status.entries) == (revision, entries)
        assert saved_ms <= status.since_ms <= saved_ms + 6000


def test_an_entry_that_lags_holds_the_zone_back(fleet):
    first = fleet.save('tayside')
    fleet.advance(8000)
    fleet.writers['a1']._in_force_by_name['a2'] = msgspec.structs.replace(
        fleet.writers['a1']._in_force_by_name['a2'], revision=first - 1
    )
    assert fleet.writers['a1'].compute_status().revision == first - 1


def test_one_entry_of_a_zone_writes_and_seldom(fleet):
    fleet.save('tayside')
    fleet.advance(8000)
    before = fleet.writes('a')
    fleet.advance(REWRITE_MS + 5000)
    assert fleet.writes('a') - before in {1, 2}


def test_another_entry_writes_when_the_writer_is_killed(fleet):
    fleet.save('tayside')
    fleet.advance(8000)
    for name in ('a0', 'a1'):
        fleet.kill(name)
    fleet.advance(20_000)
    revision = fleet.save('pilbara')
    fleet.advance(10_000)
    assert fleet.status('a').revision == revision
    assert fleet.status('a').entries == 1
