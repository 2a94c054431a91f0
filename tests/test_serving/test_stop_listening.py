"""
Tests of connections that a leaving instance has not accepted yet.

They guard against requests that are reset with the listening socket.
"""

import select
import socket

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.tcp import Port

from cicadahoist.policy.caller_admission.departure import UNREADY_WAIT_MS
from cicadahoist.serving.server import FrontServer
from tests.test_serving.turned_reactor import (
    HOST,
    TIMEOUT_S,
    TurnedReactor,
    make_request,
    wait_until,
)
from tests.test_serving.world import World, target

GRACE_MS = 8000
STEP_MS = 10
CALLER_COUNT = 8


class ListeningReactor(TurnedReactor):
    """Reactor by hand with listening sockets."""

    def listenTCP(self, port, factory, backlog, host):
        listening_port = Port(port, factory, backlog, host, self)
        listening_port.startListening()
        return listening_port


@pytest.fixture
def world():
    world = World()
    world.add(target('t1'))
    return world


def call(address):
    """Send a request on a new connection, and return its socket."""
    caller = socket.create_connection(address, TIMEOUT_S)
    caller.sendall(make_request(b'/submit/x'))
    return caller


def has_input(caller):
    return bool(select.select([caller], (), (), 0)[0])


# Guards against a reset of all connections in the queue of the listening socket
# when it is closed: their requests have arrived.
def test_requests_on_connections_not_accepted_yet_are_answered(world):
    reactor = ListeningReactor()
    server = FrontServer(
        world.front, HOST, 0, GRACE_MS, world.clock, world.loop_times, reactor
    )
    Deferred.fromCoroutine(server.start())
    address = (HOST, server._listening_port.getHost().port)
    Deferred.fromCoroutine(server.stop())
    world.clock.advance(UNREADY_WAIT_MS - STEP_MS)
    # Twisted accepts fewer at a time after a turn that accepted few.
    callers = [call(address)]
    wait_until(lambda: has_sent(reactor, world, 1))
    callers.extend(call(address) for _ in range(CALLER_COUNT - 1))
    world.clock.advance(STEP_MS)
    wait_until(lambda: has_sent(reactor, world, CALLER_COUNT))
    for request in world.sent:
        request.answer(body=b'filed')
    reactor.turn_until_idle()
    for caller in callers:
        wait_until(lambda one=caller: has_input(one))
        assert caller.recv(65_536).endswith(b'filed')
        caller.close()
    with pytest.raises(ConnectionRefusedError):
        call(address)


def has_sent(reactor, world, count):
    reactor.turn()
    return len(world.sent) == count
