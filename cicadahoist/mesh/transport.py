"""Datagram-like transport over pynng sockets, driven by the reactor."""

from collections.abc import Callable
from typing import Any, Protocol

import pynng

from cicadahoist.log import get_logger

logger = get_logger(__name__)

Receiver = Callable[[bytes], None]

MAX_MESSAGE_BYTES = 16_777_216
SEND_BUFFER_MESSAGES = 16
RECEIVE_BUFFER_MESSAGES = 64
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000

# Parameters of ``nng_init_set_parameter`` and the threads that each starts;
# by default the library starts several for each core.
_THREADS_BY_PARAMETER = {1: 2, 2: 1, 3: 1, 4: 1, 5: 2, 6: 1, 7: 1}


class Transport(Protocol):
    """
    Sends whole messages to addresses (``host:port``).

    Messages may be lost or delayed and, after a reconnection, reordered.
    """

    def start(self, receiver: Receiver) -> None:
        """Start passing received messages to ``receiver``."""

    def send(self, address: str, wire: bytes) -> bool:
        """Queue a message; false where the queue of the peer is full."""

    def close_connection(self, address: str) -> None:
        """Close the connection to an address, queued messages included."""

    def stop(self) -> None:
        """Close all sockets."""


def limit_threads() -> None:
    """Limit the threads of pynng; has no effect after the first socket."""
    for parameter, threads in _THREADS_BY_PARAMETER.items():
        pynng.lib.nng_init_set_parameter(parameter, threads)


class NngTransport:
    """
    One ``pull`` socket for all peers, one ``push`` socket to each.

    :param reactor: the twisted reactor
    :param host: IP number on which peers reach this process
    :param port: TCP port
    """

    __slots__ = ('_address', '_reactor', '_reader', '_socket_by_address')

    def __init__(self, reactor: Any, host: str, port: int) -> None:
        self._reactor = reactor
        self._address = f'tcp://{host}:{port}'
        self._socket_by_address: dict[str, Any] = {}
        self._reader: SocketReader | None = None

    def start(self, receiver: Receiver) -> None:
        """Listen, and begin to pass received messages to ``receiver``."""
        limit_threads()
        socket = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        socket.listen(self._address)
        self._reader = SocketReader(self._reactor, socket, receiver)
        self._reactor.addReader(self._reader)

    def send(self, address: str, wire: bytes) -> bool:
        """Queue a message; false where the queue of the peer is full."""
        socket = self._socket_by_address.get(address)
        if socket is None:
            socket = _dial(address)
            self._socket_by_address[address] = socket
        return try_send(socket, wire)

    def close_connection(self, address: str) -> None:
        """Close the connection to an address, queued messages included."""
        socket = self._socket_by_address.pop(address, None)
        if socket is not None:
            socket.close()

    def stop(self) -> None:
        """Close all sockets."""
        for address in list(self._socket_by_address):
            self.close_connection(address)
        if self._reader is not None:
            self._reader.close()
            self._reader = None


class SocketReader:
    """
    Delivers the messages of a pynng socket in the reactor thread.

    :param reactor: the twisted reactor
    :param socket: a pynng socket that can receive
    :param receiver: called with each message
    """

    __slots__ = ('__weakref__', '_fileno', '_reactor', '_receiver', '_socket')

    def __init__(self, reactor: Any, socket: Any, receiver: Receiver) -> None:
        self._reactor = reactor
        self._socket = socket
        self._receiver = receiver
        # Cached, since each access of the option calls into the library.
        self._fileno: int = socket.recv_fd

    def fileno(self) -> int:
        """Return the descriptor that is readable while messages are queued."""
        return self._fileno

    def logPrefix(self) -> str:  # noqa: N802
        """Return the prefix for twisted's error log."""
        return 'mesh'

    def doRead(self) -> None:  # noqa: N802
        """Receive one message; the descriptor stays readable if more wait."""
        try:
            wire = self._socket.recv(block=False)
        except pynng.NNGException:
            return
        self._receiver(wire)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Log that the reactor dropped the descriptor."""
        logger.warning('mesh socket lost: {0}', reason)

    def close(self) -> None:
        """Stop reading and close the socket."""
        self._reactor.removeReader(self)
        self._socket.close()


def try_send(socket: Any, wire: bytes) -> bool:
    """Queue a message without waiting; false where the queue is full."""
    try:
        socket.send(wire, block=False)
    except pynng.NNGException:
        return False
    return True


def _dial(address: str) -> Any:
    socket = pynng.Push0(
        send_buffer_size=SEND_BUFFER_MESSAGES,
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    socket.dial(f'tcp://{address}', block=False)
    return socket
