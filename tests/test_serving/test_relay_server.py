"""
Tests of a relay between two instances.

They guard against cut answers that look whole, against buffers that grow with a
slow reader, against connections left open at a target after the peer has gone,
and against strangers that hold the relay's connections.
"""

import socket
from random import Random
from threading import Thread

import pytest

from cicadahoist.policy.link_queue import LinkQueue
from cicadahoist.serving.answers.endings import AnswerEnding, AnswerLoss
from cicadahoist.serving.relay_admission import RelayAdmission
from cicadahoist.serving.relay_connection import REQUEST_TIMEOUT_MS
from cicadahoist.serving.relay_messages import OPENED, encode_request
from cicadahoist.serving.relay_server import RelayServer
from tests.coroutines import Pending
from tests.test_serving.relay_world import (
    GRACE_MS,
    HOST,
    TOKEN,
    Answer,
    Silent,
    read_some,
    relay_world,
    request,
    reset,
)
from tests.test_serving.test_relay_client import send_request

HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
# More than both sockets and the relay hold.
LARGE_BYTES = 16_000_000
ANSWER_BYTES = 1_000_000
PIECE = bytes(64_000)


def open_raw(world, target):
    """Return the socket of a peer, and that of the target."""
    raw = world.open_raw()
    accepted = target.accept()
    assert world.receive(raw, 1) == OPENED
    return raw, accepted


def open_pair(world, sender):
    """Return two joined sockets, that of the sender first."""
    raw, accepted = open_raw(world, world.add_target())
    return (raw, accepted) if sender == 'peer' else (accepted, raw)


def receive_end_without_turns(one_socket):
    """Return how a socket ends after the process of the relay."""
    one_socket.setblocking(True)
    try:
        while one_socket.recv(65_536):
            pass
    except ConnectionResetError:
        return 'reset'
    return 'closed'


both_directions = pytest.mark.parametrize('sender', ['peer', 'target'])


def fill(world, one_socket):
    """Send until the other end takes no more; return the bytes sent."""
    sent_bytes = 0
    blocked_turns = 0
    while blocked_turns < 50 and sent_bytes < LARGE_BYTES:
        try:
            sent_bytes += one_socket.send(PIECE)
        except BlockingIOError:
            blocked_turns += 1
            world.turn_for_a_while() if blocked_turns == 1 else world.turn()
        else:
            blocked_turns = 0
            world.turn()
    return sent_bytes


@both_directions
def test_bytes_are_passed_on(sender):
    with relay_world() as world:
        first, second = open_pair(world, sender)
        first.sendall(b'one')
        assert world.receive(second, 3) == b'one'
        second.sendall(b'two')
        assert world.receive(first, 3) == b'two'
        assert world.count('relay_bytes') == 6


@both_directions
def test_a_clean_close_follows_all_bytes(sender):
    """Guard against answers without a length that lose their end."""
    with relay_world() as world:
        first, second = open_pair(world, sender)
        first.sendall(PIECE)
        first.close()
        received, end = world.receive_end(second)
        assert (len(received), end) == (len(PIECE), 'closed')
        world.turn_until(lambda: not world.server.count_open())


@both_directions
def test_a_reset_is_passed_on_as_a_reset(sender):
    """Guard against cut answers without a length that look whole."""
    with relay_world() as world:
        first, second = open_pair(world, sender)
        first.sendall(b'some')
        assert world.receive(second, 4) == b'some'
        reset(first)
        assert world.receive_end(second)[1] == 'reset'
        world.turn_until(lambda: not world.server.count_open())


@both_directions
def test_a_reset_with_bytes_under_way_is_no_clean_close(sender):
    with relay_world() as world:
        first, second = open_pair(world, sender)
        fill(world, first)
        reset(first)
        assert world.receive_end(second)[1] == 'reset'


@both_directions
def test_a_clean_close_behind_a_slow_reader_follows_all_bytes(sender):
    with relay_world() as world:
        first, second = open_pair(world, sender)
        sent_bytes = fill(world, first)
        first.close()
        world.turn_for_a_while()
        received, end = world.receive_end(second)
        assert (len(received), end) == (sent_bytes, 'closed')


