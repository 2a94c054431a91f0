"""Shares of the retry budgets of services, one share for each instance."""

from collections import deque

import msgspec

# Number of buckets that make up a window.
BUCKET_COUNT = 10
# The slack is split among more instances than are known, as some may start.
SPARE_INSTANCES = 2
# Part of the bound that is used, as the windows of instances are not aligned.
USED_SHARE = 0.6


class RetryTerms(msgspec.Struct, frozen=True):
    """
    Bounds on the retries at one service, over all instances.

    :param share: retries allowed for each request
    :param slack: retries allowed in addition in each window
    :param window_ms: length of the window in which retries are counted
    """

    share: float
    slack: float
    window_ms: int


class RetryShares:
    """
    Shares of the retry budgets of all services that this instance has.

    ``instance_count`` is the number of instances of the deployment.

    :param terms: bounds that the platform sets
    """

    __slots__ = ('_shares_by_service', '_terms', 'instance_count')

    def __init__(self, terms: RetryTerms) -> None:
        self._terms = terms
        self._shares_by_service: dict[str, RetryShare] = {}
        self.instance_count = 1

    def update_terms(self, terms: RetryTerms) -> None:
        """Replace the bounds of all services; counts stay."""
        self._terms = terms
        for share in self._shares_by_service.values():
            share.update_terms(terms)

    def record_request(self, service: str, now_ms: int) -> None:
        """Record a request for a service, which adds to its budget."""
        self._get_share(service).record_request(now_ms)

    def try_spend_retry(self, service: str, now_ms: int) -> bool:
        """Spend one retry at a service; return whether its budget allows it."""
        return self._get_share(service).try_spend_retry(
            self.instance_count, now_ms
        )

    def _get_share(self, service: str) -> 'RetryShare':
        share = self._shares_by_service.get(service)
        if share is None:
            share = RetryShare(self._terms)
            self._shares_by_service[service] = share
        return share


class RetryShare:
    """
    Share of the retry budget of one service that this instance has.

    :param terms: bounds that the platform sets
    """

    __slots__ = ('_bucket_ms', '_buckets', '_terms')

    def __init__(self, terms: RetryTerms) -> None:
        self._terms = terms
        self._bucket_ms = terms.window_ms // BUCKET_COUNT
        self._buckets: deque[list[int]] = deque(maxlen=BUCKET_COUNT + 1)

    def update_terms(self, terms: RetryTerms) -> None:
        """Replace the bounds; counts stay."""
        self._terms = terms

    def record_request(self, now_ms: int) -> None:
        """Record a request, which adds to the budget."""
        self._get_bucket(now_ms)[1] += 1

    def try_spend_retry(self, instance_count: int, now_ms: int) -> bool:
        """
        Spend one retry; return whether the budget allowed it.

        :param instance_count: number of instances of the deployment
        """
        bucket = self._get_bucket(now_ms)
        recent = [
            counts
            for counts in self._buckets
            if bucket[0] - counts[0] <= BUCKET_COUNT
        ]
        requests = sum(counts[1] for counts in recent)
        retries = sum(counts[2] for counts in recent)
        own_slack = self._terms.slack / (instance_count + SPARE_INSTANCES)
        allowed_retries = USED_SHARE * (
            self._terms.share * requests + own_slack
        )
        if retries + 1 > allowed_retries:
            return False
        bucket[2] += 1
        return True

    def _get_bucket(self, now_ms: int) -> list[int]:
        """Return the current bucket: its number, requests and retries."""
        number = now_ms // self._bucket_ms
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
