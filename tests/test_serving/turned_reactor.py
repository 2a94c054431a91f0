"""
Test harness: callers' connections on real sockets, with a reactor by hand.

What is ready in a turn of the event loop does not depend on the time: a test
goes on once the bytes that it sends have arrived.
"""

import fcntl
import select
import socket
import struct
import termios
from time import sleep

import h11
from twisted.internet.main import CONNECTION_DONE
from twisted.internet.tcp import Server
from twisted.python.failure import Failure

HOST = '127.0.0.1'
TIMEOUT_S = 10
POLL_S = 0.001
# Bytes that any socket takes before its process reads.
WINDOW_BYTES = 32_768
# Bytes that were sent and are not acknowledged yet; Linux.
SIOCOUTQ = 0x5411


class TurnedReactor:
    """Reactor whose turns a test makes: reads first, then writes."""

    def __init__(self) -> None:
        self._readers = set()
        self._writers = set()
        self._delayed_calls = []

    def addReader(self, selectable):
        self._readers.add(selectable)

    def addWriter(self, selectable):
        self._writers.add(selectable)

    def removeReader(self, selectable):
        self._readers.discard(selectable)

    def removeWriter(self, selectable):
        self._writers.discard(selectable)

    def callLater(self, wait_s, action, *args):
        self._delayed_calls.append((action, args))

    def turn(self):
        """Make one turn, without waiting for input."""
        delayed_calls, self._delayed_calls = self._delayed_calls, []
        for action, args in delayed_calls:
            action(*args)
        readable, writable, _ = select.select(
            self._readers, self._writers, (), 0
        )
        for selectable in {*readable, *writable}:
            reason = None
            if selectable in readable:
                reason = selectable.doRead()
            if reason is None and selectable in writable:
                reason = selectable.doWrite()
            if reason is not None:
                self._disconnect(selectable, reason)

    def turn_until_idle(self):
        """Make turns until nothing is ready any more."""
        for _ in range(20):
            self.turn()

    def _disconnect(self, selectable, reason):
        self.removeReader(selectable)
        if reason is CONNECTION_DONE and selectable.connected:
            if not selectable.disconnecting:
                selectable.readConnectionLost(Failure(reason))
                return
        self.removeWriter(selectable)
        selectable.connectionLost(Failure(reason))


class SocketCaller:
    """A caller on a real socket, and what it has received."""

    def __init__(self, reactor, protocol) -> None:
        self._reactor = reactor
        self.protocol = protocol
        with socket.create_server((HOST, 0)) as listener:
            self.socket = socket.create_connection(
                listener.getsockname(), TIMEOUT_S
            )
            accepted, address = listener.accept()
        self.transport = Server(accepted, protocol, address, None, 0, reactor)
        protocol.makeConnection(self.transport)

    def send(self, path, body=b'', length=None):
        """Send a request; the process reads it in the next turn."""
        self.write(make_request(path, body, length))

    def write(self, piece):
        """Send bytes, and wait until a window of them has arrived."""
        arrived = count_queued(self.transport.socket, termios.FIONREAD)
        self.socket.sendall(piece)
        expected = min(arrived + len(piece), WINDOW_BYTES)
        wait_until(
            lambda: (
                count_queued(self.transport.socket, termios.FIONREAD)
                >= expected
            )
        )

    def receive(self):
        """Return what the instance sends until its turns change nothing."""
        self._reactor.turn_until_idle()
        self.socket.setblocking(False)
        received = bytearray()
        wait_until(lambda: self._take_rest(received))
        return bytes(received)

    def _take_rest(self, received):
        """Read what has arrived; return whether nothing is under way."""
        is_delivered = self.transport.connected and not count_queued(
            self.transport.socket, SIOCOUTQ
        )
        try:
            while piece := self.socket.recv(65_536):
                received += piece
        except BlockingIOError:
            return is_delivered
        except ConnectionResetError:
            return True
        return True

    @property
    def is_unread(self):
        """Whether the instance has read nothing of what was sent last."""
        http = self.protocol._http
        return http.their_state is h11.IDLE and not http.trailing_data[0]

    @property
    def is_closed_by_instance(self):
        """Whether the instance has ended the connection."""
        return not self.transport.connected

    def close(self):
        self.socket.close()


def make_request(path, body=b'', length=None):
    """Return the bytes of a request, its length as stated if that differs."""
    stated = len(body) if length is None else length
    return (
        b'POST ' + path + b' HTTP/1.1\r\nHost: h.example\r\n'
        b'Authorization: Token k1\r\nX-Cicadahoist-Attempt-Id: s1\r\n'
        b'Content-Length: %d\r\n\r\n' % stated + body
    )


def count_queued(one_socket, request):
    """Return the bytes in a queue of a socket, by an ioctl request."""
    answer = fcntl.ioctl(one_socket, request, struct.pack('i', 0))
    return struct.unpack('i', answer)[0]


def wait_until(condition):
    """Wait for the kernel, which delivers on the loopback interface soon."""
    for _ in range(round(TIMEOUT_S / POLL_S)):
        if condition():
            return
        sleep(POLL_S)
    raise TimeoutError('bytes on the loopback interface did not arrive')
