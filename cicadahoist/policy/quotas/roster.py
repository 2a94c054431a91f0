"""The instances of a deployment as homes of quotas."""

from collections.abc import Callable, Collection

from cicadahoist.policy.quotas.delegations import compute_rank

# A home that did not answer twice is not asked for this long.
SUSPICION_MS = 1000
# Numbers of instances that peers have told count this long: two periods in
# which each instance reads the list.
COUNT_MEMORY_MS = 6000
# A peer that is listed anew is taken to be alive for this long: it sends loads
# here only once it has listed this instance too.
NEW_PEER_MS = 3500


class QuotaRoster:
    """
    Registered instances, ranked for each workspace, and how many there are.

    :param instance: name of this instance
    :param is_alive: returns whether a peer was heard lately
    """

    __slots__ = (
        '_listed_ms_by_peer',
        '_names',
        '_ranked_by_workspace',
        '_suspect_until_ms',
        '_told_counts',
        'instance',
        'is_alive',
    )

    def __init__(
        self, instance: str, is_alive: Callable[[str, int], bool]
    ) -> None:
        self.instance = instance
        self.is_alive = is_alive
        self._names: frozenset[str] = frozenset()
        self._listed_ms_by_peer: dict[str, int] = {}
        self._ranked_by_workspace: dict[str, list[str]] = {}
        self._suspect_until_ms: dict[str, int] = {}
        # Numbers told by peers, and when.
        self._told_counts: dict[int, int] = {}

    @property
    def own_count(self) -> int:
        """Number of registered instances, 0 before the first list."""
        return len(self._names)

    def set_peers(self, peers: Collection[str], now_ms: int) -> None:
        """
        Replace the registered instances.

        The former number counts for a while, as leases outlive a record.
        """
        names = frozenset((*peers, self.instance))
        if names != self._names:
            self.record_count(self.own_count, now_ms)
            self._names = names
            self._ranked_by_workspace.clear()
            self._listed_ms_by_peer = {
                peer: self._listed_ms_by_peer.get(peer, now_ms)
                for peer in peers
            }

    def record_count(self, count: int, now_ms: int) -> None:
        """Record how many instances a peer has listed."""
        self._told_counts[count] = now_ms

    def count_instances(self, now_ms: int) -> int:
        """
        Return the highest number of instances that anyone has listed lately.

        A home with an older list would take the shares of the others for the
        whole quota.
        """
        if not self._names:
            return 0
        self._told_counts = {
            count: told_ms
            for count, told_ms in self._told_counts.items()
            if now_ms - told_ms <= COUNT_MEMORY_MS
        }
        return max(self.own_count, *self._told_counts, 0)

    def suspect(self, home: str, now_ms: int, for_ms: int) -> None:
        """Leave out an instance as a home for a while."""
        self._suspect_until_ms[home] = now_ms + for_ms

    def trust(self, home: str, now_ms: int) -> None:
        """End the suspicion of an instance that has answered after all."""
        until_ms = self._suspect_until_ms.get(home, now_ms)
        if until_ms - now_ms <= SUSPICION_MS:
            self._suspect_until_ms.pop(home, None)

    def list_homes(self, workspace: str, count: int, now_ms: int) -> list[str]:
        """Return the first instances in rank that are heard from."""
        ranked = self._ranked_by_workspace.get(workspace)
        if ranked is None:
            ranked = sorted(
                self._names, key=lambda name: compute_rank(workspace, name)
            )
            self._ranked_by_workspace[workspace] = ranked
        found: list[str] = []
        for name in ranked:
            if self._is_candidate(name, now_ms):
                found.append(name)
                if len(found) == count:
                    break
        return found

    def _is_candidate(self, name: str, now_ms: int) -> bool:
        if name == self.instance:
            return True
        if now_ms < self._suspect_until_ms.get(name, now_ms):
            return False
        if now_ms - self._listed_ms_by_peer[name] <= NEW_PEER_MS:
            return True
        return self.is_alive(name, now_ms)
