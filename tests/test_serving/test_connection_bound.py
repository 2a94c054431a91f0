"""
Tests of the bound on the connections of callers.

They guard against callers that open connections until none to a target, to the
store or to a peer can be opened.
"""

from cicadahoist.policy.caller_admission.connection_bound import (
    compute_max_connections,
)
from cicadahoist.serving.inbound import CallerConnections
from tests.test_serving.world import TARGETS, World, connect

MAX_OPEN = 3


def make_world():
    world = World()
    world.add(*TARGETS)
    world.caller_connections = CallerConnections(
        world.front, world.clock, world.loop_times, MAX_OPEN
    )
    return world


def open_connection(world):
    """Return a new connection and its transport, none if it is closed."""
    world.clock.advance(1)
    connection = world.caller_connections.buildProtocol(None)
    return None if connection is None else (connection, connect(connection))


def begin_request(connection):
    connection.dataReceived(b'GET /submit/x HTTP/1.1\r\nHost: h.example\r\n')


def test_a_further_connection_replaces_the_one_unused_longest():
    world = make_world()
    opened = [open_connection(world) for _ in range(MAX_OPEN)]
    begin_request(opened[0][0])
    assert open_connection(world) is not None
    closed = [transport.protocol is None for _, transport in opened]
    assert closed == [False, True, False]
    assert world.caller_connections.count_open() == MAX_OPEN


def test_a_further_connection_is_closed_where_all_are_in_use():
    world = make_world()
    opened = [open_connection(world) for _ in range(MAX_OPEN)]
    for connection, _ in opened:
        begin_request(connection)
    assert open_connection(world) is None
    assert not any(transport.protocol is None for _, transport in opened)


def test_a_connection_with_a_request_unread_is_not_replaced():
    # Guards against a bound that connections with bytes unread go beyond.
    world = make_world()
    opened = [open_connection(world) for _ in range(MAX_OPEN)]
    for _, transport in opened:
        transport.receive_unread(b'GET')
    assert open_connection(world) is None
    assert world.caller_connections.count_open() == MAX_OPEN


def test_descriptors_are_left_for_the_request_of_each_connection():
    connections = compute_max_connections(4100)
    assert connections == 2340
    assert compute_max_connections(None) is None
    assert compute_max_connections(100) == 1
