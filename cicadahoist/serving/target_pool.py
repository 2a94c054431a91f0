"""Idle connections to one target."""

from collections.abc import Callable, Collection
from typing import Any

from cicadahoist.listings import Listing
from cicadahoist.outside.sockets import SocketInput, peek_input
from cicadahoist.serving.outbound import IDLE_MARGIN_MS, TargetConnection

MAX_IDLE_CONNECTIONS = 64
_DIRECT = ('',)


class TargetPool:
    """
    Idle connections to one target.

    :param listing: the target
    :param on_heard: called when bytes arrive on a direct connection
    """

    __slots__ = ('_idle', '_is_closed', '_on_heard', 'listing')

    def __init__(
        self, listing: Listing, on_heard: Callable[[str], Any] = str
    ) -> None:
        self.listing = listing
        self._idle: list[TargetConnection] = []
        self._is_closed = False
        self._on_heard = on_heard

    def belongs_to(self, listing: Listing) -> bool:
        """Return whether the connections lead to the listed process."""
        known = self.listing
        return (known.address, known.started_ms) == (
            listing.address,
            listing.started_ms,
        )

    def acquire(
        self, now_ms: int, name: str, peers: Collection[str] = _DIRECT
    ) -> TargetConnection | None:
        """
        Return an idle connection that the target keeps open, or none.

        :param name: id of the attempt; a connection that has carried an attempt
            of this id is not returned
        :param peers: the instances that may pass its bytes on; an empty name
            stands for none
        """
        for connection in reversed(tuple(self._idle)):
            if connection.peer not in peers or connection.has_carried(name):
                continue
            self._idle.remove(connection)
            if _is_usable(connection, now_ms):
                return connection
            connection.close()
        return None

    def release(self, connection: TargetConnection) -> None:
        """Keep a connection for later attempts; close one beyond the limit."""
        if self._is_closed or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
        else:
            self._idle.append(connection)

    def discard(self, connection: TargetConnection) -> None:
        """Remove a connection that was closed."""
        if connection in self._idle:
            self._idle.remove(connection)

    def record_heard(self, connection: TargetConnection) -> None:
        """Record that bytes of the target have arrived."""
        if not (connection.peer or self._is_closed):
            self._on_heard(self.listing.name)

    def close(self) -> None:
        """Close all connections, those under way after their answers."""
        self._is_closed = True
        idle = self._idle
        self._idle = []
        for connection in idle:
            connection.close()


def _is_usable(connection: TargetConnection, now_ms: int) -> bool:
    """Return whether the target keeps a connection open, and sends nothing."""
    if not connection.is_open:
        return False
    max_idle_ms = connection.idle_timeout_ms - IDLE_MARGIN_MS
    # The target may have closed it, or sent bytes of no request.
    is_quiet = peek_input(connection.transport) is SocketInput.nothing
    return is_quiet and now_ms - connection.idle_since_ms <= max_idle_ms
