"""
Tests of an instance that loses its direct paths to targets.

They guard against an instance that serves nothing while its peers reach the
targets, and against requests held although no target can be reached.
"""

import pytest

from cicadahoist.metrics import PATHS_DOWN
from tests.test_serving.cut_world import CutWorld
from tests.test_serving.network import Cut, Peer, engines, plain_targets
from tests.test_serving.world import (
    SHORT_PROMPT_HEADERS,
    prompt_headers,
    target,
)

# The stated time from which an instance without direct paths has to serve.
CONTACT_MS = 3000


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


def hold_requests(world, count, path=b'/lookup/x', **request):
    """Send requests that their targets keep, on connections kept before."""
    world.play(100)
    names = {listing.name for listing in world.network.listings}
    world.network.frozen.update(names)
    callers = [world.send_request(path, **request) for _ in range(count)]
    world.advance(10)
    world.network.frozen.clear()
    return callers


# Guards against requests on kept connections that wait for a dead path.
@pytest.mark.parametrize('target_count', [1, 2, 4])
def test_requests_under_way_are_repeated_through_a_peer(target_count):
    world = CutWorld(*plain_targets(target_count))
    callers = hold_requests(world, 4)
    world.network.cut(Cut.silent)
    world.advance(1000)
    assert [caller.status for caller in callers] == [200] * 4


# Guards against requests that run twice as their first path hung.
def test_a_submission_under_way_is_not_sent_again():
    world = CutWorld(*plain_targets())
    callers = hold_requests(world, 4, b'/submit/x')
    arrived = len(world.network.arrivals)
    world.network.cut(Cut.silent)
    world.advance(3000)
    assert len(world.network.arrivals) == arrived
    assert {caller.status for caller in callers} <= {502, 504}


@pytest.mark.parametrize('kind', list(Cut))
def test_long_prompts_are_prefilled_and_decoded_through_a_peer(kind):
    world = CutWorld(target('p1', 'llm', 'prefill'), *engines())
    world.network.cut(kind)
    caller = world.send_request(b'/ask/x', *prompt_headers(), patience=15_000)
    world.advance(1000)
    assert caller.body.count(b'data: t') == 2
    assert [arrival.target for arrival in world.network.arrivals][0] == 'p1'
    assert all(arrival.is_relayed for arrival in world.network.arrivals)
    assert len(world.network.arrivals) == 2


# Guards against streams that end with the direct path to their engine.
def test_a_stream_under_way_goes_on_through_a_peer():
    world = CutWorld(*engines())
    world.network.frozen.update({'d1', 'd2'})
    caller = world.send_request(
        b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000
    )
    world.advance(10)
    first = world.network.arrivals[0]
    first.begin_stream()
    first.send_events(1)
    world.network.cut(Cut.silent)
    world.network.frozen.clear()
    world.advance(1500)
    again = world.network.arrivals[1]
    assert again.is_relayed
    assert again.header(b'Last-Event-Id') == b'1'
    assert caller.body.count(b'data: t') == 2
    assert caller.body.endswith(b'0\r\n\r\n')


# Guards against sound targets that stay out of use as their path was cut.
@pytest.mark.parametrize('kind', list(Cut))
def test_a_cut_under_load_is_over_within_a_second(kind):
    world = CutWorld(*plain_targets())
    world.start_load()
    world.advance(500)
    world.network.cut(kind)
    world.advance(1000)
    waits = world.start_load()
    world.advance(3000)
    assert all(wait.is_served for wait in waits[:40])


# Guards against relays that stay in use after the cut.
@pytest.mark.parametrize('kind', [Cut.silent, Cut.reset])
def test_targets_are_reached_directly_after_the_cut(kind):
    world = CutWorld(*plain_targets())
    waits = world.start_load()
    world.advance(500)
    world.network.cut(kind)
    world.advance(3000)
    assert world.context.gossip.is_cut_off()
    world.network.heal()
    world.advance(1500)
    arrived = len(world.network.arrivals)
    world.advance(1000)
    assert not any(
        arrival.is_relayed for arrival in world.network.arrivals[arrived:]
    )
    assert not world.context.gossip.is_cut_off()
    assert all(wait.is_served for wait in waits[-40:-2])


@pytest.mark.parametrize('kind', [Cut.silent, Cut.reset])
def test_only_the_targets_that_are_cut_are_reached_through_peers(kind):
    world = CutWorld(*plain_targets(3))
    world.start_load()
    world.advance(500)
    world.network.cut(kind, 't1')
    world.advance(1000)
    arrived = len(world.network.arrivals)
    waits = world.start_load()
    world.advance(2000)
    relayed = {
        arrival.target
        for arrival in world.network.arrivals[arrived:]
        if arrival.is_relayed
    }
    assert relayed == {'t1'}
    assert all(wait.is_served for wait in waits[:30])
    assert not world.context.gossip.is_cut_off()


