"""
Tests of an instance that loses its direct paths to targets.

They guard against an instance that serves nothing while its peers reach the
targets, and against requests held although no target can be reached.
"""

import pytest

from cicadahoist.serving.target_connections import TargetConnections
from tests.test_serving.network import Cut, Network, Peer, Relays, plain_targets
from tests.test_serving.world import World

STEP_MS = 5
PERIOD_MS = 50
# The stated time from which an instance without direct paths has to serve.
CONTACT_MS = 3000


class Connections(TargetConnections):
    """The real connections, with room for attributes of tests."""


class CutWorld(World):
    """A world whose connections lead through a network that can be cut."""

    def __init__(self, *listings, peers=(Peer('peer-1'),)):
        super().__init__()
        self.network = Network(self.clock, *listings)
        self.relays = Relays(self.network, *peers)
        self.connections = Connections(
            self.network, self.clock, self.connections.paths
        )
        self.connections.relays = self.relays
        self.context.fleet.connections = self.connections
        self.add(*self.network.listings)
        self.answered_ms_by_caller = {}

    def advance(self, span_ms):
        for _ in range(span_ms // STEP_MS):
            self.clock.advance(STEP_MS)

    def play(self, span_ms, path=b'/lookup/x', **request):
        """Send requests at a steady rate; return when each was answered."""
        waits = []
        for _ in range(span_ms // PERIOD_MS):
            wait = Wait(self.send_request(path, **request), self.clock.now_ms())
            waits.append(wait)
            for _ in range(PERIOD_MS // STEP_MS):
                self.clock.advance(STEP_MS)
                self._observe(waits)
        for _ in range(2500 // STEP_MS):
            self.clock.advance(STEP_MS)
            self._observe(waits)
        return waits

    def _observe(self, waits):
        for wait in waits:
            if wait.took_ms is None and wait.caller.received:
                wait.took_ms = self.clock.now_ms() - wait.sent_ms


class Wait:
    """One request and how long its caller has waited for the answer."""

    def __init__(self, caller, sent_ms):
        self.caller = caller
        self.sent_ms = sent_ms
        self.took_ms = None

    @property
    def is_served(self):
        return self.caller.status == 200


def count_served(waits):
    return sum(wait.is_served for wait in waits)


# Guards against first tries that fail at an instance without direct paths.
@pytest.mark.parametrize('kind', list(Cut))
def test_an_instance_without_direct_paths_serves_through_a_peer(kind):
    world = CutWorld(*plain_targets())
    world.play(500)
    world.network.cut(kind)
    world.play(500)
    waits = world.play(2000)
    assert waits[0].sent_ms >= CONTACT_MS
    assert count_served(waits) * 3 >= len(waits) * 2


# Guards against requests held for several connection timeouts.
def test_requests_that_no_path_can_serve_are_refused_at_once():
    world = CutWorld(*plain_targets(3), peers=())
    world.play(500)
    world.network.cut(Cut.silent)
    world.play(500)
    waits = world.play(2000)
    assert {wait.caller.status for wait in waits} == {503}
    held = [wait for wait in waits if wait.took_ms > 100]
    # One request a second may find out whether a target can be reached again.
    assert len(held) <= 3 * 3
