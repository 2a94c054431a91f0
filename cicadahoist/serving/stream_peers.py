"""Ranks the instances of a deployment for one stream."""

from cicadahoist.ids import rendezvous

Address = tuple[str, int]

# Instances that hold the origin of a stream besides the one at which it began,
# in different zones where there are any.
REPLICA_COUNT = 3
# Of these, so many have to confirm that they hold none; one of them alone may
# have missed it together with the instance that asks.
CONFIRMING_COUNT = 2


class StreamPeers:
    """All instances, and the addresses of the others."""

    __slots__ = ('_own_name', '_zone_by_instance', 'address_by_peer')

    def __init__(self) -> None:
        self.address_by_peer: dict[str, Address] = {}
        # Name of this instance, empty before the first list of all.
        self._own_name = ''
        self._zone_by_instance: dict[str, str] = {}

    def replace(
        self,
        address_by_peer: dict[str, Address],
        zone_by_instance: dict[str, str],
    ) -> None:
        """
        Replace the known instances.

        :param address_by_peer: addresses of all others
        :param zone_by_instance: zones of all, this one included
        """
        self.address_by_peer = address_by_peer
        self._zone_by_instance = zone_by_instance
        own_names = set(zone_by_instance).difference(address_by_peer)
        self._own_name = next(iter(own_names), '')

    def list_first(self, attempt_id: str, count: int) -> list[str]:
        """Return the others among the first instances for a stream."""
        return [
            name
            for name in self._rank(attempt_id)[:count]
            if name in self.address_by_peer
        ]

    def count_needed_replicas(self, attempt_id: str) -> int:
        """Return how many others have to confirm that they hold no origin."""
        others = self.list_first(attempt_id, REPLICA_COUNT)
        return min(CONFIRMING_COUNT, len(others)) if attempt_id else 0

    def is_replica(self, attempt_id: str) -> bool:
        """Return whether this instance is to hold the origin of a stream."""
        return self._own_name in self._rank(attempt_id)[:REPLICA_COUNT]

    def _rank(self, attempt_id: str) -> list[str]:
        """
        Return all instances for a stream, the best of each zone first.

        All instances that know the same fleet list them in the same order.
        """
        names = list(self._zone_by_instance)
        ranked = rendezvous(attempt_id, names, len(names))
        best_by_zone: dict[str, str] = {}
        for instance in ranked:
            zone = self._zone_by_instance[instance]
            best_by_zone.setdefault(zone, instance)
        first = list(best_by_zone.values())[:REPLICA_COUNT]
        rest = [name for name in ranked if name not in first]
        return [*first, *rest]
