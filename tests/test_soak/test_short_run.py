"""
A short run of one seed breaks no promise.

It guards against a program that repeats, mixes up or loses requests under
faults, and against a soak that no longer runs. Bounds in time are timer to
manual runs, because a busy machine breaks them.
"""

import tempfile
from pathlib import Path

from twisted.internet import reactor

from soak.run import Soak
from tests.loopback import LoopbackCase


class ShortRunTest(LoopbackCase):
    timeout = 180

    def setUp(self):
        super().setUp()
        self.addCleanup(self.cancel_timers)

    def cancel_timers(self):
        """Cancel the timers that stand-ins leave behind."""
        for timer in reactor.getDelayedCalls():
            timer.cancel()

    async def test_no_promise_breaks_under_faults(self):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(reactor, 3, 2, Path(folder), checks_times=False)
            verdict = await soak.run(seconds=1)
        assert not verdict['broken']
        assert verdict['struck'] >= 4
        assert verdict['outcomes'].get('submit served')
        assert {'drill', 'stutter'} <= set(verdict['kinds'])
        assert verdict['duties'].get('scaling')
