"""Opens connections to targets for other instances, and relays their bytes."""

from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory

from cicadahoist.clock import Clock
from cicadahoist.log import get_logger
from cicadahoist.policy.link_queue import LinkQueue
from cicadahoist.serving.relay_admission import RelayAdmission
from cicadahoist.serving.relay_connection import RelayedConnection
from cicadahoist.serving.relay_meters import RelayMeters
from cicadahoist.serving.relay_splice import SplicedEnd

logger = get_logger(__name__)

LISTEN_BACKLOG = 256
DRAIN_POLL_MS = 50


class RelayServer(Factory):
    """
    Serves the relay port.

    :param admission: decides which connections are opened
    :param host: IP address to listen on
    :param port: port for peers
    :param grace_ms: time for open connections to end once this instance leaves
    :param meters: counts connections and bytes
    :param link: queue of bytes at the link of this instance
    :param clock: clock of the process
    :param reactor: the twisted reactor
    """

    noisy = False

    def __init__(
        self,
        admission: RelayAdmission,
        host: str,
        port: int,
        grace_ms: int,
        meters: RelayMeters,
        link: LinkQueue,
        clock: Clock,
        reactor: Any,
    ) -> None:
        self._admission = admission
        self._host = host
        self._port = port
        self._grace_ms = grace_ms
        self._meters = meters
        self._link = link
        self._clock = clock
        self._reactor = reactor
        self._left_ms: int | None = None
        self._listening_port: Any = None
        self._connections: set[RelayedConnection] = set()

    @property
    def is_accepting(self) -> bool:
        """Whether peers may have new connections opened."""
        return self._listening_port is not None and self._left_ms is None

    def count_open(self) -> int:
        """Return the number of connections of peers."""
        return len(self._connections)

    async def start(self) -> None:
        """Start to listen; serve callers only where the port is taken."""
        try:
            self._listening_port = self._reactor.listenTCP(
                self._port, self, LISTEN_BACKLOG, self._host
            )
        except CannotListenError as error:
            logger.warning('nothing is relayed for peers: {0}', error)

    def leave(self) -> None:
        """Open no new connections; those that are open go on."""
        if self._left_ms is None:
            self._left_ms = self._clock.now_ms()
            self._admission.is_leaving = True
            logger.bind(relayed=self.count_open()).info('relay is leaving')

    async def stop(self) -> None:
        """Wait for open connections, at most for the grace, then reset them."""
        self.leave()
        end_ms = (self._left_ms or 0) + self._grace_ms
        while self._connections and self._clock.now_ms() < end_ms:
            await self._clock.sleep(DRAIN_POLL_MS)
        if self._listening_port is not None:
            await self._listening_port.stopListening()
        logger.bind(relayed=self.count_open()).info('relay has left')
        for connection in tuple(self._connections):
            connection.abort()

    def buildProtocol(self, address: Any) -> SplicedEnd | None:
        """Return the protocol of a connection of a peer, none to refuse it."""
        if len(self._connections) >= self._admission.max_open:
            logger.info('connection of a peer closed: too many are open')
            return None
        connection = RelayedConnection(
            self._admission,
            self._meters,
            self._link,
            self._clock,
            self._reactor,
            self._connections.discard,
        )
        self._connections.add(connection)
        return connection.near_end


class RelayLeave:
    """
    Tells peers at the beginning of a stop that the relay is leaving.

    The relay itself stops after the requests of callers have ended.

    :param server: the relay
    """

    __slots__ = ('_server',)

    def __init__(self, server: RelayServer) -> None:
        self._server = server

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Open no new connections for peers."""
        self._server.leave()
