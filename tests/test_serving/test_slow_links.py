"""
Tests of answers that take long to leave.

They guard against whole answers that are cut off because their connection is
aborted while its bytes are still on their way to the caller.
"""

from twisted.internet.error import ConnectionDone

from cicadahoist.serving.inbound import LINGER_MS, CallerConnection
from tests.test_serving.world import Transport, World, target

# A full link holds packets for longer than half a second.
SLOW_MS = 3000


class SlowTransport(Transport):
    """Transport that is lost only once its bytes have left."""

    def loseConnection(self):
        self.disconnecting = True

    def finish(self):
        """Let the last bytes leave."""
        self.lose(ConnectionDone())


def answer_and_close(world):
    """Answer a request whose caller wants its connection closed."""
    connection = CallerConnection(world.front, world.clock, world.loop_times)
    transport = SlowTransport()
    transport.protocol = connection
    connection.makeConnection(transport)
    connection.dataReceived(
        b'GET /submit/x HTTP/1.1\r\nHost: h.example\r\n'
        b'Authorization: Token k1\r\nX-Cicadahoist-Attempt-Id: a1\r\n'
        b'Connection: close\r\n\r\n'
    )
    world.sent[0].answer(body=b'filed')
    assert transport.value().endswith(b'filed')
    assert transport.disconnecting
    return transport


def test_an_answer_that_leaves_slowly_is_not_cut_off():
    world = World()
    world.add(target('t1'))
    transport = answer_and_close(world)
    world.clock.advance(SLOW_MS)
    assert not transport.is_aborted
    transport.finish()
    world.clock.advance(LINGER_MS)
    assert not transport.is_aborted


def test_a_connection_that_never_empties_is_aborted():
    world = World()
    world.add(target('t1'))
    transport = answer_and_close(world)
    world.clock.advance(LINGER_MS)
    assert transport.is_aborted