# Guards against relays beside connections that live on.
def test_kept_connections_are_used_while_new_ones_are_refused():
    world = CutWorld(*plain_targets())
    # So often that no connection is idle for longer than its target allows.
    waits = world.start_load(period_ms=10)
    world.advance(500)
    world.network.cut(Cut.refused)
    world.advance(3000)
    assert not world.relays.attempts
    assert all(wait.is_served for wait in waits[:-1])


def test_operators_see_targets_that_only_peers_reach():
    world = CutWorld(*plain_targets(3))
    world.start_load()
    world.advance(500)
    assert world.count(PATHS_DOWN) == 0
    world.network.cut(Cut.silent, 't1', 't2')
    world.advance(1000)
    assert world.count(PATHS_DOWN) == 2
    assert sorted(world.context.fleet.paths.list_down()) == ['t1', 't2']


# A pause of the process makes its timers late, and is no cut.
def test_a_pause_of_the_process_does_not_take_a_path_down():
    world = CutWorld(*plain_targets(1))
    world.network.cut(Cut.silent)
    world.send_request(b'/lookup/x')
    world.clock.advance(1000)
    world.network.heal()
    world.advance(500)
    assert not world.context.fleet.paths.list_down()


# Guards against a cut that is taken for crashes, at this instance or its peers.
@pytest.mark.parametrize('kind', list(Cut))
def test_an_instance_without_direct_paths_blames_no_request(kind):
    world = CutWorld(*plain_targets(), *engines())
    gossip = world.context.gossip
    news = []
    gossip.on_blame = gossip.on_crash = gossip.on_hold = news.append
    world.start_load()
    world.start_load(b'/submit/x')
    world.start_load(b'/ask/x', *SHORT_PROMPT_HEADERS, patience=15_000)
    world.advance(500)
    world.network.cut(kind)
    world.advance(6000)
    assert not news


# Guards against a frozen target that is taken for one behind a cut.
def test_a_frozen_target_is_not_reached_through_a_peer():
    world = CutWorld(*plain_targets())
    waits = world.start_load()
    world.advance(500)
    world.network.frozen.add('t1')
    world.advance(2000)
    assert not world.relays.attempts
    assert not world.context.gossip.is_cut_off()
    assert all(wait.is_served for wait in waits[:30])


# Guards against peers flooded with questions about a target that is gone.
def test_a_crashed_target_costs_one_question_a_second():
    world = CutWorld(*plain_targets(), peers=(Peer('p1'), Peer('p2')))
    waits = world.start_load()
    world.advance(500)
    world.network.crash('t1')
    world.advance(5000)
    assert len(world.relays.attempts) <= 6
    assert len([w for w in waits[12:90] if not w.is_served]) == 0


# Guards against relays at peers that are cut off as well.
def test_a_peer_that_reaches_targets_is_found():
    peers = (
        Peer('a'),
        Peer('b'),
        Peer('c', zone='zone-b', is_near=False),
    )
    world = CutWorld(*plain_targets(), peers=peers)
    world.relays.cut_off_peers.update({'a', 'b'})
    world.start_load()
    world.advance(500)
    world.network.cut(Cut.silent)
    world.advance(2000)
    waits = world.start_load()
    world.advance(3000)
    assert all(wait.is_served for wait in waits[:50])


# Guards against kept relays of peers that were cut off in the meantime.
def test_relays_of_a_peer_that_is_cut_off_later_are_not_used():
    world = CutWorld(*plain_targets(), peers=(Peer('a'), Peer('b')))
    world.start_load()
    world.network.cut(Cut.silent)
    world.advance(1500)
    world.relays.cut_off('a')
    world.network.vanished.clear()
    waits = world.start_load()
    world.advance(3000)
    assert all(wait.is_served for wait in waits[:50])
    assert 'a' not in world.network.vanished


# Guards against targets that are ejected, and requests that fail, as a peer has
# left.
def test_the_loss_of_a_peer_is_no_failure_of_targets():
    world = CutWorld(*plain_targets(1), peers=(Peer('a'), Peer('b')))
    world.network.cut(Cut.silent)
    callers = hold_requests(world, 2)
    world.network.reset_relayed()
    now_ms = world.clock.now_ms()
    assert world.context.fleet.plain_targets.is_sound('t1', now_ms)
    world.advance(500)
    assert [caller.status for caller in callers] == [200] * 2


# Guards against blame for the loss of a path, with no answer after it.
@pytest.mark.parametrize('kind', [Cut.silent, Cut.reset])
@pytest.mark.parametrize('path', [b'/submit/x', b'/lookup/x'])
def test_the_loss_of_a_path_blames_no_request(path, kind):
    world = CutWorld(*plain_targets(1))
    news = []
    world.context.gossip.on_blame = news.append
    hold_requests(world, 2, path)
    world.network.frozen.add('t1')
    world.network.cut(kind)
    world.advance(6000)
    assert not news
