"""
Tests of pooled connections to targets.

They guard against reuse of a connection to a target that has moved or has
closed it, against connections that stay open after their target was removed,
and against targets that are taken for crashed.
"""

import pytest
from twisted.internet.error import (
    ConnectionRefusedError,
    NoRouteError,
    TimeoutError,
)
from twisted.python.failure import Failure

from cicadahoist.clock import Clock
from cicadahoist.serving.outbound import TargetConnection
from cicadahoist.serving.target_connections import (
    Reachability,
    TargetConnections,
)
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


class FailingReactor:
    """Opens no connection."""

    def __init__(self, error):
        self.error = error

    def connectTCP(self, host, port, factory, timeout, bindAddress):
        factory.clientConnectionFailed(self, Failure(self.error))
        return self


def open_connection(connections, listing):
    connection, pool = Pending(connections.open(listing)).result()
    assert isinstance(connection, TargetConnection)
    return connection, pool


# Guards against a request that is sent on a connection which its target has
# closed: it cannot be sent again if it may run only once.
@pytest.mark.parametrize('is_closed', [True, False])
def test_what_a_target_did_with_an_idle_connection_comes_first(is_closed):
    connections = TargetConnections(Reactor(), Clock.manual())
    first, pool = open_connection(connections, target('t1'))
    pool.release(first)
    if is_closed:
        first.transport.close_by_peer()
    else:
        first.transport.receive_unread(b'late answer')
    assert open_connection(connections, target('t1'))[0] is not first
    assert not first.is_open


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


@pytest.mark.parametrize(
    ('error', 'expected'),
    [
        (ConnectionRefusedError(), Reachability.refused),
        (TimeoutError(), Reachability.no_answer),
        (NoRouteError(), Reachability.no_answer),
    ],
)
def test_only_a_refused_connection_shows_a_crash(error, expected):
    """Guard against targets behind a cut that are taken for crashed."""
    connections = TargetConnections(FailingReactor(error), Clock.manual())
    assert Pending(connections.check(target('t1'))).result() is expected


def test_a_check_closes_its_connection():
    reactor = Reactor()
    connections = TargetConnections(reactor, Clock.manual())
    checked = Pending(connections.check(target('t1'))).result()
    assert checked is Reachability.accepted
    assert reactor.transports[0].is_aborted
