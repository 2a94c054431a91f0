"""Recognition of peers that have closed, before the close is read."""

from typing import Any

from cicadahoist.outside.sockets import SocketInput, peek_input


def is_closed_by_peer(transport: Any) -> bool:
    """
    Return whether the peer of a connection has closed it.

    The event loop reports a close only when its turn comes.

    :param transport: a twisted TCP transport that is not lost yet
    """
    return peek_input(transport) is SocketInput.ended
