"""The live instances as one process sees them, in its own and other zones."""

from cicadahoist.clock import Clock
from cicadahoist.mesh.peers import Peer, PeerSet
from cicadahoist.mesh.zones import ZoneMap, gateways, linked_gateways
from cicadahoist.messages import InstanceInfo, KnownInstances


class View:
    """
    Live instances: peers heard directly, other zones by their gateways.

    :param info: identity of this process
    :param clock: gives the time
    :param timeout_ms: silence after which a peer counts as away
    """

    __slots__ = ('_clock', 'info', 'peers', 'zones')

    def __init__(
        self, info: InstanceInfo, clock: Clock, timeout_ms: int
    ) -> None:
        self.info = info
        self.peers = PeerSet(info, timeout_ms)
        self.zones = ZoneMap(info.zone)
        self._clock = clock

    def live(self) -> dict[str, InstanceInfo]:
        """Return the live instances of all zones by name, this one too."""
        return self.zones.live() | self.zone_live()

    def zone_live(self) -> dict[str, InstanceInfo]:
        """Return the live instances of the own zone by name, this one too."""
        live = self.zone_peers()
        live[self.info.name] = self.info
        return live

    def zone_peers(self) -> dict[str, InstanceInfo]:
        """Return the other live instances of the own zone by name."""
        return self.peers.live(self.info.zone, self._clock.now_ms())

    def reachable(self) -> dict[str, InstanceInfo]:
        """Return the peers of the own zone that hear this one as well."""
        return self.peers.reachable(self.info.zone, self._clock.now_ms())

    def gateways(self) -> list[str]:
        """Return the gateways of the own zone."""
        return gateways(self.info.zone, list(self.zone_live()))

    def links(self) -> list[InstanceInfo]:
        """Return the gateways of other zones that this process links to."""
        own = self.gateways()
        linked: list[InstanceInfo] = []
        for zone in self.zones.zones():
            by_name = self.zones.zone_live(zone)
            other = gateways(zone, list(by_name))
            names = linked_gateways(self.info.name, own, other)
            linked.extend(by_name[name] for name in names)
        return linked

    def summary(self) -> KnownInstances:
        """Return the live instances of the own zone as a message."""
        return KnownInstances(
            instances=list(self.zone_live().values()), zone=self.info.zone
        )

    def find(self, name: str) -> InstanceInfo | None:
        """Return the identity of an instance of any zone."""
        peer = self.peer(name)
        return self.zones.live().get(name) if peer is None else peer.info

    def peer(self, name: str) -> Peer | None:
        """Return what was heard directly from an instance."""
        return self.peers.by_name.get(name)
