"""State of sockets that the event loop has not read yet."""

import socket
from enum import Enum
from typing import Any

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


def is_closed_by_peer(transport: Any) -> bool:
    """
    Return whether the peer of a connection has closed it.

    The event loop reports a close only when its turn comes.

    :param transport: a twisted TCP transport that is not lost yet
    """
    return peek_input(transport) is SocketInput.ended


def has_unread_input(transport: Any) -> bool:
    """
    Return whether bytes wait in the socket of a connection.

    They have arrived before a timer that fires now.

    :param transport: a twisted TCP transport that is not lost yet
    """
    return peek_input(transport) is SocketInput.unread
