"""
Tests of pooled connections to targets.

They guard against reuse of a connection to a target that has moved, and
against connections that stay open after their target was removed.
"""

from cicadahoist.clock import Clock
from cicadahoist.serving.outbound import TargetConnection, TargetConnections
from tests.coroutines import Pending
from tests.test_serving.world import connect, target


class Reactor:
    """Connects at once, in memory."""

    def __init__(self):
        self.transports = []

    def connectTCP(self, host, port, factory, timeout, bindAddress):
        protocol = factory.buildProtocol(None)
        self.transports.append(connect(protocol))
        return self


def open_connection(connections, listing):
    connection, pool = Pending(connections.open(listing)).result()
    assert isinstance(connection, TargetConnection)
    return connection, pool


def test_a_target_at_a_new_address_gets_new_connections():
    clock = Clock.manual()
    connections = TargetConnections(Reactor(), clock)
    first, pool = open_connection(connections, target('t1'))
    pool.release(first)
    again, _ = open_connection(connections, target('t1'))
    assert again is first
    pool.release(first)
    moved = target('t1').__class__(
        name='t1', service='app', address='10.0.0.2:80', zone='zone-a'
    )
    other, _ = open_connection(connections, moved)
    assert other is not first
    assert not first.is_open


def test_idle_connections_to_targets_that_left_are_closed():
    connections = TargetConnections(Reactor(), Clock.manual())
    first, pool = open_connection(connections, target('t1'))
    pool.release(first)
    connections.retain({'t2'})
    assert not first.is_open
