"""
Load test of several instances of which some lose their paths to targets.

It guards against instances that serve far less than the others while they are
cut off, and against connection attempts without bound.
"""

import pytest

from cicadahoist.clock import Clock
from tests.test_serving.cut_world import CutWorld
from tests.test_serving.network import (
    Cut,
    Peer,
    Relays,
    engines,
    plain_targets,
)
from tests.test_serving.world import SHORT_PROMPT_HEADERS

STEP_MS = 10
ZONES = ('zone-a', 'zone-a', 'zone-a', 'zone-b', 'zone-b', 'zone-b')
# Instances tell their peers about themselves this often.
REPORT_MS = 400
# The stated target: from this time after the cut, first tries are served at
# least two thirds as often as at the other instances.
CONTACT_MS = 3000
MEASURED_MS = 2000
PERIOD_MS = 150
TARGET_COUNT = 7


class PeerRelays(Relays):
    """Relays of the other instances of a fleet."""

    def __init__(self, network, fleet, number):
        super().__init__(network)
        self._fleet = fleet
        self._number = number

    def list_peers(self, now_ms):
        return [
            Peer(
                f'i{number}',
                zone,
                is_near=zone == ZONES[self._number],
                is_cut_off=self._fleet.reports[number],
            )
            for number, zone in enumerate(ZONES)
            if number != self._number
        ]


class Fleet:
    """Six instances in two zones, at the same targets."""

    def __init__(self):
        self.clock = Clock.manual()
        self.reports = [False] * len(ZONES)
        self.worlds = [self._make_world(number) for number in range(len(ZONES))]
        self._report()

    def cut(self, kind, count):
        """Cut the first instances off from all targets."""
        for world in self.worlds[:count]:
            world.network.cut(kind)
        for world in self.worlds:
            world.network.cut_off_peers.update(
                f'i{number}' for number in range(count)
            )

    def advance(self, span_ms):
        for _ in range(span_ms // STEP_MS):
            self.clock.advance(STEP_MS)

    def _make_world(self, number):
        world = CutWorld(*plain_targets(4), *engines(3), clock=self.clock)
        world.relays = PeerRelays(world.network, self, number)
        world.connections.relays = world.relays
        return world

    def _report(self):
        self.reports = [
            world.context.gossip.is_cut_off() for world in self.worlds
        ]
        self.clock.call_later(REPORT_MS, self._report)


def start_load(world):
    """Send requests of three routes; return the list that collects them."""
    return [
        world.start_load(period_ms=PERIOD_MS),
        world.start_load(b'/submit/x', period_ms=PERIOD_MS),
        world.start_load(
            b'/ask/x',
            *SHORT_PROMPT_HEADERS,
            patience=15_000,
            period_ms=PERIOD_MS,
        ),
    ]


def compute_served_share(loads, sent_from_ms, sent_to_ms):
    waits = [
        wait
        for load in loads
        for wait in load
        if sent_from_ms <= wait.sent_ms < sent_to_ms
    ]
    return sum(wait.is_served for wait in waits) / len(waits)


# Guards against callers who are served far worse where the paths are cut.
@pytest.mark.parametrize('kind', list(Cut))
@pytest.mark.parametrize('cut_count', [1, 2, 3, 4, 5])
def test_first_tries_are_served_where_paths_are_cut(kind, cut_count):
    fleet = Fleet()
    loads = [start_load(world) for world in fleet.worlds]
    fleet.advance(1000)
    fleet.cut(kind, cut_count)
    fleet.advance(CONTACT_MS)
    from_ms = fleet.clock.now_ms()
    attempted = [len(world.network.attempts) for world in fleet.worlds]
    # A burst on top of the steady load.
    bursts = [start_load(world) for world in fleet.worlds]
    fleet.advance(MEASURED_MS)
    to_ms = fleet.clock.now_ms()
    fleet.advance(2500)
    shares = [
        compute_served_share(loads[number] + bursts[number], from_ms, to_ms)
        for number in range(len(ZONES))
    ]
    assert min(shares[:cut_count]) * 3 >= min(shares[cut_count:]) * 2
    assert min(shares[cut_count:]) == 1
    for world, before in zip(
        fleet.worlds[:cut_count], attempted[:cut_count], strict=True
    ):
        seconds = (fleet.clock.now_ms() - from_ms) // 1000 + 1
        direct = len(world.network.attempts) - before
        assert direct <= TARGET_COUNT * seconds
