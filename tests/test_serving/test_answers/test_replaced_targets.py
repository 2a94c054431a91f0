"""
Targets that are replaced while requests are under way.

They guard against a request that reaches a process other than the listed one,
and against connections to processes that are not listed any more.
"""

import pytest
from msgspec.structs import replace

from tests.test_serving.cut_world import CutWorld
from tests.test_serving.network import Cut
from tests.test_serving.test_answers.copies import build_answer
from tests.test_serving.world import target

SETTLE_MS = 50


def build_world(*, is_relayed=False):
    world = CutWorld(target('t1', started_ms=1))
    if is_relayed:
        world.network.cut(Cut.refused)
    world.network.frozen.update(('t1', 't2'))
    return world


def send(world, path=b'/submit/x'):
    """Send a request; return its caller and what its target receives."""
    count = len(world.network.arrivals)
    caller = world.send_request(path)
    world.advance(SETTLE_MS)
    assert len(world.network.arrivals) == count + 1
    return caller, world.network.arrivals[-1]


def list_again(world, listing):
    """Replace the listing of the target."""
    world.network.listings = [listing]
    world.add(listing)


def restart(world):
    [listing] = world.network.listings
    list_again(world, replace(listing, started_ms=2))


def move(world):
    [listing] = world.network.listings
    list_again(world, replace(listing, address='10.0.0.9:80'))


def leave(world):
    """Let another target of another service take the address over."""
    [listing] = world.network.listings
    world.context.fleet.directory.remove('t1')
    world.connections.retain(set())
    list_again(world, replace(listing, name='t2', started_ms=2))


changes = pytest.mark.parametrize('change', [restart, move, leave])
relays = pytest.mark.parametrize('is_relayed', [False, True])


# Guards against the connection of the process before, also through a peer: it
# is neither used again nor left open.
@changes
@relays
def test_a_connection_under_way_does_not_outlive_its_listing(
    change, is_relayed
):
    world = build_world(is_relayed=is_relayed)
    caller, first = send(world)
    change(world)
    _, second = send(world)
    assert first.is_relayed is is_relayed
    assert second.connection is not first.connection
    first.answer()
    assert caller.status == 200
    assert first.is_closed
    second.answer()
    _, third = send(world)
    assert third.connection is second.connection


# Guards against a copy of the process before that counts for the next one.
@changes
@relays
def test_a_copy_of_the_process_before_answers_no_request(change, is_relayed):
    world = build_world(is_relayed=is_relayed)
    _, first = send(world)
    first.answer()
    change(world)
    caller, second = send(world)
    assert first.is_closed
    assert second.connection is not first.connection
    second.write(build_answer(second.attempt_id))
    assert caller.body == b'own'


# Guards against a process at another address that counts as reached, as the one
# before it still answers.
def test_the_process_before_does_not_show_the_path_to_the_next():
    world = build_world()
    _, first = send(world)
    world.network.cut(Cut.silent)
    move(world)
    world.send_request(b'/submit/x')
    world.advance(SETTLE_MS)
    sent_ms = world.clock.now_ms()
    first.answer()
    assert not world.connections.paths.get('t1').has_heard(sent_ms)