@both_directions
def test_a_slow_reader_slows_the_sender(sender):
    """Guard against a relay that keeps what a slow reader does not take."""
    with relay_world() as world:
        first, second = open_pair(world, sender)
        sent_bytes = fill(world, first)
        assert sent_bytes < LARGE_BYTES
        held_bytes = sum(
            len(end.transport.dataBuffer) + end.transport._tempDataLen
            for end in world.list_ends()
        )
        assert held_bytes <= 2 * 32_768
        assert len(world.receive(second, sent_bytes)) == sent_bytes
        # The other direction was never held up.
        second.sendall(b'back')
        assert world.receive(first, 4) == b'back'


def test_an_answer_that_ends_with_a_clean_close_is_whole():
    with relay_world() as world:
        connection, accepted = world.open(world.add_target())
        answer = Answer()
        send_request(connection, answer)
        world.receive(accepted, 25)
        accepted.sendall(HEAD + b'whole')
        # A close with unread bytes would be a reset.
        world.turn_for_a_while()
        read_some(accepted, 1000)
        accepted.close()
        world.turn_until(lambda: answer.end is not None)
        assert (answer.body, answer.end) == (b'whole', AnswerEnding.closed)


def test_an_answer_that_ends_with_a_reset_is_cut():
    """Guard against cut answers without a length that look whole."""
    with relay_world() as world:
        connection, accepted = world.open(world.add_target())
        answer = Answer()
        send_request(connection, answer)
        world.receive(accepted, 25)
        accepted.sendall(HEAD + b'part')
        world.turn_until(lambda: answer.body)
        reset(accepted)
        world.turn_until(lambda: answer.end is not None)
        assert answer.end is AnswerLoss.reset


@both_directions
def test_the_end_of_the_process_is_no_clean_close(sender):
    """Guard against answers that a killed peer cuts and that look whole."""
    with relay_world() as world:
        first, second = open_pair(world, sender)
        first.sendall(b'part')
        assert world.receive(second, 4) == b'part'
        world.kill()
        assert receive_end_without_turns(second) == 'reset'


@both_directions
def test_the_end_of_the_process_before_the_last_bytes_is_no_clean_close(
    sender,
):
    """Guard against answers that a killed peer cuts and that look whole."""
    with relay_world() as world:
        first, second = open_pair(world, sender)
        second.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        for end in world.list_ends():
            end.transport.bufferSize = 2 * ANSWER_BYTES
            end.transport.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
        first.setblocking(True)
        sending = Thread(target=first.sendall, args=(bytes(ANSWER_BYTES),))
        sending.start()
        world.turn_until(lambda: not sending.is_alive())
        first.close()
        # The relay has read the clean close, and holds bytes to send.
        world.turn_until(lambda: sum(e.is_open for e in world.list_ends()) == 1)
        world.kill()
        assert receive_end_without_turns(second) == 'reset'


def test_an_abandoned_attempt_ends_at_the_target():
    """Guard against targets that work for callers who have gone."""
    with relay_world() as world:
        connection, accepted = world.open(world.add_target())
        send_request(connection, Answer())
        world.receive(accepted, 25)
        connection.abandon()
        assert world.receive_end(accepted)[1] == 'reset'
        world.turn_until(lambda: not world.server.count_open())


def test_a_peer_that_leaves_while_the_target_is_silent_frees_its_place():
    with relay_world(max_relayed=1) as world:
        Silent(world)
        raw = world.open_raw()
        world.turn_until(world.server.count_open)
        raw.close()
        world.turn_until(lambda: not world.server.count_open())
        world.directory.remove('t1')
        world.open(world.add_target('t2'))


def test_a_connection_without_a_request_is_closed_in_time():
    """Guard against strangers that hold the connections of the relay."""
    with relay_world() as world:
        raw = world.dial()
        raw.sendall(encode_request(request())[:9])
        world.turn_until(world.server.count_open)
        world.turn_for_a_while()
        world.clock.advance(REQUEST_TIMEOUT_MS - 1)
        world.turn_for_a_while()
        assert world.server.count_open() == 1
        world.clock.advance(1)
        assert world.receive_end(raw) == (b'', 'reset')
        assert world.server.count_open() == 0


@pytest.mark.parametrize(
    'sent', [b'GET / HTTP/1.1\r\n\r\n', b'\xff\xff', b'\x00\x00']
)
def test_bytes_that_are_no_request_end_the_connection(sent):
    with relay_world() as world:
        raw = world.dial()
        raw.sendall(sent)
        assert world.receive_end(raw) == (b'', 'reset')


