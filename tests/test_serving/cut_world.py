"""Test harness: one instance whose paths to targets can be cut."""

from cicadahoist.serving.target_connections import TargetConnections
from tests.test_serving.network import Network, Peer, Relays
from tests.test_serving.world import World

STEP_MS = 5
PERIOD_MS = 50


class Connections(TargetConnections):
    """The real connections, with room for attributes of tests."""


class CutWorld(World):
    """A world whose connections lead through a network that can be cut."""

    def __init__(self, *listings, peers=(Peer('peer-1'),), clock=None):
        super().__init__(clock)
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

    def start_load(
        self, path=b'/lookup/x', *headers, period_ms=PERIOD_MS, **request
    ):
        """Send requests at a steady rate from now on; return them."""
        waits = []

        def send():
            caller = self.send_request(path, *headers, **request)
            waits.append(Wait(caller, self.clock.now_ms()))
            self.clock.call_later(period_ms, send)

        send()
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
