"""Readers of a zone that fail, follow one another, or tell old states."""

import pytest

from tests.test_serving.test_watch_fanout import STEP_MS, Zone

# A changed configuration is in force after this time.
CONFIG_MS = 3000


@pytest.mark.parametrize('change_ms', range(2400, 3700, 100))
def test_a_new_reader_tells_of_changes_that_it_was_told(change_ms):
    # Guards against a change that is lost for good: the next reader had it from
    # a reader instead of the store, and its heartbeats did not tell of it.
    zone = Zone(14)
    first, second = zone.readers
    first.stop()
    zone.run(change_ms)
    victim = zone.members[0]
    zone.is_lost = lambda sender, name: (
        name == victim.name and sender == second.name
    )
    zone.objects.put('config', 'main', 1)
    zone.run(4000)
    assert victim.specs['main'] == 1


@pytest.mark.parametrize('value', ['short', 'x' * 10_000])
def test_a_reader_that_lags_does_not_hide_a_missed_change(value):
    # Guards against members that never read a change, as a reader without the
    # store tells its old state between the news of the other one.
    zone = Zone(14)
    zone.readers[0].is_store_reachable = False
    zone.objects.break_watches()
    zone.run(200)
    zone.is_lost = lambda sender, name: True
    zone.objects.put('config', 'main', value)
    zone.run(STEP_MS)
    zone.is_lost = lambda sender, name: False
    zone.run(CONFIG_MS - STEP_MS)
    assert all(member.specs['main'] == value for member in zone.members)
