"""Mesh node: heartbeat rounds, membership, and message delivery."""

from collections.abc import Callable, Iterable
from typing import Any

from cicadahoist.clock import Clock
from cicadahoist.config import Config
from cicadahoist.errors import WireError
from cicadahoist.ids import new_nonce
from cicadahoist.log import get_logger
from cicadahoist.mesh.outbox import Outbox, Outgoing
from cicadahoist.mesh.peers import NO_BATCH, address_of
from cicadahoist.mesh.prober import Prober
from cicadahoist.mesh.relay import Relay
from cicadahoist.mesh.rounds import Rounds
from cicadahoist.mesh.transport import NngTransport, Transport
from cicadahoist.mesh.view import View
from cicadahoist.messages import (
    Batch,
    DrainNotice,
    Heartbeat,
    InstanceInfo,
    KnownInstances,
    Message,
    Relayed,
    decode_batch,
)
from cicadahoist.settings import (
    HEARTBEAT_PERIOD,
    INSTANCE_ADDRESS,
    INSTANCE_NAME,
    INSTANCE_ZONE,
    MESH_PORT,
    MESH_SEEDS,
    PEER_TIMEOUT,
)

logger = get_logger(__name__)

Subscriber = Callable[[InstanceInfo, Any], None]

ZONE_TIMEOUT_FACTOR = 2


class MeshNode:
    """
    One process in the mesh.

    Each round sends one batch to every peer of the zone.  Two gateways of
    each zone exchange batches with the gateways of other zones.

    :param info: identity of this process
    :param transport: carries the batches
    :param clock: time source
    :param period_ms: time between two rounds
    :param timeout_ms: silence after which a peer is considered silent
    :param seeds: addresses (``host:port``) of possible instances
    """

    def __init__(
        self,
        info: InstanceInfo,
        transport: Transport,
        clock: Clock,
        *,
        period_ms: int = HEARTBEAT_PERIOD.default,
        timeout_ms: int = PEER_TIMEOUT.default,
        seeds: Iterable[str] = (),
    ) -> None:
        self.info = info
        self.view = View(info, timeout_ms)
        self._transport = transport
        self._clock = clock
        self._prober = Prober(address_of(info), seeds)
        self._outbox = Outbox(self.view, transport, clock)
        self._relay = Relay(self.view, self._outbox, self._deliver)
        self._subscribers: dict[type, list[Subscriber]] = {}
        self.rounds = Rounds(
            self.view,
            self._outbox,
            self._prober,
            clock,
            period_ms=period_ms,
            zone_timeout_ms=ZONE_TIMEOUT_FACTOR * timeout_ms,
        )
        self.subscribe(DrainNotice, self.rounds.apply_drain_notice)

    @classmethod
    def from_config(
        cls, config: Config, clock: Clock, reactor: Any
    ) -> 'MeshNode':
        """Return a node configured by the settings."""
        info = InstanceInfo(
            name=config.read(INSTANCE_NAME),
            zone=config.read(INSTANCE_ZONE),
            address=config.read(INSTANCE_ADDRESS),
            port=config.read(MESH_PORT),
            incarnation=new_nonce(),
        )
        seeds = config.read(MESH_SEEDS).split(',')
        return cls(
            info,
            NngTransport(reactor, info.address, info.port),
            clock,
            period_ms=config.read(HEARTBEAT_PERIOD),
            timeout_ms=config.read(PEER_TIMEOUT),
            seeds=[seed.strip() for seed in seeds if seed.strip()],
        )

    async def start(self) -> None:
        """Listen, and start the rounds."""
        self._transport.start(self._receive)
        self.rounds.run()

    async def stop(self) -> None:
        """Send the queued messages, then close all sockets."""
        self._outbox.flush()
        self.rounds.stop()
        self._transport.stop()

    def apply_instance_list(self, listed: list[InstanceInfo]) -> None:
        """Apply the platform's list of instances, which may lag."""
        self.view.peers.apply_instance_list(listed, self._clock.now_ms())

    def subscribe(self, message_type: type, callback: Subscriber) -> None:
        """Register a callback that gets the sender and message of a type."""
        self._subscribers.setdefault(message_type, []).append(callback)

    def live(self) -> dict[str, InstanceInfo]:
        """Return the live instances of all zones by name, itself included."""
        return self.view.live()

    def get_echoed_ms(self, name: str) -> int:
        """
        Return when this process sent the newest batch a peer has received.

        :return: send time by the own clock, negative if there was none; the
            latest report of that peer was made after this time
        """
        state = self.view.find_batch_state(name)
        return NO_BATCH if state is None else state.echoed_ms

    def broadcast(self, message: Message) -> None:
        """Send a message to all other live instances of all zones."""
        self.broadcast_zone(message)
        if self.view.zones.list_zones():
            self._relay.send(message, '')

    def broadcast_zone(self, message: Message) -> None:
        """Send a message to all other live instances of the own zone."""
        self._outbox.put_all(self.view.zone_peers(), message)

    def send_to(self, name: str, message: Message) -> None:
        """Send a message to an instance of any zone, or to this one."""
        if name == self.info.name:
            self._deliver(self.info, message)
        elif name in self.view.zone_peers():
            self._outbox.put(name, message)
        elif name in self.view.zones.live():
            self._relay.send(message, name)

    def _receive(self, wire: bytes) -> None:
        try:
            batch = decode_batch(wire)
        except WireError as error:
            logger.warning('{0}', error)
            return
        if batch.sender.name != self.info.name:
            self._process_batch(batch)

    def _process_batch(self, batch: Batch) -> None:
        sender = batch.sender
        is_live = self.view.is_live(sender)
        now_ms = self._clock.now_ms()
        if not self.view.peers.accept(batch, now_ms):
            return
        self.view.zones.record_contact(sender.zone, now_ms)
        for message in batch.messages:
            self._dispatch(sender, message)
        if not is_live:
            self.rounds.send_initial_state(sender)

    def _dispatch(self, sender: InstanceInfo, message: Outgoing) -> None:
        if isinstance(message, Relayed):
            self._relay.receive(message)
        elif isinstance(message, KnownInstances):
            self.rounds.apply_known_instances(sender, message)
        else:
            if isinstance(message, Heartbeat):
                self.view.peers.apply_heartbeat(
                    sender, message, self._clock.now_ms()
                )
            self._deliver(sender, message)

    def _deliver(self, sender: InstanceInfo, message: Message) -> None:
        for callback in self._subscribers.get(type(message), ()):
            callback(sender, message)
