"""
Tests of requests that crash most of the targets that are in use.

They guard against an instance that takes the crashes for a cut of its own links
and blames nobody, so that the request goes on to crash targets (BUDGET).
"""

import pytest

from cicadahoist.serving.target_connections import Reachability
from tests.coroutines import Pending
from tests.test_serving.cut_world import CutWorld
from tests.test_serving.network import Cut, Peer, engines, plain_targets
from tests.test_serving.world import SHORT_PROMPT_HEADERS

DOWN_MS = 3500
CONTACT_MS = 3000
# Retries that the rules allow later than CONTACT_MS after the third crash.
MAX_LATE_COUNT = 3
PLAYED_MS = 20_000
STEP_MS = 50


class CrashWorld(CutWorld):
    """An instance at which one request crashes each target that runs it."""

    def __init__(self, *listings, peers=(Peer('peer-1'), Peer('peer-2'))):
        super().__init__(*listings, peers=peers)
        self.crashes_ms = []
        self._arrive = self.network.arrive
        self.network.arrive = self.arrive

    def arrive(self, link, sent):
        if sent.endswith(b'poison'):
            self.crashes_ms.append(self.clock.now_ms())
            self.crash(link.listing.name)
        else:
            self._arrive(link, sent)

    def crash(self, name):
        """Crash a target, which is back after a while."""
        self.network.crash(name)
        self.clock.call_later(DOWN_MS, self.network.crashed.discard, name)

    def send_poison(self, path, period_ms):
        """Send the request that crashes targets at a steady rate."""

        def send():
            callers.append(self.send_request(path, body=b'poison'))
            self.clock.call_later(period_ms, send)

        callers = []
        send()
        return callers

    def list_late(self):
        """Return the times of the crashes that the rules allow three of."""
        if len(self.crashes_ms) < 3:
            return []
        known_ms = self.crashes_ms[2] + CONTACT_MS
        return [at_ms for at_ms in self.crashes_ms if at_ms > known_ms]


# Guards against crashes that count as a cut of the instance that sees them.
@pytest.mark.parametrize('target_count', [2, 3, 5])
@pytest.mark.parametrize('engine_count', [0, 1, 2])
@pytest.mark.parametrize('period_ms', [150, 400, 1000, 2500])
def test_a_request_that_crashes_most_targets_is_held(
    target_count, engine_count, period_ms
):
    world = CrashWorld(*plain_targets(target_count), *engines(engine_count))
    world.start_load()
    if engine_count:
        world.start_load(b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000)
    world.advance(1000)
    callers = world.send_poison(b'/submit/x', period_ms)
    world.advance(PLAYED_MS)
    assert len(world.crashes_ms) >= 3
    assert len(world.list_late()) <= MAX_LATE_COUNT, world.crashes_ms
    assert callers[-1].status == 503


# Guards against a cut that is taken for crashes while the peers of the zone are
# cut off with this instance, whether that is known of them or not.
@pytest.mark.parametrize('kind', list(Cut))
@pytest.mark.parametrize('is_known', [True, False])
@pytest.mark.parametrize('near_count', [1, 2, 4])
def test_a_cut_of_a_zone_blames_no_request(kind, is_known, near_count):
    near = [Peer(f'a{number}') for number in range(near_count)]
    far = Peer('c', zone='zone-b', is_near=False)
    world = CrashWorld(*plain_targets(3), *engines(), peers=(*near, far))
    news = []
    gossip = world.context.gossip
    gossip.on_blame = gossip.on_crash = news.append
    world.start_load()
    world.start_load(b'/submit/x', body=b'same')
    world.advance(500)
    for peer in near:
        if is_known:
            world.relays.cut_off(peer.name)
        else:
            world.relays.cut_off_peers.add(peer.name)
    world.relays.are_cut_off_refused = kind is not Cut.silent
    world.network.cut(kind)
    world.advance(6000)
    assert not news
    waits = world.start_load()
    world.advance(2000)
    assert all(wait.is_served for wait in waits[:30])


# Guards against crashed engines that are not told from ones out of reach.
def test_a_crash_is_seen_while_most_targets_are_down():
    world = CrashWorld(*plain_targets(3), *engines(1))
    world.start_load()
    world.start_load(b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000)
    world.advance(500)
    for listing in world.network.listings:
        world.crash(listing.name)
    world.advance(300)
    engine = world.network.listings[-1]
    checked = Pending(world.connections.check(engine))
    world.advance(400)
    assert checked.result() is Reachability.refused
