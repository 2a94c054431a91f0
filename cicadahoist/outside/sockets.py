"""State of the sockets below twisted's transports."""

import fcntl
import socket
import termios
from array import array
from enum import Enum
from typing import Any

from twisted.internet.interfaces import IReadDescriptor

from cicadahoist.log import get_logger

logger = get_logger(__name__)


class SocketInput(Enum):
    """
    What the event loop would find if it read a socket now.

    ``ended``: the peer has closed or reset the connection.
    """

    nothing = 'nothing'
    unread = 'unread'
    ended = 'ended'


def peek_input(transport: Any) -> SocketInput:
    """
    Return what has arrived at a connection and is not read yet.

    A close behind bytes that are not read yet is not recognized.

    :param transport: a twisted TCP transport that is not lost yet
    """
    try:
        piece = transport.getHandle().recv(
            1, socket.MSG_PEEK | socket.MSG_DONTWAIT
        )
    except BlockingIOError:
        return SocketInput.nothing
    except OSError as error:
        logger.debug('connection is broken: {0}', error)
        return SocketInput.ended
    return SocketInput.unread if piece else SocketInput.ended


def has_unread_input(transport: Any) -> bool:
    """
    Return whether bytes wait in the socket of a connection.

    They have arrived before a timer that fires now.

    :param transport: a twisted TCP transport that is not lost yet
    """
    return peek_input(transport) is SocketInput.unread


def count_unsent_bytes(transport: Any) -> int:
    """
    Return the bytes of a connection that the peer has not acknowledged.

    :param transport: a twisted TCP transport that is not lost yet
    """
    queued_bytes = array('i', [0])
    fcntl.ioctl(transport.getHandle(), termios.TIOCOUTQ, queued_bytes)
    return queued_bytes[0] + count_buffered_bytes(transport)


def count_buffered_bytes(transport: Any) -> int:
    """
    Return the bytes that a transport has not handed to the system yet.

    :param transport: a twisted TCP transport that is not lost yet
    """
    unjoined_bytes: int = transport._tempDataLen  # noqa: SLF001
    return len(transport.dataBuffer) - transport.offset + unjoined_bytes


def take_error(transport: Any) -> int:
    """
    Return the pending error of a connection, 0 for none, and clear it.

    :param transport: a twisted TCP transport that is not lost yet
    """
    error_number: int = transport.getHandle().getsockopt(
        socket.SOL_SOCKET, socket.SO_ERROR
    )
    return error_number


def accept_waiting(port: Any) -> None:
    """
    Accept the connections that the system has made but the process has not.

    They would be reset when the port is closed. Twisted accepts fewer at a time
    after a turn that accepted few.

    :param port: a listening port of twisted
    """
    if not IReadDescriptor.providedBy(port):
        return
    accepted_count = -1
    while accepted_count < port.sessionno:
        accepted_count = port.sessionno
        port.doRead()
