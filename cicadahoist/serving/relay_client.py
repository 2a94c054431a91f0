"""Opens connections to targets through other instances."""

from collections.abc import Callable
from itertools import count
from typing import Any, NoReturn, TypeVar

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol as TwistedProtocol

from cicadahoist.clock import MS_PER_S, Clock
from cicadahoist.errors import NotSentError
from cicadahoist.listings import Listing
from cicadahoist.log import get_logger
from cicadahoist.reasons import RelayRefusal
from cicadahoist.serving.peers import Peers
from cicadahoist.serving.relay_messages import (
    OPENED,
    REFUSALS_BY_STATUS,
    VERSION,
    RelayRequest,
    encode_request,
)
from cicadahoist.serving.relay_meters import RelayMeters
from cicadahoist.serving.relay_peers import RelayAddress, RelayPeers

logger = get_logger(__name__)

# Time to open a connection through a peer. It covers the time that the peer
# takes to open one to the target.
OPEN_TIMEOUT_MS = 400

Opened = TypeVar('Opened', bound=TwistedProtocol)


class RelayError(NotSentError):
    """
    A peer opened no connection to a target; nothing was sent to the target.

    :param refusal: why
    :param peer: name of the peer
    """

    kind = 'relay'

    def __init__(self, refusal: RelayRefusal, peer: str, target: str) -> None:
        super().__init__(
            f'{target} through {peer}: {refusal.meaning}',
            remedy='open it through another peer, or send to another target',
        )
        self.refusal = refusal
        self.peer = peer


class RelayPeer(msgspec.Struct, frozen=True):
    """
    Instance that may open connections for this one.

    :param is_near: whether it is in the zone of this instance
    :param is_cut_off: whether it reaches no target itself
    """

    name: str
    zone: str
    is_near: bool
    is_cut_off: bool


class RelayOpening(TwistedProtocol):
    """
    Connection to a peer until the peer has opened the one to the target.

    The protocol that is built then owns the transport.

    :param request: encoded request
    :param build: builds the protocol of the connection to the target
    """

    transport: Any

    def __init__(
        self, request: bytes, build: Callable[[], TwistedProtocol]
    ) -> None:
        self._request = request
        self._build = build
        self.opened: Deferred[Any] = Deferred(self._abort)

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._request)

    def dataReceived(self, received: bytes) -> None:
        """Hand the connection over, or report the refusal."""
        status, rest = received[:1], received[1:]
        if status != OPENED:
            refusal = REFUSALS_BY_STATUS.get(status)
            self._fail(refusal or RelayRefusal.denied)
            return
        connection = self._build()
        self.transport.protocol = connection
        connection.makeConnection(self.transport)
        if rest:
            connection.dataReceived(rest)
        self.opened.callback(connection)

    def connectionLost(self, reason: Any = None) -> None:
        """Report that the peer closed the connection without an answer."""
        self._fail(RelayRefusal.peer_unreachable)

    def _abort(self, opened: 'Deferred[Any]') -> None:
        self.transport.abortConnection()

    def _fail(self, refusal: RelayRefusal) -> None:
        if not self.opened.called:
            self.opened.errback(_RefusedByPeerError(refusal))
            self.transport.abortConnection()


class RelayClient:
    """
    Opens connections to targets through peers.

    :param instance: name of this instance
    :param zone: zone of this instance
    :param peers: which other instances are alive
    :param relays: addresses and states of the relays of other instances
    :param meters: counts connections
    :param clock: clock of the process
    :param reactor: the twisted reactor
    """

    __slots__ = (
        '_clock',
        '_instance',
        '_meters',
        '_numbers',
        '_peers',
        '_reactor',
        '_relays',
        '_zone',
    )

    def __init__(
        self,
        instance: str,
        zone: str,
        peers: Peers,
        relays: RelayPeers,
        meters: RelayMeters,
        clock: Clock,
        reactor: Any,
    ) -> None:
        self._instance = instance
        self._zone = zone
        self._peers = peers
        self._relays = relays
        self._meters = meters
        self._clock = clock
        self._reactor = reactor
        self._numbers = count(1)

    def list_peers(self, now_ms: int) -> list[RelayPeer]:
        """Return the live peers that open connections for others."""
        peers = []
        for name, address in self._relays.list_addresses():
            state = self._relays.get_state(name)
            if state.is_accepting and self._peers.is_alive(name, now_ms):
                is_near = address.zone == self._zone
                peers.append(
                    RelayPeer(name, address.zone, is_near, state.is_cut_off)
                )
        return peers

    async def connect(
        self, peer: str, listing: Listing, build: Callable[[], Opened]
    ) -> Opened:
        """
        Open a connection to a target through a peer.

        :param build: builds the protocol of the connection, which owns the
            transport once the peer has opened its connection to the target
        :raises RelayError: the peer opened no connection
        """
        started_ms = self._clock.now_ms()
        relay_id = f'{self._instance}/{next(self._numbers)}'
        log = logger.bind(relay=relay_id, peer=peer, target=listing.name)
        try:
            connection: Opened = await self._open(
                peer, listing, relay_id, build
            )
        except _RefusedByPeerError as error:
            self._meters.count_refusal(error.refusal)
            log.bind(reason=error.refusal.code).info(
                'connection through a peer not opened'
            )
            raise RelayError(error.refusal, peer, listing.name) from error
        self._meters.count_used()
        log.bind(took_ms=self._clock.now_ms() - started_ms).info(
            'connection opened through a peer'
        )
        return connection

    async def _open(
        self,
        peer: str,
        listing: Listing,
        relay_id: str,
        build: Callable[[], TwistedProtocol],
    ) -> Any:
        address = self._relays.get_address(peer)
        if address is None:
            raise _RefusedByPeerError(RelayRefusal.peer_unreachable)
        request = RelayRequest(
            version=VERSION,
            token=address.token,
            sender=self._instance,
            relay_id=relay_id,
            target=listing.name,
            started_ms=listing.started_ms,
        )
        try:
            return await self._dial(address, encode_request(request), build)
        except (_RefusedByPeerError, CancelledError):
            raise
        except ConnectingCancelledError as error:
            raise CancelledError from error
        except Exception as error:
            raise _RefusedByPeerError(RelayRefusal.peer_unreachable) from error

    def _dial(
        self,
        address: RelayAddress,
        request: bytes,
        build: Callable[[], TwistedProtocol],
    ) -> 'Deferred[Any]':
        """Return the connection to the target, once it is open."""
        factory: Any = Factory.forProtocol(lambda: RelayOpening(request, build))
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self._reactor,
            address.host,
            address.port,
            timeout=OPEN_TIMEOUT_MS / MS_PER_S,
        )
        opening: Deferred[Any] = endpoint.connect(factory)
        opening.addCallback(_get_opened)
        opening.addTimeout(
            OPEN_TIMEOUT_MS / MS_PER_S, self._clock.scheduler, _report_timeout
        )
        return opening


class _RefusedByPeerError(Exception):
    """A peer opened no connection."""

    def __init__(self, refusal: RelayRefusal) -> None:
        super().__init__(refusal.code)
        self.refusal = refusal


def _get_opened(opening: RelayOpening) -> 'Deferred[Any]':
    return opening.opened


def _report_timeout(outcome: Any, timeout_s: float) -> NoReturn:
    raise _RefusedByPeerError(RelayRefusal.peer_unreachable)
