"""Connection between the entry and control processes of one instance."""

from typing import Any, Protocol

import pynng

from cicadahoist.mesh.transport import (
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
    Receiver,
    SocketReader,
    limit_threads,
    try_send,
)

LOOPBACK = '127.0.0.1'
BUFFER_MESSAGES = 64


class LocalPair(Protocol):
    """One end of the connection, which may lose messages."""

    def start(self, receiver: Receiver) -> None:
        """Start passing received messages to ``receiver``."""

    def send(self, wire: bytes) -> bool:
        """Queue a message; false where nobody takes it."""

    def stop(self) -> None:
        """Close the connection."""


class NngPair:
    """
    One end of a pynng ``pair`` connection on loopback.

    :param reactor: the twisted reactor
    :param port: TCP port
    :param listens: whether this end listens (the entry) or dials (control)
    """

    __slots__ = ('_address', '_listens', '_reactor', '_reader', '_socket')

    def __init__(self, reactor: Any, port: int, *, listens: bool) -> None:
        self._reactor = reactor
        self._address = f'tcp://{LOOPBACK}:{port}'
        self._listens = listens
        self._socket: Any = None
        self._reader: SocketReader | None = None

    def start(self, receiver: Receiver) -> None:
        """Start passing received messages to ``receiver``."""
        limit_threads()
        self._socket = pynng.Pair0(
            recv_buffer_size=BUFFER_MESSAGES,
            send_buffer_size=BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        if self._listens:
            self._socket.listen(self._address)
        else:
            self._socket.dial(self._address, block=False)
        self._reader = SocketReader(self._reactor, self._socket, receiver)
        self._reactor.addReader(self._reader)

    def send(self, wire: bytes) -> bool:
        """Queue a message; false where nobody takes it."""
        return try_send(self._socket, wire)

    def stop(self) -> None:
        """Close the connection."""
        if self._reader is not None:
            self._reader.close()
            self._reader = None


class MemoryPair:
    """One end of an in-memory connection, for tests."""

    __slots__ = ('_receiver', 'is_cut', 'other')

    def __init__(self) -> None:
        self.other: MemoryPair | None = None
        self.is_cut = False
        self._receiver: Receiver | None = None

    @classmethod
    def create_pair(cls) -> 'tuple[MemoryPair, MemoryPair]':
        """Create a connection, and return both ends."""
        left = cls()
        right = cls()
        left.other = right
        right.other = left
        return left, right

    def start(self, receiver: Receiver) -> None:
        """Start passing received messages to ``receiver``."""
        self._receiver = receiver

    def send(self, wire: bytes) -> bool:
        """Deliver a message to the other end at once."""
        if self.is_cut or self.other is None:
            return False
        return self.other.deliver(wire)

    def deliver(self, wire: bytes) -> bool:
        """Receive a message from the other end."""
        if self._receiver is None:
            return False
        self._receiver(wire)
        return True

    def stop(self) -> None:
        """Stop receiving messages."""
        self._receiver = None
