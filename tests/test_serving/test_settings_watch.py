"""Settings that change, or become invalid, while the process runs."""

from cicadahoist.clock import Clock
from cicadahoist.errors import ConfigError
from cicadahoist.serving.settings_watch import CHECK_PERIOD_MS, SettingsWatch
from tests.coroutines import result_of


class WatchedFile:
    """A settings file that the test changes."""

    def __init__(self):
        self.clock = Clock.manual()
        self.found = 'one'
        self.applied = []
        self.watch = SettingsWatch(
            self.read, 'one', self.applied.append, self.clock
        )
        result_of(self.watch.start())

    def read(self):
        if self.found is None:
            raise ConfigError('broken', remedy='mend it')
        return self.found


def test_a_reload_applies_changed_settings():
    watched = WatchedFile()
    watched.watch.reload()
    assert not watched.applied
    watched.found = 'two'
    watched.watch.reload()
    assert watched.applied == ['two']


def test_a_change_without_a_signal_is_found():
    watched = WatchedFile()
    watched.found = 'two'
    watched.clock.advance(CHECK_PERIOD_MS)
    assert watched.applied == ['two']


def test_invalid_settings_leave_the_old_ones_in_force():
    watched = WatchedFile()
    watched.found = None
    watched.watch.reload()
    assert watched.watch.current == 'one'
    assert not watched.applied
    watched.found = 'three'
    watched.clock.advance(CHECK_PERIOD_MS)
    assert watched.applied == ['three']
    result_of(watched.watch.stop())
