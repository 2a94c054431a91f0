"""Clean closes that mark the end of an answer, which a killed process lacks."""

import socket
import struct
from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from cicadahoist.outside.sockets import has_unread_input

# Values of SO_LINGER: the kernel resets a connection that is closed, or closes
# it cleanly.
LINGER_RESET = struct.pack('ii', 1, 0)
LINGER_CLEAN = struct.pack('ii', 0, 0)
# Version of HTTP that brought chunks.
CHUNKS_SINCE = b'1.1'


@implementer(IPullProducer)
class Drain:
    """
    Calls an action once a transport has sent all its bytes.

    :param action: called once
    """

    __slots__ = ('_action', '_is_registered')

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action
        self._is_registered = False

    def resumeProducing(self) -> None:
        """Call the action, except on the call at the registration."""
        if self._is_registered:
            self._action()
        self._is_registered = True

    def stopProducing(self) -> None:
        """Do nothing: the connection has ended."""


class LastClose:
    """
    Close of a caller's connection after its last answer.

    Callers of HTTP/1.0 get answers of unknown length without chunks, so that
    only a clean close shows that such an answer is complete.
    """

    __slots__ = ('_ends_answer', '_is_unsent')

    def __init__(self) -> None:
        self._ends_answer = False
        # Whether it waits for the last bytes of an answer that it ends.
        self._is_unsent = False

    def prepare(self, transport: Any, version: bytes) -> None:
        """
        Prepare for an answer of unknown length.

        :param version: HTTP version of the caller
        """
        if version < CHUNKS_SINCE:
            self._ends_answer = True
            reset_on_exit(transport)

    def start(self, transport: Any, *, is_half: bool) -> None:
        """
        Close after all bytes are sent.

        :param is_half: whether the caller still sends
        """
        close = partial(self._close, transport, is_half=is_half)
        if self._ends_answer:
            self._is_unsent = True
            close_when_drained(transport, close)
        else:
            close()

    def abort_unsent(self, transport: Any) -> None:
        """Reset the connection if a close now would cut an answer unseen."""
        if self._is_unsent:
            transport.abortConnection()

    def _close(self, transport: Any, *, is_half: bool) -> None:
        self._is_unsent = False
        if is_half or has_unread_input(transport):
            transport.loseWriteConnection()
        else:
            transport.loseConnection()


def reset_on_exit(transport: Any) -> None:
    """
    Let the end of this process, and an unexpected close, reset a connection.

    :param transport: a twisted TCP transport that is not lost yet
    """
    # Twisted shuts a socket down before it closes it, ahead of the reset.
    transport._shouldShutdown = False  # noqa: SLF001
    _set_linger(transport, LINGER_RESET)


def close_when_drained(transport: Any, close: Callable[[], None]) -> None:
    """
    Allow a clean close once all bytes are sent, and close then.

    :param transport: a twisted TCP transport without a producer
    :param close: closes the transport
    """

    def close_drained() -> None:
        _set_linger(transport, LINGER_CLEAN)
        transport.unregisterProducer()
        close()

    transport.registerProducer(Drain(close_drained), False)
    transport.startWriting()


def _set_linger(transport: Any, linger: bytes) -> None:
    transport.getHandle().setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
