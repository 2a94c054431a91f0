"""State of the sockets below twisted's transports."""

import socket
from typing import Any

from cicadahoist.log import get_logger

logger = get_logger(__name__)


def has_unread_input(transport: Any) -> bool:
    """
    Return whether bytes wait in the socket of a connection.

    They have arrived before a timer that fires now.

    :param transport: a twisted TCP transport that is not lost yet
    """
    try:
        piece = transport.getHandle().recv(
            1, socket.MSG_PEEK | socket.MSG_DONTWAIT
        )
    except BlockingIOError:
        return False
    except OSError as error:
        logger.debug('connection is broken: {0}', error)
        return False
    return bool(piece)
