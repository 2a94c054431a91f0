"""
Tests of connections to targets that are opened through another instance.

They guard against peers that hold up a request, against refusals that are taken
for another one, and against connections that nobody owns.
"""

import socket

import h11
import pytest
from twisted.internet.defer import CancelledError

from cicadahoist.reasons import RelayRefusal
from cicadahoist.serving.answers.endings import AnswerEnding
from cicadahoist.serving.relay_client import (
    OPEN_TIMEOUT_MS,
    RelayError,
    RelayPeer,
)
from cicadahoist.serving.relay_connection import CONNECT_TIMEOUT_MS
from cicadahoist.serving.relay_peers import RelayState
from tests.test_serving.relay_world import (
    HOST,
    Answer,
    Silent,
    relay_world,
)


def get_refusal(world, pending):
    """Return why a connection was not opened."""
    world.turn_until(lambda: pending.is_done)
    with pytest.raises(RelayError) as raised:
        pending.result()
    assert raised.value.peer == 'i2'
    return raised.value.refusal


def send_request(connection, answer):
    """Send a request, as a pool would that keeps no connection."""
    connection.send(
        h11.Request(method='GET', target='/x', headers=[('Host', 'h')]),
        b'',
        answer,
        pool=None,
    )


def test_a_request_and_its_answer_pass_through_the_peer():
    with relay_world() as world:
        connection, accepted = world.open(world.add_target())
        answer = Answer()
        send_request(connection, answer)
        sent = world.receive(accepted, 25)
        assert sent.startswith(b'GET /x HTTP/1.1\r\n')
        accepted.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
        world.turn_until(lambda: answer.end is not None)
        assert (answer.body, answer.end) == (b'ok', AnswerEnding.stated)
        assert world.count('relay_used') == world.count('relay_opened') == 1


def test_a_target_that_refuses_the_peer_is_reported():
    with relay_world() as world:
        target = world.add_target()
        target.refuse()
        refusal = get_refusal(world, world.connect(target.listing))
        assert refusal is RelayRefusal.target_refused
        # Both ends count it.
        assert world.count('relay_target_refused') == 2


def test_a_target_that_is_silent_to_the_peer_is_reported_in_time():
    """Guard against requests held up by a peer that is cut off as well."""
    with relay_world() as world:
        pending = world.connect(Silent(world).listing)
        world.turn_for_a_while()
        assert not pending.is_done
        world.clock.advance(CONNECT_TIMEOUT_MS)
        assert get_refusal(world, pending) is RelayRefusal.target_silent
        assert world.server.count_open() == 0


def test_a_target_that_the_peer_does_not_list_is_denied():
    with relay_world() as world:
        target = world.add_target()
        world.directory.remove('t1')
        refusal = get_refusal(world, world.connect(target.listing))
        assert refusal is RelayRefusal.denied
        assert not target.has_caller


def test_a_token_of_another_process_is_denied():
    with relay_world() as world:
        target = world.add_target()
        world.tell_address(world.port, 'token-of-the-process-before')
        refusal = get_refusal(world, world.connect(target.listing))
        assert refusal is RelayRefusal.denied
        assert not target.has_caller


def test_a_leaving_peer_refuses():
    with relay_world() as world:
        target = world.add_target()
        world.server.leave()
        refusal = get_refusal(world, world.connect(target.listing))
        assert refusal is RelayRefusal.leaving


def test_a_peer_with_too_many_connections_refuses():
    with relay_world(max_relayed=1) as world:
        target = world.add_target()
        first, _ = world.open(target)
        refusal = get_refusal(world, world.connect(target.listing))
        assert refusal is RelayRefusal.busy
        first.close()
        world.turn_until(lambda: not world.server.count_open())
        world.open(target)


def test_a_peer_that_is_gone_is_unreachable():
    with relay_world() as world:
        target = world.add_target()
        with socket.create_server((HOST, 0)) as closed:
            world.tell_address(closed.getsockname()[1])
        refusal = get_refusal(world, world.connect(target.listing))
        assert refusal is RelayRefusal.peer_unreachable


def test_a_peer_that_is_not_known_is_unreachable():
    with relay_world() as world:
        target = world.add_target()
        world.relays.set_addresses({})
        refusal = get_refusal(world, world.connect(target.listing))
        assert refusal is RelayRefusal.peer_unreachable


def test_a_peer_that_takes_no_connection_is_given_up_in_time():
    with relay_world() as world:
        silent = Silent(world)
        world.tell_address(silent.target.listener.getsockname()[1])
        pending = world.connect(silent.listing)
        world.turn_for_a_while()
        assert not pending.is_done
        world.clock.advance(OPEN_TIMEOUT_MS)
        assert get_refusal(world, pending) is RelayRefusal.peer_unreachable


def test_a_peer_that_does_not_answer_is_given_up_in_time():
    """Guard against requests held up by a peer that is frozen."""
    with relay_world() as world:
        frozen = world.add_target('frozen')
        world.tell_address(frozen.listener.getsockname()[1])
        pending = world.connect(world.add_target().listing)
        accepted = frozen.accept()
        world.clock.advance(OPEN_TIMEOUT_MS - 1)
        world.turn_for_a_while()
        assert not pending.is_done
        world.clock.advance(1)
        assert get_refusal(world, pending) is RelayRefusal.peer_unreachable
        world.receive(accepted, 10)
        assert world.receive_end(accepted)[1] == 'reset'


def test_a_peer_that_closes_without_an_answer_is_unreachable():
    with relay_world() as world:
        other = world.add_target('other')
        world.tell_address(other.listener.getsockname()[1])
        pending = world.connect(world.add_target().listing)
        other.accept().close()
        assert get_refusal(world, pending) is RelayRefusal.peer_unreachable


def test_an_attempt_that_is_cancelled_leaves_no_connection():
    """Guard against relayed connections that nobody owns."""
    with relay_world() as world:
        pending = world.connect(Silent(world).listing)
        world.turn_until(world.server.count_open)
        pending.deferred.cancel()
        with pytest.raises(CancelledError):
            pending.result()
        world.turn_until(lambda: not world.server.count_open())


def test_an_attempt_that_is_cancelled_before_it_reaches_the_peer_ends():
    with relay_world() as world:
        pending = world.connect(world.add_target().listing)
        pending.deferred.cancel()
        with pytest.raises(CancelledError):
            pending.result()
        world.turn_for_a_while()
        assert not world.server.count_open()


def test_only_live_peers_that_accept_are_listed():
    with relay_world() as world:
        assert world.client.list_peers(0) == [
            RelayPeer('i2', 'zone-a', is_near=True, is_cut_off=False)
        ]
        world.hear(RelayState(is_accepting=True, is_cut_off=True))
        assert world.client.list_peers(0)[0].is_cut_off
        world.hear(RelayState(is_accepting=False))
        assert not world.client.list_peers(0)
        world.hear(RelayState(is_accepting=True))
        world.clock.advance(10_000)
        assert not world.client.list_peers(world.clock.now_ms())


def test_a_peer_without_an_address_is_not_listed():
    """Guard against peers of the version before, which relay nothing."""
    with relay_world() as world:
        world.relays.set_addresses({})
        assert not world.client.list_peers(0)


def test_a_peer_that_was_never_heard_is_not_listed():
    with relay_world() as world:
        address = world.relays.get_address('i2')
        world.relays.set_addresses({'i3': address})
        world.relays.record_state('i3', RelayState(is_accepting=True))
        assert not world.client.list_peers(0)
