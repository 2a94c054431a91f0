"""
Answers of an instance that end early, as callers of HTTP/1.0 see them.

They guard against a clean close that hides the loss of an answer, or a part of
one: callers of HTTP/1.0 know the end of a stream only by the close.
"""

import socket

import pytest
from twisted.python.failure import Failure

from cicadahoist.rules import CallerLimits
from tests.test_serving.test_closed_connections import SocketWorld
from tests.test_serving.test_killed_in_answer import (
    CUT,
    EVENT,
    LARGE_EVENT,
    Stream,
)
from tests.test_serving.turned_reactor import make_request
from tests.test_serving.world import deployment

BODY_LIMIT_BYTES = 1000
UPLOAD_BYTES = 200_000
# Time in which callers hear of a new configuration.
NOTICE_MS = 2001


@pytest.fixture
def stream():
    stream = Stream()
    yield stream
    for caller in stream.sockets.callers:
        caller.close()


@pytest.fixture
def sockets():
    sockets = SocketWorld()
    yield sockets
    for caller in sockets.callers:
        caller.close()


# Guards against a stream whose end is the half close of its caller.
@pytest.mark.parametrize('event', [EVENT, LARGE_EVENT], ids=['short', 'large'])
def test_a_stream_to_a_caller_that_sends_no_more_is_not_cut_unseen(
    stream, event
):
    stream.send(event)
    stream.caller.socket.shutdown(socket.SHUT_WR)
    assert stream.receive() == CUT


# Guards against the same where the instance meets an unexpected error.
def test_an_unexpected_error_inside_a_stream_resets_it(stream):
    stream.send(EVENT)
    stream.caller.transport.connectionLost(Failure(ValueError()))
    assert stream.receive() == CUT


# Guards against a cut stream that looks whole beside bytes that were not read.
def test_a_stream_of_a_target_that_breaks_off_is_reset(stream):
    stream.send(EVENT)
    stream.caller.write(b'more')
    stream._run.reset()
    assert stream.receive() == CUT


# Guards against a refusal without a length, whose loss would not show.
@pytest.mark.parametrize('version', [b'1.0', b'1.1'])
def test_a_refusal_during_an_upload_states_its_length(sockets, version):
    limits = CallerLimits(body_bytes=BODY_LIMIT_BYTES)
    sockets.world.context.apply_deployment(deployment(9, limits=limits))
    sockets.world.clock.advance(NOTICE_MS)
    caller = sockets.connect()
    head = make_request(b'/submit/x', length=UPLOAD_BYTES)
    caller.write(head.replace(b'HTTP/1.1', b'HTTP/' + version))
    caller.write(bytes(BODY_LIMIT_BYTES))
    received = caller.receive()
    assert received.startswith(b'HTTP/1.1 413 ')
    assert b'content-length: 0\r\n' in received.lower()
    # The rest of the upload is read, so that no reset destroys the refusal.
    caller.write(bytes(BODY_LIMIT_BYTES))
    sockets.reactor.turn_until_idle()
    assert not caller.is_closed_by_instance
    assert not sockets.world.sent
