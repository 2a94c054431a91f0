"""Limits over all entries, split by recent demand."""

from collections import deque

from cicadahoist.messages import Demand
from cicadahoist.policy.tickets import Ticket
from cicadahoist.table import Rule

MS_PER_MINUTE = 60_000
WINDOW_MS = 3000
PEER_SILENCE_MS = 2000
IDLE_DEMAND = 1.0
REQUESTS, TOKENS, OPEN = range(3)
HALF = 0.5
DEMAND_DECAY = 0.8


class DemandHistory:
    """Demand of one member on one rule over the window."""

    __slots__ = ('_seen',)

    def __init__(self) -> None:
        self._seen: deque[tuple[int, float]] = deque()

    def add(self, demand: float, now_ms: int, keep_from_ms: int) -> None:
        """Add a value; drop those that ended before ``keep_from_ms``."""
        self._seen.append((now_ms, demand))
        while len(self._seen) > 1 and self._seen[1][0] <= keep_from_ms:
            self._seen.popleft()

    def lowest(self) -> float:
        """Return the lowest demand within the window."""
        return min(demand for _, demand in self._seen)

    def highest(self) -> float:
        """Return the highest demand within the window."""
        return max(demand for _, demand in self._seen)


class RuleUse:
    """
    Use and demand of one rule at this entry.

    :param filled_ms: when the allowances were last filled
    """

    __slots__ = (
        'demand_by_kind',
        'filled_ms',
        'histories_by_kind',
        'open_requests',
        'requests_left',
        'tokens_left',
    )

    def __init__(self, now_ms: int) -> None:
        self.filled_ms = now_ms
        self.requests_left = float(0)
        self.tokens_left = float(0)
        self.open_requests = 0
        self.demand_by_kind = [0.0, 0.0, 0.0]


class LimitShares:
    """
    Splits the limits of rules between entries.

    :param own_name: name of this instance
    """

    __slots__ = ('_own_name',)

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name

    def admit(self, ticket: Ticket, now_ms: int) -> int:
        """Count a request; return the ms to wait if a limit forbids it."""
        return 0

    def settle(
        self, ticket: Ticket, now_ms: int, used_tokens: int | None
    ) -> None:
        """Correct what :meth:`admit` counted for a request that ended."""

    def may_open(self, rule: Rule, open_requests: int) -> bool:
        """Tell whether one more request of a rule may run."""
        most = self.most_open(rule)
        return most is None or open_requests < most

    def most_open(self, rule: Rule) -> int | None:
        """Return the open requests allowed here, none for no limit."""
        return rule.max_concurrent or None

    def demand(self, now_ms: int) -> Demand:
        """Return the own demand, for peers."""
        return Demand(by_rule={})

    def hear(self, peer: str, demand: Demand, now_ms: int) -> None:
        """Take over the demand of a peer."""
