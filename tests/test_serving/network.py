"""
Test harness: targets behind a network whose direct paths can be cut.

It stands in for the reactor below the real connections, and for the relays of
peers. Targets answer by themselves.
"""

from enum import Enum
from typing import NamedTuple

from msgspec.structs import replace
from twisted.internet.error import (
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.python.failure import Failure

from cicadahoist.errors import NotSentError
from cicadahoist.reasons import RelayRefusal
from cicadahoist.serving.relay_client import RelayError
from tests.test_serving.world import SentRequest, Transport, target

LINK_MS = 1
RELAY_MS = 3
ANSWER_MS = 5
# A peer waits this long for a target that does not answer.
PEER_CONNECT_MS = 200
# TCP gives up unacknowledged bytes after this time.
TCP_TIMEOUT_MS = 2000
HANDLE_BODY = b'{"kv-handle": "h7", "tokens": 9000, "version": 1}'


class Cut(Enum):
    """
    What happens to the direct connections to a target.

    ``silent``: packets vanish. ``refused``: new ones are refused, open ones
    live on. ``reset``: open ones are reset, new ones refused.
    """

    silent = 'silent'
    refused = 'refused'
    reset = 'reset'


class Peer(NamedTuple):
    """A peer that offers a relay."""

    name: str
    zone: str = 'zone-a'
    is_near: bool = True
    is_cut_off: bool = False


class Arrival(SentRequest):
    """A request that has arrived at its target."""

    def __init__(self, link, listing, request, arrived_ms):
        super().__init__(listing, link.protocol, link.transport)
        self.is_relayed = link.is_relayed
        self.arrived_ms = arrived_ms
        self._request = request

    @property
    def request(self):
        return self._request


class LinkTransport(Transport):
    """Passes what is written on to a link."""

    def __init__(self, link):
        super().__init__()
        self._link = link

    def write(self, sent):
        super().write(sent)
        self._link.carry(sent)


class Link:
    """One open connection to a target."""

    def __init__(self, network, listing, protocol, *, is_relayed):
        self.network = network
        self.listing = listing
        self.protocol = protocol
        self.is_relayed = is_relayed
        self.transport = LinkTransport(self)
        self.transport.protocol = protocol

    @property
    def is_cut(self):
        cut = self.network.cut_by_target.get(self.listing.name)
        if self.is_relayed:
            return self.protocol.peer in self.network.cut_off_peers
        return cut is Cut.silent

    def carry(self, sent):
        if self.is_cut:
            self.network.vanished.append(self.protocol.peer)
            self.network.clock.call_later(TCP_TIMEOUT_MS, self._give_up)
        else:
            self.network.arrive(self, sent)

    def reset(self):
        self.transport.lose(ConnectionLost())

    def _give_up(self):
        if self.is_cut:
            self.reset()


class Network:
    """
    Targets, the direct paths to them and the relays of peers.

    :param clock: the manual clock of the world
    :param names: names of the targets
    """

    def __init__(self, clock, *listings):
        self.clock = clock
        self.listings = [
            replace(listing, address=f'10.0.0.{number}:80')
            for number, listing in enumerate(listings, 1)
        ]
        self.cut_by_target = {}
        self.crashed = set()
        # Targets that accept connections and answer nothing.
        self.frozen = set()
        self.cut_off_peers = set()
        self.links = []
        self.arrivals = []
        # Peers over which bytes were sent that vanished, empty for none.
        self.vanished = []
        # Time and target of each direct connection attempt.
        self.attempts = []

    def cut(self, kind, *names):
        """Cut the direct paths to targets, to all if none is named."""
        names = names or [listing.name for listing in self.listings]
        self.cut_by_target.update(dict.fromkeys(names, kind))
        if kind is Cut.reset:
            self._reset(names, is_relayed=False)

    def heal(self):
        """End all cuts."""
        self.cut_by_target.clear()

    def crash(self, name):
        """End the process of a target."""
        self.crashed.add(name)
        self._reset([name], is_relayed=False)
        self._reset([name], is_relayed=True)

    def reset_relayed(self):
        """Reset all connections through peers."""
        names = [listing.name for listing in self.listings]
        self._reset(names, is_relayed=True)

    def connectTCP(self, host, port, factory, timeout, bindAddress):
        listing = self._find(f'{host}:{port}')
        self.attempts.append((self.clock.now_ms(), listing.name))
        cut = self.cut_by_target.get(listing.name)
        if cut is Cut.silent:
            error, delay_ms = TimeoutError(), timeout * 1000
        elif cut is not None or listing.name in self.crashed:
            error, delay_ms = ConnectionRefusedError(), LINK_MS
        else:
            error, delay_ms = None, LINK_MS
        return Connector(self, listing, factory, error, delay_ms)

    def open_link(self, listing, protocol, *, is_relayed):
        link = Link(self, listing, protocol, is_relayed=is_relayed)
        self.links.append(link)
        protocol.makeConnection(link.transport)

    def arrive(self, link, sent):
        arrival = Arrival(link, link.listing, sent, self.clock.now_ms())
        self.arrivals.append(arrival)
        if link.listing.name not in self.frozen:
            self.clock.call_later(ANSWER_MS, self._answer, link, arrival)

    def _answer(self, link, arrival):
        if arrival.is_closed or link.is_cut:
            return
        if arrival.header(b'X-Cicadahoist-Serving-Stage') == b'prefill':
            arrival.answer(body=HANDLE_BODY)
        elif b'/ask/' in arrival.request:
            arrival.begin_stream()
            arrival.send_events(1, 2)
            arrival.end_stream()
        else:
            arrival.answer(body=b'answer')

    def _find(self, address):
        return next(
            listing for listing in self.listings if listing.address == address
        )

    def _reset(self, names, *, is_relayed):
        for link in self.links:
            if link.listing.name in names and link.is_relayed is is_relayed:
                link.reset()


class Connector:
    """One direct connection attempt."""

    def __init__(self, network, listing, factory, error, delay_ms):
        self._network = network
        self._listing = listing
        self._factory = factory
        self._timer = network.clock.call_later(delay_ms, self._end, error)

    def getDestination(self):
        return self._listing.address

    def stopConnecting(self):
        self._timer.cancel()

    def _end(self, error):
        if error is not None:
            self._factory.clientConnectionFailed(self, Failure(error))
            return
        protocol = self._factory.buildProtocol(None)
        self._network.open_link(self._listing, protocol, is_relayed=False)


class Relays:
    """The relays of peers, which reach all targets unless they are cut off."""

    def __init__(self, network, *peers):
        self.peers = list(peers)
        # Peers without paths to targets, silently.
        self.cut_off_peers = network.cut_off_peers
        # Whether targets refuse them, instead of not answering.
        self.are_cut_off_refused = False
        # Time, peer and target of each relayed connection attempt.
        self.attempts = []
        self._network = network

    def list_peers(self, now_ms):
        return self.peers

    def cut_off(self, name):
        """Let a peer lose its paths, which its connections need as well."""
        self.cut_off_peers.add(name)
        self.peers = [
            peer._replace(is_cut_off=peer.is_cut_off or peer.name == name)
            for peer in self.peers
        ]

    async def connect(self, peer, listing, build):
        clock = self._network.clock
        self.attempts.append((clock.now_ms(), peer, listing.name))
        await clock.sleep(RELAY_MS)
        if peer in self.cut_off_peers:
            if self.are_cut_off_refused:
                raise RelayError(
                    RelayRefusal.target_refused, peer, listing.name
                )
            await clock.sleep(PEER_CONNECT_MS)
            raise NotSentError('target silent', remedy='try another peer')
        if listing.name in self._network.crashed:
            raise RelayError(RelayRefusal.target_refused, peer, listing.name)
        protocol = build()
        self._network.open_link(listing, protocol, is_relayed=True)
        return protocol


def plain_targets(count=2):
    return [target(f't{number}') for number in range(1, count + 1)]


def engines(count=2):
    return [
        target(f'd{number}', 'llm', 'decode') for number in range(1, count + 1)
    ]
