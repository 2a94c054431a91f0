"""The token bucket of a quota at its home."""

from collections import deque

import msgspec

from cicadahoist.policy.quotas.limit import QuotaLimit

# Shares move to another home within a few of these.
NO_SHARE_WAIT_MS = 1000


class Taken(msgspec.Struct, frozen=True):
    """
    Tokens that were taken for one request.

    :param bucket_tokens: the part that the bucket held
    :param erosion_tokens: state of the bucket, for a return
    """

    bucket_tokens: float
    erosion_tokens: float


class QuotaBucket:
    """
    A bucket whose inflow and capacity are a share of those of its quota.

    It begins empty. Beside it lies the overdraft, which instances give to their
    home and which expires.

    :param limit: inflow and capacity at a share of 1
    :param now_ms: time of its begin
    """

    __slots__ = (
        '_capacity_tokens',
        '_erosion_tokens',
        '_horizon_ms',
        '_level_tokens',
        '_limit',
        '_overdrafts',
        '_settled_ms',
        '_share',
    )

    def __init__(self, limit: QuotaLimit, now_ms: int) -> None:
        self._limit = limit
        self._share = float(0)
        self._level_tokens = float(0)
        self._capacity_tokens = float(0)
        # Inflow and lost capacity since the begin: an upper bound of what the
        # bucket would have spilled had a grant not been taken from it.
        self._erosion_tokens = float(0)
        self._settled_ms = now_ms
        self._horizon_ms = now_ms
        # Expiry and tokens of the overdrafts, the oldest first.
        self._overdrafts: deque[tuple[int, float]] = deque()

    def settle(self, limit: QuotaLimit, share: float, now_ms: int) -> None:
        """
        Fill the bucket for the time since the last call.

        :param limit: the limit from now on
        :param share: share of the quota, at most that in force since then
        """
        inflow = limit.tokens_per_ms * share * max(0, now_ms - self._settled_ms)
        capacity = limit.capacity_tokens * share
        self._erosion_tokens += inflow
        self._erosion_tokens += max(0, self._capacity_tokens - capacity)
        self._level_tokens = min(capacity, self._level_tokens + inflow)
        self._limit = limit
        self._share = share
        self._capacity_tokens = capacity
        self._settled_ms = now_ms
        while self._overdrafts and self._overdrafts[0][0] <= now_ms:
            self._overdrafts.popleft()

    def add_overdraft(self, tokens: float, expires_ms: int) -> None:
        """Add the share of one instance in the overdraft."""
        self._overdrafts.append((expires_ms, tokens))

    def try_take(self, tokens: float) -> Taken | None:
        """Take tokens, none if there are too few."""
        missing = tokens - self._level_tokens
        if missing > sum(spare for _, spare in self._overdrafts):
            return None
        from_bucket = min(tokens, self._level_tokens)
        self._level_tokens -= from_bucket
        self._take_overdraft(missing)
        return Taken(from_bucket, self._erosion_tokens)

    def give_back(self, taken: Taken) -> None:
        """
        Return tokens whose request has not run.

        The bucket then holds at most what it would hold without that grant.
        What came from the overdraft is not returned, as it may have expired.
        """
        spilled = self._erosion_tokens - taken.erosion_tokens
        self._level_tokens = min(
            self._capacity_tokens,
            self._level_tokens + max(0, taken.bucket_tokens - spilled),
        )

    def plan_wait_ms(self, tokens: float, now_ms: int) -> int:
        """
        Return the time until a refused request can be granted.

        Requests that are refused later get a later time, up to a window from
        now.
        """
        limit = self._limit
        if tokens > limit.capacity_tokens:
            return limit.window_ms
        if tokens > self._capacity_tokens:
            return NO_SHARE_WAIT_MS
        tokens_per_ms = limit.tokens_per_ms * self._share
        end_ms = now_ms + limit.window_ms
        full_ms = now_ms + (tokens - self._level_tokens) / tokens_per_ms
        next_ms = max(now_ms, self._horizon_ms) + tokens / tokens_per_ms
        if self._horizon_ms <= now_ms:
            next_ms = full_ms
        self._horizon_ms = round(min(end_ms, max(full_ms, next_ms)))
        return self._horizon_ms - now_ms

    def _take_overdraft(self, tokens: float) -> None:
        while tokens > 0:
            expires_ms, spare = self._overdrafts.popleft()
            if spare > tokens:
                self._overdrafts.appendleft((expires_ms, spare - tokens))
            tokens -= spare
