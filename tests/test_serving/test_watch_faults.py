"""Readers of a zone that fail, follow one another, or tell old states."""

import pytest

from tests.test_serving.test_watch_fanout import Zone


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
