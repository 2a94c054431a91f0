"""Membership of the own zone and of other zones as one process sees it."""

from cicadahoist.mesh.peers import BatchState, InstancesByName, PeerSet
from cicadahoist.mesh.zones import (
    ZoneMap,
    choose_gateways,
    choose_linked_gateways,
)
from cicadahoist.messages import InstanceInfo, KnownInstances


class View:
    """
    Live instances: own zone from heartbeats, other zones from gateways.

    :param info: identity of this process
    :param timeout_ms: silence after which a peer is considered silent
    """

    __slots__ = ('info', 'peers', 'zones')

    def __init__(self, info: InstanceInfo, timeout_ms: int) -> None:
        self.info = info
        self.peers = PeerSet(info, timeout_ms)
        self.zones = ZoneMap(info.zone)

    def live(self) -> dict[str, InstanceInfo]:
        """Return the live instances of all zones by name, itself included."""
        return self.zones.live() | self.zone_live()

    def is_live(self, instance: InstanceInfo) -> bool:
        """Return whether this incarnation of an instance is live."""
        live = self.zone_peers()
        if instance.zone != self.info.zone:
            live = self.zones.zone_live(instance.zone)
        return live.get(instance.name) == instance

    def zone_live(self) -> dict[str, InstanceInfo]:
        """Return the live instances of the own zone, itself included."""
        return {**self.zone_peers(), self.info.name: self.info}

    def zone_peers(self) -> InstancesByName:
        """Return the other live instances of the own zone by name."""
        return self.peers.live(self.info.zone)

    def reachable(self) -> InstancesByName:
        """Return the live peers of the own zone that also hear this one."""
        return self.peers.reachable(self.info.zone)

    def choose_gateways(self) -> list[str]:
        """Return the gateways of the own zone."""
        return choose_gateways(self.info.zone, list(self.zone_live()))

    def list_linked_gateways(self) -> list[InstanceInfo]:
        """Return the gateways of other zones that this process is linked to."""
        own = self.choose_gateways()
        linked: list[InstanceInfo] = []
        for zone in self.zones.list_zones():
            by_name = self.zones.zone_live(zone)
            other = choose_gateways(zone, list(by_name))
            names = choose_linked_gateways(self.info.name, own, other)
            linked.extend(by_name[name] for name in names)
        return linked

    def make_summary(self) -> KnownInstances:
        """Return the live instances of the own zone as a message."""
        return KnownInstances(
            instances=list(self.zone_live().values()), zone=self.info.zone
        )

    def not_gone(self) -> dict[str, InstanceInfo]:
        """
        Return the instances that may be running by name, itself included.

        A silent instance may be paused or partitioned, and still send work.
        """
        return self.zones.live() | self.peers.not_gone() | self.zone_live()

    def find(self, name: str) -> InstanceInfo | None:
        """Return the identity of an instance of any zone."""
        return self.peers.find(name) or self.zones.live().get(name)

    def find_batch_state(self, name: str) -> BatchState | None:
        """Return the state of the batches exchanged with an instance."""
        return self.peers.find_batch_state(name)
