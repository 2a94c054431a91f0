"""
Request bodies that crash their targets.

Each retry of such a body takes down a further target. These tests guard
against the loss of a pool, and against refusals of innocent requests.
"""

import pytest

from cicadahoist.ids import body_digest
from cicadahoist.messages import Blame
from cicadahoist.standin.faults import Fault
from tests.test_entry.world import (
    World,
    decode_error,
    decode_events,
    encode_chat_body,
)

POISON = 'a prompt with poison in it'


def make_poisoned_world(**sizes):
    world = World(engines=5, **sizes)
    for server in world.engines.values():
        server.faults.apply(Fault(kind='crash-on-mark', mark='poison'))
    return world


def find_down_engines(world):
    return sorted(
        name
        for name in world.engines
        if not world.net.hosts[f'{name}:80'].is_up
    )


@pytest.mark.parametrize('entries', [1, 2])
def test_body_is_quarantined_after_two_crashed_targets(entries):
    world = make_poisoned_world(entries=entries)
    for number in range(6):
        world.finish(world.chat(text=POISON, entry=number % entries))
        world.net.advance(3000)
    assert len(find_down_engines(world)) == 2
    answer = world.finish(world.chat(text=POISON, entry=entries - 1))
    assert decode_error(answer)['code'] == 'quarantined'
    assert decode_error(answer)['outcome'] == 'not-run'


def test_innocent_requests_are_answered_beside_a_poisonous_one():
    world = make_poisoned_world()
    innocent = [
        world.chat(text=f'innocent {number}', tokens=100)
        for number in range(10)
    ]
    world.net.advance(100)
    poison = world.chat(text=POISON)
    for answer in [*innocent, poison]:
        world.finish(answer)
    assert len(find_down_engines(world)) <= 2
    assert all(decode_events(answer)[-1] == '[DONE]' for answer in innocent)
    world.net.advance(10_000)
    again = world.finish(world.chat(text='innocent 1', tokens=100))
    assert decode_events(again)[-1] == '[DONE]'


@pytest.mark.parametrize(
    ('is_killed', 'is_blamed'), [(True, True), (False, False)]
)
def test_body_is_blamed_for_a_crash_but_not_for_a_freeze(is_killed, is_blamed):
    world = World(engines=3)
    answer = world.chat(tokens=1000)
    world.net.until(lambda: len(answer.body) > 3000)
    for name, server in world.engines.items():
        if server.seen().attempts and is_killed:
            world.kill(name)
        elif server.seen().attempts:
            world.net.hosts[f'{name}:80'].is_frozen = True
    world.net.until(lambda: world.entries[0].metrics.counted_reasons)
    world.net.advance(2500)
    digest = body_digest(encode_chat_body('demo-model', 1000, True, 'hello'))
    excluded_targets = world.entries[0].context.isolation.find_excluded_targets(
        digest
    )
    assert bool(excluded_targets) is is_blamed


# Guards against the blame of a target that only was silent: it does not know
# the attempt, as it had not read it when another target took over.
def test_no_body_is_blamed_for_a_target_that_was_silent_before_its_attempt():
    world = World(engines=2, entry__stall_timeout=200, targets__timeout=100)
    hosts = {name: world.net.hosts[f'{name}:80'] for name in world.engines}
    for host in hosts.values():
        host.is_frozen = True
    answer = world.chat()
    context = world.entries[0].context
    (first,) = context.dispatcher.loads.build_view().by_target
    for name, host in hosts.items():
        host.is_frozen = name == first
    world.net.until(lambda: answer.body)
    # The target reads nothing of a connection that was reset meanwhile.
    hosts[first].pumps = [
        pump for pump in hosts[first].pumps if not pump.clientIO.disconnecting
    ]
    hosts[first].is_frozen = False
    world.finish(answer)
    world.net.advance(2000)
    digest = body_digest(encode_chat_body('demo-model', 20, True, 'hello'))
    assert decode_events(answer)[-1] == '[DONE]'
    assert not context.isolation.is_suspect(digest)


# Guards against a target that stays reserved for a request which is over.
def test_a_suspect_that_passes_its_deadline_releases_its_target():
    world = World(engines=3)
    world.apply(world.rows(deadline_ms=3000))
    for server in world.engines.values():
        server.faults.apply(Fault(kind='stall'))
    isolation = world.entries[0].context.isolation
    digest = body_digest(encode_chat_body('demo-model', 20, False, 'hello'))
    isolation.apply_message(
        Blame(digest=digest, target='engine-9', alone=False)
    )
    answer = world.chat(stream=False)
    world.net.advance(2000)
    assert isolation.find_claimed_targets()
    world.net.advance(1100)
    assert decode_error(answer)['code'] == 'timed-out'
    assert not isolation.find_claimed_targets()


def test_equal_innocent_requests_on_a_killed_target_are_all_answered():
    world = World(engines=2)
    answers = [world.chat(tokens=300) for _ in range(4)]
    world.net.until(lambda: all(len(each.body) > 3000 for each in answers))
    world.kill('engine-0')
    for answer in answers:
        world.finish(answer)
    assert all(decode_events(answer)[-1] == '[DONE]' for answer in answers)


def test_single_target_serves_a_blamed_body_again_after_restart():
    world = World(engines=1)
    first = world.chat(tokens=300)
    world.net.until(lambda: len(first.body) > 3000)
    world.kill('engine-0')
    world.finish(first)
    world.net.advance(500)
    world.net.hosts['engine-0:80'].is_up = True
    world.net.advance(40_000)
    again = world.finish(world.chat(tokens=300))
    assert decode_events(again)[-1] == '[DONE]'