def test_bytes_before_the_connection_is_open_end_it():
    with relay_world() as world:
        Silent(world)
        raw = world.open_raw()
        world.turn_until(world.server.count_open)
        world.turn_for_a_while()
        raw.sendall(b'early')
        assert world.receive_end(raw) == (b'', 'reset')
        world.turn_until(lambda: not world.server.count_open())


def test_connections_of_peers_are_bounded():
    with relay_world(max_open=2) as world:
        kept = [world.dial() for _ in range(2)]
        world.turn_until(lambda: world.server.count_open() == 2)
        assert world.receive_end(world.dial()) == (b'', 'closed')
        assert world.server.count_open() == len(kept)


def test_a_denied_request_reaches_no_target():
    with relay_world() as world:
        target = world.add_target()
        raw = world.open_raw(token='x')
        received, end = world.receive_end(raw)
        assert (received, end) == (b'\x03', 'closed')
        assert not target.has_caller


def test_connections_in_use_go_on_while_the_instance_leaves():
    """Guard against answers that are cut by a peer that is restarted."""
    with relay_world() as world:
        raw, accepted = open_raw(world, world.add_target())
        stopping = Pending(world.server.stop())
        assert not world.server.is_accepting
        world.clock.advance(GRACE_MS - 100)
        accepted.sendall(b'late')
        assert world.receive(raw, 4) == b'late'
        assert not stopping.is_done
        accepted.close()
        assert world.receive_end(raw) == (b'', 'closed')
        world.clock.advance(100)
        world.turn_until(lambda: stopping.is_done)


def test_connections_are_reset_at_the_end_of_the_grace():
    with relay_world() as world:
        raw, accepted = open_raw(world, world.add_target())
        stopping = Pending(world.server.stop())
        for _ in range(GRACE_MS // 100):
            world.clock.advance(100)
        world.turn_until(lambda: stopping.is_done)
        assert world.receive_end(raw)[1] == 'reset'
        assert world.receive_end(accepted)[1] == 'reset'


def test_the_grace_begins_when_the_instance_begins_to_leave():
    """Guard against processes killed in the middle of their stop."""
    with relay_world() as world:
        open_raw(world, world.add_target())
        world.server.leave()
        world.clock.advance(GRACE_MS)
        stopping = Pending(world.server.stop())
        world.turn_until(lambda: stopping.is_done)


def test_a_relay_that_is_not_in_use_stops_at_once():
    with relay_world() as world:
        stopping = Pending(world.server.stop())
        world.turn_until(lambda: stopping.is_done)


def test_an_instance_whose_relay_port_is_taken_relays_nothing():
    """Guard against instances that serve nobody for want of a relay."""
    with relay_world() as world:
        second = RelayServer(
            RelayAdmission(TOKEN, world.directory),
            HOST,
            world.port,
            GRACE_MS,
            world.meters,
            LinkQueue(),
            world.clock,
            world.reactor,
        )
        Pending(second.start()).result()
        assert not second.is_accepting
        Pending(second.stop()).result()


@pytest.mark.parametrize('seed', range(4))
def test_bytes_in_both_directions_stay_in_order(seed):
    """Guard against bytes that are lost or crossed while an end is paused."""
    chance = Random(seed)
    with relay_world() as world:
        raw, accepted = open_raw(world, world.add_target())
        sent = {raw: chance.randbytes(3_000_000), accepted: PIECE * 40}
        received = {raw: b'', accepted: b''}
        sent_bytes = {raw: 0, accepted: 0}

        def is_complete():
            for source, sink in ((raw, accepted), (accepted, raw)):
                size = chance.randrange(1, 200_000)
                begin = sent_bytes[source]
                if chance.random() < 0.5:
                    sent_bytes[source] += send_some(
                        source, sent[source][begin : begin + size]
                    )
                if chance.random() < 0.5:
                    received[sink] += read_some(sink, size)
            return all(
                len(received[sink]) == len(sent[source])
                for source, sink in ((raw, accepted), (accepted, raw))
            )

        world.turn_until(is_complete)
        assert received == {raw: sent[accepted], accepted: sent[raw]}


def send_some(one_socket, piece):
    """Send what the socket takes, and return how much that is."""
    try:
        return one_socket.send(piece)
    except BlockingIOError:
        return 0
