"""
Tests of admission and of callers' connections.

They guard against requests that pass without a valid key or route, against
refusals that a stale configuration does not justify, and against connections
that smuggle, stall or flood requests.
"""

import pytest

from cicadahoist.policy.caller_admission.caller_limits import DEFAULT_NOTICE_MS
from cicadahoist.rules import CallerLimits
from cicadahoist.serving.inbound import READ_AHEAD_BYTES
from tests.test_serving.world import (
    HOST,
    World,
    connect,
    deployment,
    target,
)


@pytest.fixture
def world():
    world = World()
    world.add(target('t1'))
    return world


def test_unknown_routes_and_keys_are_refused(world):
    assert world.send_request(b'/none/').status == 404
    assert world.send_request(b'/submit/x', key=b'wrong').status == 401
    assert world.send_request(b'/submit/x', key=b'').status == 401
    assert not world.sent


def test_open_routes_need_no_key_and_no_fresh_store(world):
    world.are_keys_fresh = False
    caller = world.send_request(b'/open/x', key=b'')
    world.sent[0].answer()
    assert caller.status == 200
    assert world.sent[0].header(b'X-Cicadahoist-Tenant') is None


def test_keys_that_may_have_been_withdrawn_are_refused_as_not_run(world):
    world.are_keys_fresh = False
    caller = world.send_request(b'/submit/x')
    assert caller.status == 503
    assert caller.header(b'Retry-After')
    assert not world.sent


def test_without_a_configuration_requests_get_503_not_404(world):
    world.context.deployment = None
    caller = world.send_request(b'/none/')
    assert caller.status == 503


def test_a_new_configuration_holds_for_the_next_request(world):
    world.context.apply_deployment(deployment(2, keys=('k2',)))
    assert world.send_request(b'/submit/x').status == 401
    world.send_request(b'/submit/x', key=b'k2')
    assert len(world.sent) == 1


def test_a_request_without_attempt_id_is_malformed(world):
    caller = world.caller()
    caller.write(
        b'POST /submit/x HTTP/1.1\r\nHost: ' + HOST.encode() + b'\r\n'
        b'Authorization: Token k1\r\nContent-Length: 0\r\n\r\n'
    )
    assert caller.status == 400


def test_two_framings_of_one_body_are_refused(world):
    caller = world.caller()
    caller.write(
        b'POST /submit/x HTTP/1.1\r\nHost: h.example\r\n'
        b'X-Cicadahoist-Attempt-Id: s1\r\nContent-Length: 4\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /submit/y'
    )
    assert caller.status == 400
    assert caller.is_closed
    assert not world.sent


def test_chunked_bodies_reach_the_target_whole(world):
    caller = world.caller()
    caller.write(
        b'POST /submit/x HTTP/1.1\r\nHost: h.example\r\n'
        b'X-Cicadahoist-Attempt-Id: s1\r\nAuthorization: Token k1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'
    )
    caller.write(b'2\r\nde\r\n0\r\n\r\n')
    assert world.sent[0].request.endswith(b'\r\n\r\nabcde')
    assert world.sent[0].header(b'Content-Length') == b'5'


def test_bounds_on_heads_and_bodies():
    world = World()
    limits = CallerLimits(header_bytes=300, body_bytes=10)
    world.context.apply_deployment(deployment(limits=limits))
    # Until then callers may rely on the wider limits of before.
    world.clock.advance(DEFAULT_NOTICE_MS + 1)
    world.add(target('t1'))
    assert (
        world.send_request(b'/submit/x', b'X-Long: ' + b'a' * 400).status == 431
    )
    caller = world.send_request(b'/submit/x', body=b'b' * 11)
    assert caller.status == 413
    assert caller.is_closed


def test_slow_heads_get_408_and_idle_connections_are_closed(world):
    slow = world.caller_connections.buildProtocol(None)
    idle = world.caller_connections.buildProtocol(None)
    slow_transport, idle_transport = connect(slow), connect(idle)
    world.caller_connections.start_sweeping()
    slow.dataReceived(b'POST /submit/x HT')
    for _ in range(16):
        world.clock.advance(250)
    assert b' 408 ' in slow_transport.value()
    assert idle_transport.protocol is not None
    for _ in range(48):
        world.clock.advance(250)
    assert idle_transport.protocol is None
    assert not idle_transport.value()


def test_requests_on_one_connection_are_answered_in_turn(world):
    caller = world.caller()
    for _ in range(2):
        caller.send(b'/submit/x', [b'Authorization: Token k1'])
    assert len(world.sent) == 1
    world.sent[0].answer(body=b'one')
    world.clock.advance(0)
    assert len(world.sent) == 2
    world.sent[1].answer(body=b'two')
    assert caller.received.index(b'one') < caller.received.index(b'two')


# Guards against an answer that is cut off because its caller has sent more
# requests than are read ahead.
def test_read_ahead_is_bounded(world):
    caller = world.caller()
    caller.send(b'/submit/x', [b'Authorization: Token k1'])
    caller.write(b'x' * READ_AHEAD_BYTES)
    assert caller.transport.producerState == 'producing'
    caller.write(b'x')
    assert caller.transport.producerState == 'paused'
    world.sent[0].answer(body=b'one')
    assert caller.received.endswith(b'one')
    assert caller.transport.producerState == 'producing'


def test_a_leaving_instance_asks_callers_to_connect_elsewhere(world):
    world.front.departure.begin(world.clock.now_ms(), 8000)
    caller = world.send_request(b'/submit/x')
    world.sent[0].answer()
    assert caller.status == 200
    assert caller.header(b'Connection') == b'close'
    assert caller.is_closed


def test_expect_100_continue_is_answered(world):
    caller = world.caller()
    caller.write(
        b'POST /submit/x HTTP/1.1\r\nHost: h.example\r\n'
        b'X-Cicadahoist-Attempt-Id: s1\r\nAuthorization: Token k1\r\n'
        b'Expect: 100-continue\r\nContent-Length: 2\r\n\r\n'
    )
    assert caller.received.startswith(b'HTTP/1.1 100 ')
    caller.write(b'ab')
    assert world.sent[0].request.endswith(b'ab')
    assert world.sent[0].header(b'Expect') is None


def test_an_unknown_route_gets_503_under_a_stale_configuration(
    world,
):
    assert world.send_request(b'/none/').status == 404
    world.are_keys_fresh = False
    assert world.send_request(b'/none/').status == 503
