"""Enforcement of the limits of rules, shared among all entries."""

from cicadahoist.messages import Demand
from cicadahoist.policy.shares import ShareSplit
from cicadahoist.policy.tickets import Ticket
from cicadahoist.table import Rule

MS_PER_MINUTE = 60_000
BUCKET_MS = 5000
BUCKET_COUNT = MS_PER_MINUTE // BUCKET_MS + 1
LIMIT_RETRY_AFTER_MS = 1000
# Factor by which remembered demand decays in each round.
DEMAND_DECAY = 0.8
HALF_REQUEST = 0.5
# Indices of the used amounts that entries publish for each rule.
REQUESTS, TOKENS, OPEN = range(3)


class MinuteCount:
    """Sliding sum of the amounts of the last minute, in buckets."""

    __slots__ = ('_buckets', '_newest_bucket', 'total')

    def __init__(self) -> None:
        self._buckets = [0 for _ in range(BUCKET_COUNT)]
        self._newest_bucket = 0
        self.total = 0

    def advance(self, now_ms: int) -> None:
        """Clear the buckets that are older than a minute."""
        newest_bucket = now_ms // BUCKET_MS
        passed_count = min(BUCKET_COUNT, newest_bucket - self._newest_bucket)
        for step in range(passed_count):
            self._clear(newest_bucket - step)
        self._newest_bucket = newest_bucket

    def add(self, amount: int) -> None:
        """Add to the current bucket; negative amounts correct estimates."""
        self._buckets[self._newest_bucket % BUCKET_COUNT] += amount
        self.total += amount

    def _clear(self, bucket: int) -> None:
        position = bucket % BUCKET_COUNT
        self.total -= self._buckets[position]
        self._buckets[position] = 0


class RuleUsage:
    """
    Usage of one rule at this entry, and the demand for it.

    ``open_count`` counts requests that wait or run, ``running_count`` those
    that run, and ``requested_count`` those that arrived in this round.
    """

    __slots__ = (
        'open_count',
        'recent_demand',
        'requested_count',
        'requests',
        'running_count',
        'tokens',
    )

    def __init__(self) -> None:
        self.requests = MinuteCount()
        self.tokens = MinuteCount()
        self.open_count = 0
        self.running_count = 0
        self.requested_count = 0
        self.recent_demand = float(0)

    def count_used(self, now_ms: int) -> tuple[int, int, int]:
        """Return the last minute's requests and tokens, and what runs now."""
        self.requests.advance(now_ms)
        self.tokens.advance(now_ms)
        return (self.requests.total, self.tokens.total, self.running_count)

    def end_round(self) -> tuple[int, int, int]:
        """End a round; return its demand, in the form of ``Demand.by_rule``."""
        self.recent_demand = max(
            self.requested_count, self.recent_demand * DEMAND_DECAY
        )
        self.requested_count = 0
        if self.recent_demand < HALF_REQUEST:
            self.recent_demand = 0
        return (round(self.recent_demand), 0, self.open_count)

    def is_idle(self) -> bool:
        """Return whether the rule has neither recent usage nor demand."""
        return not (
            self.requests.total or self.open_count or self.recent_demand
        )


