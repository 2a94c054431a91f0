"""
Tests of the graceful stop of the server for callers.

They guard against whole answers that are cut off because the process ends while
their bytes are still on their way to the callers.
"""

import pytest
from twisted.internet.defer import Deferred, succeed

from cicadahoist.policy.caller_admission.departure import UNREADY_WAIT_MS
from cicadahoist.serving.server import FrontServer
from tests.test_serving.test_slow_links import SlowTransport
from tests.test_serving.world import World, target

GRACE_MS = 10_000
STEP_MS = 10


class Reactor:
    """Keeps the factory of the listening port; there are no sockets."""

    def __init__(self) -> None:
        self.factory = None

    def listenTCP(self, port, factory, backlog, host):
        self.factory = factory
        return self

    def doRead(self):
        """Do nothing: no connection waits."""

    def stopListening(self):
        return succeed(None)


def connect(factory):
    connection = factory.buildProtocol(None)
    transport = SlowTransport()
    transport.protocol = connection
    connection.makeConnection(transport)
    return transport


# Guards against an answer that is lost in the buffer of a process that ends.
@pytest.mark.parametrize('option', [b'close', b'keep-alive'])
def test_the_stop_waits_until_answers_have_left(option):
    world = World()
    world.add(target('t1'))
    reactor = Reactor()
    server = FrontServer(
        world.front, '', 0, GRACE_MS, world.clock, world.loop_times, reactor
    )
    Deferred.fromCoroutine(server.start())
    transport = connect(reactor.factory)
    transport.protocol.dataReceived(
        b'GET /submit/x HTTP/1.1\r\nHost: h.example\r\n'
        b'Authorization: Token k1\r\nX-Cicadahoist-Attempt-Id: a1\r\n'
        b'Connection: ' + option + b'\r\n\r\n'
    )
    stopped = Deferred.fromCoroutine(server.stop())
    world.sent[0].answer(body=b'filed')
    for _ in range((UNREADY_WAIT_MS + 2000) // STEP_MS):
        world.clock.advance(STEP_MS)
    assert transport.disconnecting
    assert not transport.is_aborted
    assert not stopped.called
    transport.finish()
    world.clock.advance(100)
    assert stopped.called
