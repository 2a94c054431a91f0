"""Mesh nodes of several zones on one clock and one in-memory network."""

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.ids import new_nonce
from cicadahoist.mesh.memory_transport import MemoryNetwork, MemoryTransport
from cicadahoist.mesh.node import MeshNode
from cicadahoist.messages import InstanceInfo

STEP_MS = 10
PERIOD_MS = 500
TIMEOUT_MS = 2000


def run(coroutine):
    """Return the result of a coroutine that finishes without waiting."""
    results = []
    deferred = Deferred.fromCoroutine(coroutine)
    deferred.addBoth(results.append)
    if results and hasattr(results[0], 'raiseException'):
        results[0].raiseException()
    return results[0] if results else None


class Cluster:
    """Instances named ``<zone><number>``, which share their seeds."""

    def __init__(
        self, sizes: dict[str, int], *, seeded: bool = True, **faults
    ) -> None:
        self._seeded = seeded
        self.clock = Clock.manual()
        self.network = MemoryNetwork(self.clock, **faults)
        self.nodes: dict[str, MeshNode] = {}
        self.transports: dict[str, MemoryTransport] = {}
        self._zone_by_name = {
            f'{zone}{number}': zone
            for zone, size in sizes.items()
            for number in range(size)
        }
        for name in self._zone_by_name:
            self.start(name)

    def start(self, name: str) -> MeshNode:
        """Start an instance, under a new incarnation."""
        info = InstanceInfo(
            name=name,
            zone=self._zone_by_name[name],
            address=name,
            port=1,
            incarnation=new_nonce(),
        )
        transport = self.network.transport(self.address(name))
        self.transports[name] = transport
        node = MeshNode(
            info,
            transport,
            self.clock,
            period_ms=PERIOD_MS,
            timeout_ms=TIMEOUT_MS,
            seeds=self.seeds(),
        )
        self.nodes[name] = node
        run(node.start())
        return node

    def kill(self, name: str) -> None:
        """Stop an instance abruptly, without any message to its peers."""
        node = self.nodes.pop(name)
        node.rounds.stop()
        self.network.detach(self.address(name))

    def seeds(self) -> list[str]:
        if not self._seeded:
            return []
        return [self.address(name) for name in self._zone_by_name]

    def address(self, name: str) -> str:
        return f'{name}:1'

    def zone(self, zone: str) -> list[str]:
        """Return the addresses of the instances of a zone."""
        return [
            self.address(name)
            for name, other in self._zone_by_name.items()
            if other == zone
        ]

    def advance(self, time_ms: int) -> None:
        for _ in range(0, time_ms, STEP_MS):
            self.clock.advance(STEP_MS)

    def views(self) -> set[frozenset[str]]:
        """Return the distinct sets of instances that nodes consider live."""
        return {frozenset(node.live()) for node in self.nodes.values()}
