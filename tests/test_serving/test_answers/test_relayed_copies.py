"""
Copies of answers through a peer, beside cuts and the stop of the peer.

They guard against an answer of another request (MIXED) where the bytes of a
target take the way through another instance.
"""

import h11
import pytest

from cicadahoist.serving.answers.endings import AnswerEnding, AnswerLoss
from tests.coroutines import Pending
from tests.test_serving.cut_world import CutWorld
from tests.test_serving.network import Cut, Peer
from tests.test_serving.relay_world import (
    GRACE_MS,
    Answer,
    relay_world,
)
from tests.test_serving.test_answers.copies import build_answer, build_head
from tests.test_serving.world import target

SETTLE_MS = 50
STEP_BYTES = 9
REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'


class RelayedPair:
    """Two requests on one connection through a peer."""

    def __init__(self, *, is_cut_off=True):
        peers = (Peer('peer-1'), Peer('peer-2'))
        self.world = CutWorld(target('t1'), peers=peers)
        if is_cut_off:
            self.world.network.cut(Cut.refused)
        self.world.network.frozen.add('t1')
        _, self.first = self.send()
        self.first.answer()
        self.caller, self.again = self.send()

    def send(self):
        caller = self.world.send_request(b'/submit/x')
        self.world.advance(SETTLE_MS)
        return caller, self.world.network.arrivals[-1]

    def write(self, *pieces):
        for piece in pieces:
            if piece and not self.again.is_closed:
                self.again.write(piece)

    @property
    def is_own(self):
        return (self.caller.status, self.caller.body) == (500, b'own')

    @property
    def is_lost(self):
        return self.caller.status == 502 and not self.caller.body


@pytest.mark.parametrize('framing', ['length', 'chunks'])
def test_a_copy_in_parts_through_a_peer_is_skipped(framing):
    for cut in range(1, len(build_answer(b'a000')), STEP_BYTES):
        pair = RelayedPair()
        assert pair.again.is_relayed
        assert pair.again.connection is pair.first.connection
        copy = build_answer(pair.first.attempt_id, framing=framing)
        own = build_answer(pair.again.attempt_id, 500)
        pair.write(copy[:cut], copy[cut:] + own[:cut], own[cut:])
        assert pair.is_own, cut


def test_a_copy_that_breaks_off_through_a_peer_gives_nothing():
    for cut in range(1, len(build_answer(b'a000')), STEP_BYTES):
        pair = RelayedPair()
        copy = build_answer(pair.first.attempt_id)[:cut]
        pair.write(copy + build_answer(pair.again.attempt_id, 500))
        assert pair.is_own or pair.is_lost, cut


# Guards against a copy on a direct connection, kept over a cut, for a request
# that was sent through a peer, and the other way round.
@pytest.mark.parametrize('is_cut_off', [False, True])
def test_a_copy_on_the_other_path_answers_no_request(is_cut_off):
    pair = RelayedPair(is_cut_off=is_cut_off)
    pair.again.answer()
    if is_cut_off:
        pair.world.network.heal()
        pair.world.advance(3000)
        # Its path is tried beside it.
        pair.send()[1].answer()
        pair.world.advance(SETTLE_MS)
    else:
        pair.world.network.cut(Cut.reset)
    caller, third = pair.send()
    assert third.is_relayed is not is_cut_off
    assert third.connection is not pair.first.connection
    pair.write(build_answer(pair.first.attempt_id))
    third.answer(500, b'own')
    assert (caller.status, caller.body) == (500, b'own')


# Guards against a reset or an end of the peer that looks like the end of an
# answer, with a copy behind it or not.
@pytest.mark.parametrize('copy_size', [0, 30, 4096])
def test_an_unframed_answer_through_a_peer_that_ends_is_lost(copy_size):
    pair = RelayedPair()
    copy = build_answer(pair.again.attempt_id)[:copy_size]
    pair.write(build_head(pair.again.attempt_id, framing='close') + b'ow', copy)
    pair.world.network.reset_relayed()
    assert pair.is_lost


def ask(world, connection, accepted):
    """Send a request over sockets; return its answer."""
    answer = Answer()
    connection.send(
        h11.Request(method='GET', target='/x', headers=[('Host', 'h')]),
        b'',
        answer,
        Pool(),
    )
    world.receive(accepted, len(REQUEST))
    return answer


class Pool:
    """Takes connections back."""

    def release(self, connection):
        """Do nothing."""

    def discard(self, connection):
        """Do nothing."""

    def record_heard(self, connection):
        """Do nothing."""


# Guards against the end of the grace of a peer, beside the end of its target:
# a clean close that is still to be passed on, and a copy before it.
@pytest.mark.parametrize('is_ended', [True, False])
def test_the_end_of_the_grace_of_a_peer_is_no_end_of_an_answer(is_ended):
    with relay_world() as world:
        connection, accepted = world.open(world.add_target())
        stop = Pending(world.server.stop())
        answer = ask(world, connection, accepted)
        accepted.sendall(UNFRAMED_HEAD + b'own')
        world.turn_until(lambda: answer.body)
        if is_ended:
            accepted.close()
            world.turn_until(lambda: answer.end is not None)
        world.clock.advance(GRACE_MS + 1000)
        world.turn_until(lambda: answer.end is not None)
        expected = AnswerEnding.closed if is_ended else AnswerLoss.reset
        assert (answer.body, answer.end) == (b'own', expected)
        world.turn_until(lambda: stop.is_done)
