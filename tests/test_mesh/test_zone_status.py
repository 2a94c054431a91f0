"""Zone status in the store: contents, writer and write frequency."""

import msgspec
import pytest

from cicadahoist.mesh.zone_status import REWRITE_MS, ZoneStatusWriter
from cicadahoist.messages import ZoneStatus
from tests.test_mesh.cluster import run
from tests.test_mesh.fleet import Fleet


class StatusFleet(Fleet):
    """Fleet whose instances write the status of their zone."""

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

    def read_status(self, zone) -> ZoneStatus | None:
        stored = self.model.get(f'status/{zone}')
        if stored is None:
            return None
        return msgspec.json.decode(stored.payload, type=ZoneStatus)

    def count_writes(self, zone) -> int:
        stored = self.model.get(f'status/{zone}')
        return stored.version if stored else 0


@pytest.fixture
def fleet():
    started = StatusFleet({'a': 3, 'b': 2})
    started.advance(4000)
    return started


def test_each_zone_reports_its_revision_and_when_it_came_into_force(fleet):
    saved_ms = fleet.clock.now_ms()
    revision = fleet.save('tayside')
    fleet.advance(8000)
    for zone, entries in (('a', 3), ('b', 2)):
        status = fleet.read_status(zone)
        assert (status.revision, status.entries) == (revision, entries)
        assert saved_ms <= status.since_ms <= saved_ms + 6000


def test_lagging_entry_determines_the_revision_of_its_zone(fleet):
    first = fleet.save('tayside')
    fleet.advance(8000)
    fleet.writers['a1']._in_force_by_name['a2'] = msgspec.structs.replace(
        fleet.writers['a1']._in_force_by_name['a2'], revision=first - 1
    )
    assert fleet.writers['a1'].compute_status().revision == first - 1


def test_only_one_entry_of_a_zone_writes_and_rarely(fleet):
    fleet.save('tayside')
    fleet.advance(8000)
    before = fleet.count_writes('a')
    fleet.advance(REWRITE_MS + 5000)
    assert fleet.count_writes('a') - before in {1, 2}


def test_another_entry_takes_over_when_the_writer_is_killed(fleet):
    fleet.save('tayside')
    fleet.advance(8000)
    for name in ('a0', 'a1'):
        fleet.kill(name)
    fleet.advance(20_000)
    revision = fleet.save('pilbara')
    fleet.advance(10_000)
    assert fleet.read_status('a').revision == revision
    assert fleet.read_status('a').entries == 1
