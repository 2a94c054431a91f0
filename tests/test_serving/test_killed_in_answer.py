"""
Tests of instances that are killed in an answer which ends with its connection.

They guard against answers that the kernel ends by a clean close, so that they
look complete to callers of HTTP/1.0, which know no chunks (MIXED, ORDER).
"""

import socket

import pytest
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from tests.test_serving.test_closed_connections import STEP_MS, SocketWorld
from tests.test_serving.turned_reactor import wait_until
from tests.test_serving.world import SHORT_PROMPT_HEADERS, target

EVENT = b'id: 1\ndata: t1\n\n'
# More than both sockets hold.
LARGE_EVENT = b'data: ' + bytes(200_000) + b'\n\n'
BUFFER_BYTES = 4096
CUT = (None, 'reset')
REQUEST = b'\r\n'.join(
    (
        b'POST /check/x HTTP/1.0',
        b'Host: h.example',
        b'Authorization: Token k1',
        b'X-Cicadahoist-Attempt-Id: s1',
        b'X-Cicadahoist-Deadline-Ms: 2000',
        b'Content-Length: 0',
        *SHORT_PROMPT_HEADERS,
        b'\r\n',
    )
)


class Stream:
    """A stream to a caller of HTTP/1.0, on a real socket."""

    def __init__(self) -> None:
        self.sockets = SocketWorld()
        self.sockets.world.add(target('d1', 'llm', 'decode'))
        self.caller = self.sockets.serve()
        for own, option in (
            (self.caller.transport.socket, socket.SO_SNDBUF),
            (self.caller.socket, socket.SO_RCVBUF),
        ):
            own.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        self.caller.write(REQUEST)
        self.turn()
        self._run = self.sockets.world.sent[0]
        self._run.begin_stream()
        self._is_alive = True

    def turn(self):
        self.sockets.reactor.turn_until_idle()

    def send(self, event):
        self._run.send_bytes(event)
        self.turn()

    def finish(self):
        self._run.end_stream()
        self.turn()

    def kill(self):
        """End the process: the kernel closes the connection."""
        self._is_alive = False
        if self.caller.transport.connected:
            self.caller.transport.socket.close()

    def stop(self):
        """Stop the server and then the event loop, as twisted stops it."""
        stopped = self.sockets.stop()
        while not stopped.called:
            self.sockets.world.clock.advance(STEP_MS)
        self.turn()
        self._is_alive = False
        if self.caller.transport.connected:
            self.caller.transport.connectionLost(Failure(ConnectionLost()))

    def receive(self):
        """Return the body that arrives and how the connection ends."""
        received = bytearray()
        self.caller.socket.setblocking(False)
        try:
            wait_until(lambda: self._is_ended(received))
        except ConnectionResetError:
            return None, 'reset'
        return received.partition(b'\r\n\r\n')[2], 'closed'

    def _is_ended(self, received):
        if self._is_alive:
            self.turn()
        try:
            piece = self.caller.socket.recv(65_536)
        except BlockingIOError:
            return False
        received.extend(piece)
        return not piece


@pytest.fixture
def stream():
    stream = Stream()
    yield stream
    for caller in stream.sockets.callers:
        caller.close()


# Guards against a stream whose end is the kill of its instance.
def test_a_kill_inside_a_stream_resets_it(stream):
    stream.send(EVENT)
    stream.kill()
    assert stream.receive() == CUT


# Guards against the same while the last bytes wait for the caller to read.
def test_a_kill_before_the_last_bytes_resets_the_stream(stream):
    stream.send(LARGE_EVENT)
    stream.finish()
    stream.kill()
    assert stream.receive() == CUT


# Guards against the same at a stop that is out of time.
def test_a_stop_before_the_last_bytes_resets_the_stream(stream):
    stream.send(LARGE_EVENT)
    stream.finish()
    stream.stop()
    assert stream.receive() == CUT


# Guards against whole streams that are reset.
@pytest.mark.parametrize('event', [EVENT, LARGE_EVENT])
@pytest.mark.parametrize('unread', [b'', b'more'])
def test_a_whole_stream_is_closed_cleanly(stream, event, unread):
    stream.send(event)
    if unread:
        stream.caller.write(unread)
    stream.finish()
    assert stream.receive() == (event, 'closed')
    stream.kill()


# Guards against the same at a kill right behind the end.
def test_a_whole_stream_survives_a_kill(stream):
    stream.send(EVENT)
    stream.finish()
    stream.kill()
    assert stream.receive() == (EVENT, 'closed')
