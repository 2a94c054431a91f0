"""Recognition of peers that have closed, before the close is read."""

import socket
from typing import Any

from cicadahoist.log import get_logger

logger = get_logger(__name__)


def is_closed_by_peer(transport: Any) -> bool:
    """
    Return whether the peer of a connection has closed it.

    The event loop reports a close only when its turn comes. A close behind
    bytes that are not read yet is not recognized.

    :param transport: a twisted TCP transport that is not lost yet
    """
    try:
        return not transport.getHandle().recv(
            1, socket.MSG_PEEK | socket.MSG_DONTWAIT
        )
    except BlockingIOError:
        return False
    except OSError as error:
        logger.debug('connection is broken: {0}', error)
        return True
