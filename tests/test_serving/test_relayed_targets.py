"""
Tests of an instance that has lost its links, on real sockets through a peer.

They guard against parts that each work alone and not together: the choice of
the path, the client and the relay.
"""

import h11
import pytest
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure

from cicadahoist.errors import NotSentError
from cicadahoist.serving.answers.endings import AnswerEnding, AnswerLoss
from cicadahoist.serving.answers.overhead import MAX_INTERIM_HEADS
from cicadahoist.serving.relay_peers import RelayState
from cicadahoist.serving.target_connections import TargetConnections
from tests.coroutines import Pending
from tests.test_serving.relay_world import (
    Answer,
    read_some,
    relay_world,
    reset,
)

STEP_MS = 10


class CutReactor:
    """
    Reactor of an instance that reaches its peers and no target.

    :param how: what happens to connections: `hanging` or `refused`
    """

    def __init__(self, world, how) -> None:
        self._world = world
        self._how = how

    def connectTCP(self, host, port, factory, timeout, bindAddress):
        if port == self._world.port:
            return self._world.reactor.connectTCP(
                host, port, factory, timeout, bindAddress
            )
        connector = Connector()
        factory.doStart()
        factory.startedConnecting(connector)
        if self._how == 'refused':
            self._world.clock.call_later(
                0,
                factory.clientConnectionFailed,
                connector,
                Failure(ConnectionRefusedError()),
            )
        return connector

    def __getattr__(self, name):
        return getattr(self._world.reactor, name)


class Connector:
    """Attempt that never succeeds."""

    def stopConnecting(self):
        """Do nothing."""


class CutInstance:
    """Instance `i1`, behind the cut."""

    def __init__(self, world, how) -> None:
        self.world = world
        self.connections = TargetConnections(
            CutReactor(world, how), world.clock
        )
        self.connections.relays = world.client

    def open(self, target):
        """Return a connection and its pool."""
        pending = Pending(self.connections.open(target.listing))

        def advance_until_done():
            if not pending.is_done:
                self.world.clock.advance(STEP_MS)
            return pending.is_done

        self.world.turn_until(advance_until_done)
        return pending.result()


def ask(world, connection, pool, accepted):
    """Send a request, and return the answer after the target has read it."""
    answer = Answer()
    connection.send(
        h11.Request(method='GET', target='/x', headers=[('Host', 'h')]),
        b'',
        answer,
        pool,
    )
    world.receive(accepted, 25)
    read_some(accepted, 1000)
    return answer


@pytest.mark.parametrize('how', ['hanging', 'refused'])
def test_a_request_is_answered_through_a_peer(how):
    """Guard against refusals where peers reach the target (RECOVER)."""
    with relay_world() as world:
        target = world.add_target()
        instance = CutInstance(world, how)
        connection, pool = instance.open(target)
        accepted = target.accept()
        answer = ask(world, connection, pool, accepted)
        accepted.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
        world.turn_until(lambda: answer.end is not None)
        assert (answer.body, answer.end) == (b'ok', AnswerEnding.stated)
        again, _ = instance.open(target)
        assert again is connection


@pytest.mark.parametrize('how', ['hanging', 'refused'])
def test_a_relayed_answer_that_is_cut_is_lost(how):
    """Guard against cut answers without a length that look whole."""
    with relay_world() as world:
        target = world.add_target()
        connection, pool = CutInstance(world, how).open(target)
        accepted = target.accept()
        answer = ask(world, connection, pool, accepted)
        accepted.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
        world.turn_until(lambda: answer.body)
        reset(accepted)
        world.turn_until(lambda: answer.end is not None)
        assert answer.end is AnswerLoss.reset


# Interim heads through a peer were read until the deadline as well.
def test_interim_heads_without_end_through_a_peer_are_bounded():
    with relay_world() as world:
        target = world.add_target()
        connection, pool = CutInstance(world, 'refused').open(target)
        accepted = target.accept()
        answer = ask(world, connection, pool, accepted)
        head = b'HTTP/1.1 100 Continue\r\n\r\n'
        accepted.sendall(head * (MAX_INTERIM_HEADS + 1))
        world.turn_until(lambda: answer.end is not None)
        assert answer.end is AnswerLoss.too_long


def test_a_kept_connection_through_a_leaving_peer_is_not_used_again():
    """Guard against requests on connections that a leaving peer resets."""
    with relay_world() as world:
        target = world.add_target()
        instance = CutInstance(world, 'hanging')
        connection, pool = instance.open(target)
        accepted = target.accept()
        answer = ask(world, connection, pool, accepted)
        accepted.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        world.turn_until(lambda: answer.end is not None)
        world.hear(RelayState(is_accepting=False))
        pending = Pending(instance.connections.open(target.listing))
        for _ in range(100):
            world.clock.advance(STEP_MS)
            world.turn()
        with pytest.raises(NotSentError):
            pending.result()
