"""Limits of rules over all entries."""

from cicadahoist.messages import Demand
from cicadahoist.policy.shares import ShareSplit
from cicadahoist.policy.tickets import Ticket
from cicadahoist.table import Rule

MS_PER_MINUTE = 60_000
BUCKET_MS = 5000
BUCKET_COUNT = MS_PER_MINUTE // BUCKET_MS + 1
MIN_WAIT_MS = 1000
FADE = 0.8
HALF = 0.5
REQUESTS, TOKENS, OPEN = range(3)


class MinuteCount:
    """Amount used within the last minute."""

    __slots__ = ('_buckets', '_newest', 'total')

    def __init__(self) -> None:
        self._buckets = [0 for _ in range(BUCKET_COUNT)]
        self._newest = 0
        self.total = 0

    def advance(self, now_ms: int) -> None:
        """Drop what is older than a minute."""
        newest = now_ms // BUCKET_MS
        passed = min(BUCKET_COUNT, newest - self._newest)
        for step in range(passed):
            self._clear(newest - step)
        self._newest = newest

    def add(self, amount: int) -> None:
        """Add to the current bucket; a negative amount corrects it."""
        self._buckets[self._newest % BUCKET_COUNT] += amount
        self.total += amount

    def _clear(self, number: int) -> None:
        position = number % BUCKET_COUNT
        self.total -= self._buckets[position]
        self._buckets[position] = 0


class RuleUse:
    """
    Use of one rule at this entry and the demand for it.

    :param open_requests: requests that wait or run
    :param running: those that run
    """

    __slots__ = (
        'open_requests',
        'recent',
        'requests',
        'running',
        'seen',
        'tokens',
    )

    def __init__(self) -> None:
        self.requests = MinuteCount()
        self.tokens = MinuteCount()
        self.open_requests = 0
        self.running = 0
        self.seen = 0
        self.recent = float(0)

    def used(self, now_ms: int) -> tuple[int, int, int]:
        """Return requests and tokens of the last minute, and what runs."""
        self.requests.advance(now_ms)
        self.tokens.advance(now_ms)
        return (self.requests.total, self.tokens.total, self.running)

    def end_round(self) -> tuple[int, int, int]:
        """Return the demand of the round that ends."""
        self.recent = max(self.seen, self.recent * FADE)
        self.seen = 0
        if self.recent < HALF:
            self.recent = 0
        return (round(self.recent), 0, self.open_requests)

    def is_idle(self) -> bool:
        """Tell whether nothing is left to remember."""
        return not (self.requests.total or self.open_requests or self.recent)


class LimitShares:
    """
    Counts requests and tokens against this entry's shares of the limits.

    :param own_name: name of this instance
    """

    __slots__ = ('_shares', '_uses_by_rule')

    def __init__(self, own_name: str) -> None:
        self._shares = ShareSplit(own_name)
        self._uses_by_rule: dict[str, RuleUse] = {}

    def sync_members(self, names: list[str], now_ms: int) -> None:
        """Take over the names of all entries, the silent ones included."""
        self._shares.sync(names, now_ms)

    def admit(self, ticket: Ticket, now_ms: int) -> int:
        """Count a request; return the ms to wait if a limit forbids it."""
        rule = ticket.rule
        if not _is_limited(rule):
            return 0
        use = self._uses_by_rule.setdefault(_key(rule), RuleUse())
        use.seen += 1
        requests, tokens, _ = use.used(now_ms)
        wanted = _tokens_of(ticket)
        limit = rule.requests_per_minute
        if requests + 1 > self._allowed(rule, REQUESTS, limit, now_ms):
            return MIN_WAIT_MS
        limit = rule.tokens_per_minute
        if tokens + wanted > self._allowed(rule, TOKENS, limit, now_ms):
            return MIN_WAIT_MS
        use.requests.add(1)
        use.tokens.add(wanted)
        use.open_requests += 1
        return 0

    def settle(
        self, ticket: Ticket, now_ms: int, used_tokens: int | None
    ) -> None:
        """
        Count a request as ended.

        :param used_tokens: its real tokens, none to keep the estimate
        """
        use = self._uses_by_rule.get(_key(ticket.rule))
        if use is None:
            return
        use.open_requests = max(0, use.open_requests - 1)
        if used_tokens is not None:
            use.used(now_ms)
            use.tokens.add(used_tokens - _tokens_of(ticket))

    def started(self, rule: Rule) -> None:
        """Count an admitted request as running."""
        use = self._uses_by_rule.get(_key(rule))
        if use is not None:
            use.running += 1

    def ended(self, rule: Rule) -> None:
        """Count a running request as ended."""
        use = self._uses_by_rule.get(_key(rule))
        if use is not None:
            use.running = max(0, use.running - 1)

    def may_open(self, rule: Rule, running: int, now_ms: int) -> bool:
        """Tell whether one more request of a rule may run here."""
        most = self.most_open(rule, now_ms)
        return most is None or running < most

    def most_open(self, rule: Rule, now_ms: int) -> int | None:
        """Return the running requests allowed here, none for no limit."""
        if not rule.max_concurrent:
            return None
        allowed = self._allowed(rule, OPEN, rule.max_concurrent, now_ms)
        if rule.max_concurrent == 1:
            return int(allowed > HALF)
        return int(allowed)

    def publish(self, now_ms: int) -> Demand:
        """Return the own demand, for peers; call it once a round."""
        by_rule = {}
        used_by_rule = {}
        for rule, use in list(self._uses_by_rule.items()):
            used_by_rule[rule] = use.used(now_ms)
            by_rule[rule] = use.end_round()
            if use.is_idle():
                self._uses_by_rule.pop(rule)
        demand = Demand(by_rule=by_rule, used_by_rule=used_by_rule)
        return self._shares.publish(demand, now_ms)

    def hear(
        self, peer: str, demand: Demand, now_ms: int, *, hears_us: bool = True
    ) -> None:
        """
        Take over the demand of a peer.

        :param hears_us: whether the peer's heartbeat shows that it hears
            this entry
        """
        self._shares.hear(peer, demand, now_ms, hears_us=hears_us)

    def _allowed(self, rule: Rule, kind: int, limit: int, now_ms: int) -> float:
        if not limit:
            return float('inf')
        key = _key(rule)
        share = self._shares.share(key, now_ms)
        return share * limit - self._shares.excess(key, kind, limit)


def _key(rule: Rule) -> str:
    return f'{rule.workspace}/{rule.route}'


def _tokens_of(ticket: Ticket) -> int:
    return ticket.cost.prefill + ticket.cost.decode


def _is_limited(rule: Rule) -> bool:
    return bool(
        rule.requests_per_minute
        or rule.tokens_per_minute
        or rule.max_concurrent
    )
