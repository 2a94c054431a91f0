"""
Test harness: callers' connections on real sockets, with a reactor by hand.

Bytes on the loopback interface have arrived when `send` returns, so that what
is ready in a turn of the event loop does not depend on the time.
"""

import select
import socket

from twisted.internet.main import CONNECTION_DONE
from twisted.internet.tcp import Server
from twisted.python.failure import Failure

HOST = '127.0.0.1'
TIMEOUT_S = 10


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
        self.socket.sendall(piece)

    def receive(self):
        """Return what arrives until the next turns change nothing."""
        self._reactor.turn_until_idle()
        self.socket.setblocking(False)
        received = b''
        try:
            while piece := self.socket.recv(65_536):
                received += piece
        except (BlockingIOError, ConnectionResetError):
            return received
        return received

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
