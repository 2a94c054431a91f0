"""A short seeded run; what depends on times is judged by hand runs only."""

import tempfile
from pathlib import Path

from twisted.internet import reactor

from soak.run import Soak
from tests.loopback import LoopbackCase


class ShortRunTest(LoopbackCase):
    timeout = 120

    def setUp(self):
        super().setUp()
        self.addCleanup(self.cancel_timers)

    def cancel_timers(self):
        """Cancel what stand-ins would still do after the end."""
        for left in reactor.getDelayedCalls():
            left.cancel()

    async def test_no_promise_breaks_under_faults(self):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(reactor, 3, 2, Path(folder), checks_times=False)
            verdict = await soak.run(seconds=1)
        assert not verdict['broken']
        assert verdict['struck'] >= 4
        assert verdict['outcomes'].get('submit served')
