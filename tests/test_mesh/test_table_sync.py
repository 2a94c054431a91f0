"""The table in force when messages, watchers, zones or the store fail.

The tests guard against revisions that go back, changes that stay missing
beyond their bound, and tables that look fresher than they are.
"""

import pytest

from cicadahoist.mesh.freshness import UNKNOWN_AGE_MS
from cicadahoist.messages import TableDelta
from cicadahoist.standin.memory import Cut
from tests.test_mesh.cluster import PERIOD_MS
from tests.test_mesh.fleet import Fleet

WITHDRAWAL_BOUND_MS = 3000
CHANGE_BOUND_MS = 6000


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet({'a': 4, 'b': 4})
    fleet.advance(8000)
    fleet.save('first')
    fleet.advance(1000)
    assert fleet.all_have(1)
    return fleet


def test_process_is_not_ready_without_a_table():
    fleet = Fleet({'a': 2})
    fleet.advance(10_000)
    assert not any(sync.is_ready() for sync in fleet.syncs.values())
    fleet.save('first')
    fleet.advance(100)
    assert all(sync.is_ready() for sync in fleet.syncs.values())


def test_change_is_in_force_at_once(fleet):
    changes = []
    fleet.syncs['a0'].add_change_listener(
        lambda old, new: changes.append((old.revision, new.revision))
    )
    fleet.save('second')
    fleet.advance(50)
    assert fleet.all_have(2)
    assert changes == [(1, 2)]


def test_lost_delta_is_repaired_within_a_round(fleet):
    fleet.network.loss = 1
    fleet.save('second')
    fleet.advance(50)
    assert not fleet.all_have(2)
    fleet.network.loss = 0
    fleet.advance(PERIOD_MS + 50)
    assert fleet.all_have(2)


def test_killed_watchers_are_replaced(fleet):
    for name in fleet.watchers('a'):
        fleet.kill(name)
    fleet.save('second')
    fleet.advance(WITHDRAWAL_BOUND_MS)
    assert fleet.all_have(2)


def test_change_arrives_while_watchers_are_cut_off_from_the_store(fleet):
    fleet.cut_store(fleet.watchers('a'))
    fleet.save('second')
    fleet.advance(CHANGE_BOUND_MS)
    assert fleet.all_have(2)


def test_older_revision_is_never_applied(fleet):
    fleet.save('second')
    fleet.advance(100)
    old = fleet.syncs['a0']
    seen = []
    old.add_change_listener(lambda _, new: seen.append(new.revision))
    delta = TableDelta(base=0, head=b'{"revision":1,"shards":{}}', shards={})
    for node in fleet.nodes.values():
        node.broadcast_zone(delta)
    fleet.advance(1000)
    assert fleet.all_have(2)
    assert seen == []


def test_store_outage_keeps_the_table_and_raises_its_age(fleet):
    fleet.model.faults.outage = True
    fleet.advance(60_000)
    assert fleet.all_have(1)
    assert all(fleet.age_ms(name) >= 60_000 for name in fleet.nodes)
    fleet.model.faults.outage = False
    fleet.advance(10_000)
    assert all(fleet.age_ms(name) < 6000 for name in fleet.nodes)


def test_restart_during_an_outage_loads_the_newest_revision_from_peers(fleet):
    fleet.save('second')
    fleet.advance(1000)
    fleet.model.faults.outage = True
    fleet.kill('a1')
    fleet.start('a1')
    assert not fleet.syncs['a1'].is_ready()
    fleet.advance(4000)
    assert fleet.syncs['a1'].is_ready()
    assert fleet.syncs['a1'].table().revision == 2
    assert fleet.age_ms('a1') > 3000


def test_zone_without_the_store_follows_other_zones(fleet):
    fleet.cut_store(['a0', 'a1', 'a2', 'a3'])
    fleet.save('second')
    fleet.advance(CHANGE_BOUND_MS)
    assert fleet.all_have(2)
    assert fleet.age_ms('a0') < CHANGE_BOUND_MS


def test_isolated_zone_ages_and_catches_up_after_healing(fleet):
    zone = ['a0', 'a1', 'a2', 'a3']
    fleet.network.cut_between(fleet.zone('a'), fleet.zone('b'))
    fleet.cut_store(zone)
    fleet.save('second')
    fleet.advance(60_000)
    assert {fleet.revisions()[name] for name in zone} == {1}
    assert all(fleet.age_ms(name) >= 60_000 for name in zone)
    fleet.network.heal()
    fleet.cut_store(zone, Cut.none)
    fleet.advance(10_000)
    assert fleet.all_have(2)
    assert all(fleet.age_ms(name) < 6000 for name in zone)


def test_table_without_confirmation_has_an_unknown_age():
    fleet = Fleet({'a': 1})
    fleet.cut_store(['a0'])
    fleet.advance(5000)
    fleet.kill('a0')
    fleet.start('a0')
    fleet.cut_store(['a0'])
    # The first read was sent before the cut.
    assert fleet.age_ms('a0') in {0, UNKNOWN_AGE_MS}
