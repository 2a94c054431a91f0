import json

import msgspec

from cicadahoist.cmd.operator import statuses
from cicadahoist.cmd.operator.exit_codes import ExitCode
from cicadahoist.messages import ZoneStatus, zone_status_name
from cicadahoist.outside.store import Stored

MINUTE_MS = 60_000


def store_zone_status(store, zone, revision):
    status = ZoneStatus(
        zone=zone,
        revision=revision,
        since_ms=1_790_000_000_000,
        written_ms=1_790_000_000_000 + MINUTE_MS,
        entries=2,
    )
    name = zone_status_name(zone)
    store.object_by_name[name] = Stored(name, 1, msgspec.json.encode(status))


def test_status_shows_revision_age_and_lag_of_each_zone(deployed, monkeypatch):
    monkeypatch.setattr(
        statuses, 'wall_ms', lambda: 1_790_000_000_000 + 3 * MINUTE_MS
    )
    store_zone_status(deployed.store, 'zone-a', 3)
    store_zone_status(deployed.store, 'zone-b', 1)
    view = json.loads(deployed.run_checked('status --output json').stdout)
    assert view['revision'] == 3
    assert [zone['behind'] for zone in view['zones']] == [0, 2]
    assert view['zones'][0]['since'] == '2026-09-21T14:13:20Z'
    assert view['zones'][0]['reported_s_ago'] == 120
    assert 'zone-b' in deployed.run_checked('status').stdout


def test_status_shows_the_lag_of_usage(operator, monkeypatch):
    monkeypatch.setattr(statuses, 'wall_ms', lambda: 13 * MINUTE_MS + 5000)
    for name in (
        'usage/9/e1/aa',
        'usage/10/e1/aa',
        'usage/11/e1/aa',
        'usage/13/e1/aa',
        'usage/figures/0/9',
    ):
        operator.store.object_by_name[name] = Stored(name, 1, b'')
    assert operator.read_json('status')['usage'] == {
        'sealed_until': '1970-01-01T00:10:00Z',
        'waiting': 2,
        'oldest_waiting_s': 125,
    }


def test_status_of_an_empty_store(operator):
    printed = operator.run_checked('status').stdout
    assert 'table revision 0' in printed
    assert printed.count('(none)') == 2


def test_undecodable_status_is_an_error(operator):
    name = zone_status_name('zone-a')
    operator.store.object_by_name[name] = Stored(name, 1, b'{}')
    assert operator.run('status').exit_code == ExitCode.error