class LimitShares:
    """
    Counts requests and tokens against this entry's shares of the limits.

    :param own_name: name of this instance
    """

    __slots__ = ('_shares', '_usage_by_rule')

    def __init__(self, own_name: str) -> None:
        self._shares = ShareSplit(own_name)
        self._usage_by_rule: dict[str, RuleUsage] = {}

    def sync_members(self, names: list[str], now_ms: int) -> None:
        """Set the names of all entries, including unreachable ones."""
        self._shares.sync_members(names, now_ms)

    def admit(self, ticket: Ticket, now_ms: int) -> int:
        """
        Count a request, unless a limit forbids it.

        :return: 0 if the request is admitted, else the ms until a retry
        """
        rule = ticket.rule
        if not _is_limited(rule):
            return 0
        usage = self._usage_by_rule.setdefault(
            _build_rule_key(rule), RuleUsage()
        )
        usage.requested_count += 1
        requests, tokens, _ = usage.count_used(now_ms)
        wanted_tokens = _estimate_tokens(ticket)
        limit = rule.requests_per_minute
        if requests + 1 > self._compute_allowance(
            rule, REQUESTS, limit, now_ms
        ):
            return LIMIT_RETRY_AFTER_MS
        limit = rule.tokens_per_minute
        if tokens + wanted_tokens > self._compute_allowance(
            rule, TOKENS, limit, now_ms
        ):
            return LIMIT_RETRY_AFTER_MS
        usage.requests.add(1)
        usage.tokens.add(wanted_tokens)
        usage.open_count += 1
        return 0

    def settle(
        self, ticket: Ticket, now_ms: int, used_tokens: int | None
    ) -> None:
        """
        Record that an admitted request left the entry.

        :param used_tokens: tokens that it used, ``None`` to keep the estimate
        """
        usage = self._usage_by_rule.get(_build_rule_key(ticket.rule))
        if usage is None:
            return
        usage.open_count = max(0, usage.open_count - 1)
        if used_tokens is not None:
            usage.count_used(now_ms)
            usage.tokens.add(used_tokens - _estimate_tokens(ticket))

    def record_start(self, rule: Rule) -> None:
        """Record that an admitted request runs."""
        usage = self._usage_by_rule.get(_build_rule_key(rule))
        if usage is not None:
            usage.running_count += 1

    def record_end(self, rule: Rule) -> None:
        """Record that a running request ended."""
        usage = self._usage_by_rule.get(_build_rule_key(rule))
        if usage is not None:
            usage.running_count = max(0, usage.running_count - 1)

    def may_start(self, rule: Rule, running_count: int, now_ms: int) -> bool:
        """Return whether one more request of a rule may run at this entry."""
        max_running = self.compute_max_running(rule, now_ms)
        return max_running is None or running_count < max_running

    def compute_max_running(self, rule: Rule, now_ms: int) -> int | None:
        """Return how many requests may run here, ``None`` for no limit."""
        if not rule.max_concurrent:
            return None
        allowed = self._compute_allowance(
            rule, OPEN, rule.max_concurrent, now_ms
        )
        # A limit of one goes to the entry, if any, with more than half of it.
        if rule.max_concurrent == 1:
            return int(allowed > HALF_REQUEST)
        return int(allowed)

    def publish(self, now_ms: int) -> Demand:
        """End a round and return the demand of this entry, to send to peers."""
        by_rule = {}
        used_by_rule = {}
        for rule, usage in list(self._usage_by_rule.items()):
            used_by_rule[rule] = usage.count_used(now_ms)
            by_rule[rule] = usage.end_round()
            if usage.is_idle():
                self._usage_by_rule.pop(rule)
        demand = Demand(by_rule=by_rule, used_by_rule=used_by_rule)
        return self._shares.publish(demand, now_ms)

    def apply_demand(
        self, peer: str, demand: Demand, now_ms: int, *, is_two_way: bool = True
    ) -> None:
        """
        Apply the demand that a peer published.

        :param is_two_way: whether the peer also receives the messages of this
            entry, as its heartbeats show
        """
        self._shares.apply_demand(peer, demand, now_ms, is_two_way=is_two_way)

    def _compute_allowance(
        self, rule: Rule, kind: int, limit: int, now_ms: int
    ) -> float:
        if not limit:
            return float('inf')
        key = _build_rule_key(rule)
        share = self._shares.compute_share(key, now_ms)
        return share * limit - self._shares.compute_excess(key, kind, limit)


def _build_rule_key(rule: Rule) -> str:
    return f'{rule.workspace}/{rule.route}'


def _estimate_tokens(ticket: Ticket) -> int:
    return ticket.cost.prefill_tokens + ticket.cost.decode_tokens


def _is_limited(rule: Rule) -> bool:
    return bool(
        rule.requests_per_minute
        or rule.tokens_per_minute
        or rule.max_concurrent
    )
