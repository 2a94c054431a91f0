"""
Shares of limits that follow demand and never add up to more than the limit.

A member takes the lowest value of its own demand and the highest value of the
others' demand within a window that is longer than the delay of any message. So
its share falls as soon as it receives demand from another member, and rises
only once all other members have received its own demand. While any member is
silent, shares can only fall.
"""

from cicadahoist.messages import Demand

WINDOW_MS = 4000
PEER_SILENCE_MS = 2000
# Demand added for each member, so that an idle one keeps a share.
IDLE_DEMAND = 0.1
# Time for which computed shares are cached.
CACHE_MS = 200


class DemandWindow:
    """Lowest and highest demand within the current and the previous window."""

    __slots__ = (
        '_high',
        '_low',
        '_previous_high',
        '_previous_low',
        '_window_number',
    )

    def __init__(self, now_ms: int) -> None:
        self._window_number = now_ms // WINDOW_MS
        self._low = 0
        self._high = 0
        self._previous_low = 0
        self._previous_high = 0

    def add(self, demand: int, now_ms: int) -> None:
        """Add a sample of the demand."""
        window_number = now_ms // WINDOW_MS
        if window_number == self._window_number:
            self._low = min(self._low, demand)
            self._high = max(self._high, demand)
            return
        self._previous_low = self._low
        self._previous_high = self._high
        self._window_number = window_number
        self._low = demand
        self._high = demand

    def find_lowest(self) -> int:
        """Return the lowest demand of both windows."""
        return min(self._low, self._previous_low)

    def find_highest(self) -> int:
        """Return the highest demand of both windows."""
        return max(self._high, self._previous_high)


class Member:
    """Demand and usage that one member published; this member is one too."""

    __slots__ = ('_windows_by_rule', 'last_received_ms', 'used_by_rule')

    def __init__(self, now_ms: int) -> None:
        self.last_received_ms = now_ms
        self.used_by_rule: dict[str, tuple[int, int, int]] = {}
        self._windows_by_rule: dict[str, DemandWindow] = {}

    def apply_demand(self, demand: Demand, now_ms: int) -> None:
        """Apply a published demand."""
        windows = self._windows_by_rule
        self.used_by_rule = demand.used_by_rule
        for rule in demand.by_rule:
            windows.setdefault(rule, DemandWindow(now_ms))
        for known, window in list(windows.items()):
            window.add(count_demand(demand, known), now_ms)
            if not window.find_highest():
                windows.pop(known)

    def find_lowest(self, rule: str) -> int:
        """Return the lowest recent demand for a rule."""
        window = self._windows_by_rule.get(rule)
        return window.find_lowest() if window else 0

    def find_highest(self, rule: str) -> int:
        """Return the highest recent demand for a rule."""
        window = self._windows_by_rule.get(rule)
        return window.find_highest() if window else 0


