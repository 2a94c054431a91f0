"""Membership: which instances are live according to their heartbeats."""

from typing import Any

import msgspec

from cicadahoist.config import Config
from cicadahoist.messages import Heartbeat, InstanceInfo
from cicadahoist.protocol.events import Tick
from cicadahoist.protocol.machine import ChartCore, ChartKit, Guard, Output
from cicadahoist.registry import Registry
from cicadahoist.settings import PEER_TIMEOUT

GUARDS: Registry[Guard] = Registry('guard of the peer chart')
OUTPUTS: Registry[Output] = Registry('output of the peer chart')

REACHABLE_STATES = frozenset(('live',))
HEARD_STATES = frozenset(('live', 'one_way', 'leaving'))
UNCONFIRMED_STATES = frozenset(
    ('seeded', 'live', 'one_way', 'leaving', 'silent')
)


class HeartbeatReceived(msgspec.Struct, frozen=True):
    """A heartbeat of a peer arrived."""

    sender: InstanceInfo
    heartbeat: Heartbeat


class PeerListed(msgspec.Struct, frozen=True):
    """The platform's list of instances contains an instance."""

    info: InstanceInfo


class PeerUnlisted(msgspec.Struct, frozen=True):
    """The platform's list of instances no longer contains an instance."""

    name: str


class PeerChanged(msgspec.Struct, frozen=True):
    """
    A peer changed its state.

    :param state: new state in the peer chart
    """

    info: InstanceInfo
    state: str


class Peer(ChartCore):
    """
    One peer.

    Incarnations have no order, so it is not known which one is newer. A
    heartbeat of a replaced incarnation is dropped as late while heartbeats of
    its successor arrive. Once the successor times out, it is accepted again,
    as the successor's heartbeats may have been the late ones.

    :param info: identity and address in the last heartbeat
    :param membership: the membership that the peer belongs to
    :param kit: chart and functions to run
    """

    __slots__ = (
        'last_heartbeat_ms',
        'heartbeat',
        'info',
        'membership',
        'retired_incarnations',
    )

    def __init__(
        self, info: InstanceInfo, membership: 'Membership', kit: ChartKit
    ) -> None:
        super().__init__(kit)
        self.info = info
        self.membership = membership
        self.heartbeat = Heartbeat(heard={}, revision=0, in_force_ms=0)
        self.last_heartbeat_ms = 0
        self.retired_incarnations: set[str] = set()


class Membership:
    """
    All peers of one instance, by name.

    :param own: identity of this instance
    :param timeout_ms: time without a heartbeat after which a peer is silent
    :param kit: chart and functions to run
    """

    __slots__ = ('_kit', 'own', 'peers_by_name', 'timeout_ms')

    def __init__(
        self, own: InstanceInfo, timeout_ms: int, kit: ChartKit | None = None
    ) -> None:
        self.own = own
        self.timeout_ms = timeout_ms
        self.peers_by_name: dict[str, Peer] = {}
        self._kit = kit or PEER_KIT

    @classmethod
    def from_config(cls, config: Config, own: InstanceInfo) -> 'Membership':
        """Return a membership whose timeout comes from the settings."""
        return cls(own, config.read(PEER_TIMEOUT))

    def handle(self, event: Any, now_ms: int) -> list[PeerChanged]:
        """
        Process an event of one peer or of all.

        :return: the peers that changed state
        """
        if isinstance(event, HeartbeatReceived):
            return self._find_or_add(event.sender).handle(event, now_ms)
        if isinstance(event, PeerListed):
            return self._find_or_add(event.info).handle(event, now_ms)
        changed: list[PeerChanged] = []
        for peer in self._select_peers(event):
            changed.extend(peer.handle(event, now_ms))
        return changed

    def heard_incarnations(self) -> dict[str, str]:
        """Return the content of ``Heartbeat.heard``: incarnations by name."""
        return {
            name: peer.info.incarnation
            for name, peer in self.peers_by_name.items()
            if peer.state in HEARD_STATES
        }

    def live(self, zone: str = '') -> list[InstanceInfo]:
        """
        Return peers with heartbeats in both directions.

        :param zone: only peers of this zone, empty for all zones
        """
        return self._in_states(REACHABLE_STATES, zone)

    def not_gone(self, zone: str = '') -> list[InstanceInfo]:
        """
        Return peers that may still be running.

        A silent peer may be suspended, so drains and usage windows wait for
        it.

        :param zone: only peers of this zone, empty for all zones
        """
        return self._in_states(UNCONFIRMED_STATES, zone)

    def _in_states(
        self, states: frozenset[str], zone: str
    ) -> list[InstanceInfo]:
        return [
            peer.info
            for _, peer in sorted(self.peers_by_name.items())
            if peer.state in states and zone in {'', peer.info.zone}
        ]

    def _find_or_add(self, info: InstanceInfo) -> Peer:
        peer = self.peers_by_name.get(info.name)
        if peer is None:
            peer = Peer(info, self, self._kit)
            self.peers_by_name[info.name] = peer
        return peer

    def _select_peers(self, event: PeerUnlisted | Tick) -> list[Peer]:
        if isinstance(event, Tick):
            return list(self.peers_by_name.values())
        peer = self.peers_by_name.get(event.name)
        return [peer] if peer else []


@GUARDS.register('sender_retired')
def _sender_retired(peer: Peer, event: HeartbeatReceived, now_ms: int) -> bool:
    if event.sender.incarnation not in peer.retired_incarnations:
        return False
    return now_ms - peer.last_heartbeat_ms < peer.membership.timeout_ms


@GUARDS.register('peer_leaving')
def _peer_leaving(peer: Peer, event: HeartbeatReceived, now_ms: int) -> bool:
    return event.heartbeat.leaving


@GUARDS.register('confirms_receipt')
def _confirms_receipt(
    peer: Peer, event: HeartbeatReceived, now_ms: int
) -> bool:
    own = peer.membership.own
    return event.heartbeat.heard.get(own.name) == own.incarnation


@GUARDS.register('timed_out')
def _timed_out(peer: Peer, event: Any, now_ms: int) -> bool:
    return now_ms - peer.last_heartbeat_ms >= peer.membership.timeout_ms


@OUTPUTS.register('note_heartbeat')
def _note_heartbeat(peer: Peer, event: HeartbeatReceived, now_ms: int) -> None:
    previous = peer.info.incarnation
    peer.retired_incarnations.add(previous)
    peer.retired_incarnations.discard(event.sender.incarnation)
    peer.info = event.sender
    peer.heartbeat = event.heartbeat
    peer.last_heartbeat_ms = now_ms


@OUTPUTS.register('retire')
def _retire(peer: Peer, event: Any, now_ms: int) -> None:
    peer.retired_incarnations.add(peer.info.incarnation)


@OUTPUTS.register('notify')
def _notify(peer: Peer, event: Any, now_ms: int) -> None:
    peer.actions.append(PeerChanged(peer.info, peer.state))


PEER_KIT = ChartKit.load('peer', GUARDS, OUTPUTS)
