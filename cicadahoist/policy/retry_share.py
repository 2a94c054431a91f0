"""Repeats that one instance may send, so that all together stay in bounds."""

from collections import deque

import msgspec

# Buckets in which a window is counted.
BUCKET_COUNT = 10
# The slack is split among more instances than are known, as some may come.
SPARE_INSTANCES = 2
# Share of the bound that is used: windows of instances do not line up.
USED_SHARE = 0.6


class RetryTerms(msgspec.Struct, frozen=True):
    """
    Bounds on repeats at one service, over all instances.

    :param share: repeats allowed for each request
    :param slack: repeats allowed beside
    :param window_ms: span over which they are counted
    """

    share: float
    slack: float
    window_ms: int


class RetryShares:
    """
    The own shares of the repeats at all services.

    :param terms: bounds that the platform states
    """

    __slots__ = ('_shares_by_service', '_terms', 'instance_count')

    def __init__(self, terms: RetryTerms) -> None:
        self._terms = terms
        self._shares_by_service: dict[str, RetryShare] = {}
        self.instance_count = 1

    def update_terms(self, terms: RetryTerms) -> None:
        """Take over other bounds; what was counted stays."""
        self._terms = terms
        for share in self._shares_by_service.values():
            share.update_terms(terms)

    def record_request(self, service: str, now_ms: int) -> None:
        """Count a request for a service."""
        self._get_share(service).record_request(now_ms)

    def try_spend_retry(self, service: str, now_ms: int) -> bool:
        """Take one repeat, or return false where none is left."""
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
    The own share of the repeats at one service.

    :param terms: bounds that the platform states
    """

    __slots__ = ('_buckets', '_terms', '_bucket_ms')

    def __init__(self, terms: RetryTerms) -> None:
        self._terms = terms
        self._bucket_ms = terms.window_ms // BUCKET_COUNT
        self._buckets: deque[list[int]] = deque(maxlen=BUCKET_COUNT + 1)

    def update_terms(self, terms: RetryTerms) -> None:
        """Take over other bounds."""
        self._terms = terms

    def record_request(self, now_ms: int) -> None:
        """Count a request."""
        self._get_bucket(now_ms)[1] += 1

    def try_spend_retry(self, instance_count: int, now_ms: int) -> bool:
        """
        Take one repeat, or return false where none is left.

        :param instances: instances of the deployment
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
        """Return the counts of this moment: number, requests, repeats."""
        number = now_ms // self._bucket_ms
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