class ShareSplit:
    """
    Computes the share of this member in the limits of each rule.

    :param own_name: name of this instance
    """

    __slots__ = (
        '_cached_ms',
        '_cached_share_by_rule',
        '_frozen_by_rule',
        '_members_by_name',
        '_own',
        '_own_name',
        '_started_ms',
        '_unfrozen_ms',
        'frozen_demand',
    )

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._own = Member(0)
        self._members_by_name: dict[str, Member] = {}
        self._frozen_by_rule: dict[str, float] = {}
        self.frozen_demand: Demand | None = None
        self._unfrozen_ms = 0
        self._started_ms: int | None = None
        self._cached_share_by_rule: dict[str, float] = {}
        self._cached_ms = 0

    def sync_members(self, names: list[str], now_ms: int) -> None:
        """
        Set the names of all members.

        A silent member keeps its place until it is known to have ended, as
        removing it gives its share to the others.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
        known = self._members_by_name
        self._members_by_name = {
            name: known.get(name) or Member(now_ms)
            for name in names
            if name != self._own_name
        }
        self._cached_share_by_rule.clear()

    def publish(self, demand: Demand, now_ms: int) -> Demand:
        """
        Return the demand to publish.

        While a member is silent, that is the lowest demand from before the
        silence, together with the current usage.
        """
        self._update_freeze(demand, now_ms)
        published = demand
        if self.frozen_demand is not None:
            published = Demand(
                by_rule=self.frozen_demand.by_rule,
                used_by_rule=demand.used_by_rule,
            )
        self._own.apply_demand(published, now_ms)
        return published

    def apply_demand(
        self, peer: str, demand: Demand, now_ms: int, *, is_two_way: bool
    ) -> None:
        """
        Apply the demand that a member published.

        :param is_two_way: whether the member also receives the messages of
            this one; otherwise it still counts as silent
        """
        member = self._members_by_name.get(peer)
        if member is None:
            return
        if is_two_way:
            member.last_received_ms = now_ms
        member.apply_demand(demand, now_ms)
        self._cached_share_by_rule.clear()

    def compute_share(self, rule: str, now_ms: int) -> float:
        """Return the share of a limit, 0 to 1, that this member may use."""
        if self._is_new(now_ms):
            return 0
        if now_ms - self._cached_ms > CACHE_MS:
            self._cached_share_by_rule.clear()
            self._cached_ms = now_ms
        share = self._cached_share_by_rule.get(rule)
        if share is None:
            share = self._compute_demand_share(rule)
            if self._is_capped(now_ms):
                share = min(share, self._frozen_by_rule.get(rule, share))
            self._cached_share_by_rule[rule] = share
        return share

    def compute_excess(self, rule: str, kind: int, limit: int) -> float:
        """
        Return how much other members use beyond their shares of a limit.

        :param kind: index into the used amounts of a rule
        :param limit: the whole limit
        """
        excess = float(0)
        total_demand = (
            self._own.find_highest(rule)
            + IDLE_DEMAND
            + self._sum_peer_demand(rule)
        )
        for member in self._members_by_name.values():
            used = member.used_by_rule.get(rule)
            if used is not None:
                lowest = member.find_lowest(rule) + IDLE_DEMAND
                excess += max(0, used[kind] - limit * lowest / total_demand)
        return excess

    def _compute_demand_share(self, rule: str) -> float:
        own = self._own.find_lowest(rule) + IDLE_DEMAND
        return own / (own + self._sum_peer_demand(rule))

    def _sum_peer_demand(self, rule: str) -> float:
        return sum(
            member.find_highest(rule) + IDLE_DEMAND
            for member in self._members_by_name.values()
        )

    def _is_new(self, now_ms: int) -> bool:
        if self._started_ms is None or not self._members_by_name:
            return False
        return now_ms - self._started_ms < WINDOW_MS

    def _is_capped(self, now_ms: int) -> bool:
        if self.frozen_demand is not None:
            return True
        return now_ms - self._unfrozen_ms < 4 * WINDOW_MS

    def _update_freeze(self, demand: Demand, now_ms: int) -> None:
        has_silent_member = any(
            now_ms - member.last_received_ms > PEER_SILENCE_MS
            for member in self._members_by_name.values()
        )
        if has_silent_member and self.frozen_demand is None:
            self._freeze(demand, now_ms)
        elif not has_silent_member and self.frozen_demand is not None:
            self.frozen_demand = None
            self._unfrozen_ms = now_ms

    def _freeze(self, demand: Demand, now_ms: int) -> None:
        self._frozen_by_rule = {
            rule: self.compute_share(rule, now_ms) for rule in demand.by_rule
        }
        self.frozen_demand = Demand(
            by_rule={
                rule: (self._own.find_lowest(rule), 0, 0)
                for rule in demand.by_rule
            }
        )


def count_demand(demand: Demand, rule: str) -> int:
    """Return the demand for a rule in requests."""
    requests, _, open_requests = demand.by_rule.get(rule, (0, 0, 0))
    return requests + open_requests
