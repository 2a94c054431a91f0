"""Datagrams that the instances of a deployment exchange."""

from typing import Any

# The most that UDP over IPv4 carries. The socket of each instance reads this
# much, so that whatever one sends, another reads whole.
MAX_DATAGRAM_BYTES = 65_507


def listen_for_datagrams(
    reactor: Any, port: int, receiver: Any, host: str
) -> Any:
    """
    Return a listening port that reads datagrams whole.

    :param receiver: the protocol that receives them
    """
    return reactor.listenUDP(
        port, receiver, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES
    )
