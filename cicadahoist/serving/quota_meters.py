"""Metrics of quotas by workspace."""

from cicadahoist.metrics import (
    QUOTA_GRANTED,
    QUOTA_REFUSED,
    QUOTA_RETURNED,
    QUOTA_USED,
    Metrics,
)


class QuotaMeters:
    """
    Counts the tokens of requests, by workspace.

    :param metrics: metrics of the process
    """

    __slots__ = ('_granted', '_refused', '_returned', '_used')

    def __init__(self, metrics: Metrics) -> None:
        self._granted = metrics.counter(QUOTA_GRANTED)
        self._refused = metrics.counter(QUOTA_REFUSED)
        self._returned = metrics.counter(QUOTA_RETURNED)
        self._used = metrics.counter(QUOTA_USED)

    def count_verdict(
        self, workspace: str, tokens: float, *, is_granted: bool
    ) -> None:
        """Count tokens that were granted or refused."""
        counter = self._granted if is_granted else self._refused
        counter.add(tokens, {'workspace': workspace})

    def count_returned(self, workspace: str, tokens: float) -> None:
        """Count granted tokens whose request has not run."""
        self._returned.add(tokens, {'workspace': workspace})

    def count_used(self, workspace: str, tokens: float) -> None:
        """Count the tokens of a run."""
        self._used.add(tokens, {'workspace': workspace})
