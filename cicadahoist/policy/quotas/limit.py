"""How a quota and the tolerance of its rule are divided."""

import msgspec

from cicadahoist.rules import Quota

MS_PER_S = 1000
# Shares of the tolerance. The bucket is deeper than the burst by the first, so
# that a workspace below its rate is not refused for a few requests that arrive
# together. The second is granted while the delegations move to another home.
# The rest covers clocks that differ and batches that leave late.
BUCKET_SHARE = 0.5
OVERDRAFT_SHARE = 0.4


class QuotaTerms(msgspec.Struct, frozen=True, kw_only=True):
    """
    Tolerance of the rule on quotas.

    :param window_ms: length of each window in which the rule holds
    :param over_share: what may pass beyond the quota, as a share of it
    :param slack_tokens: what may pass beyond that, for quotas in tokens
    """

    window_ms: int = 8000
    over_share: float = 0.1
    slack_tokens: float = 120_000


class QuotaLimit(msgspec.Struct, frozen=True, kw_only=True):
    """
    What the homes of a workspace may grant together.

    :param tokens_per_ms: tokens that flow into the buckets
    :param capacity_tokens: tokens that the buckets hold
    :param overdraft_tokens: tokens that may be granted beyond the buckets in
        any window
    :param window_ms: length of a window
    """

    tokens_per_ms: float
    capacity_tokens: float
    overdraft_tokens: float
    window_ms: int

    @classmethod
    def from_quota(cls, quota: Quota, terms: QuotaTerms) -> 'QuotaLimit':
        """Divide a quota and its tolerance."""
        tolerance = compute_allowed(quota, terms) - _compute_base(quota, terms)
        return cls(
            tokens_per_ms=quota.tokens_per_s / MS_PER_S,
            capacity_tokens=quota.burst_tokens + BUCKET_SHARE * tolerance,
            overdraft_tokens=OVERDRAFT_SHARE * tolerance,
            window_ms=terms.window_ms,
        )


def compute_allowed(quota: Quota, terms: QuotaTerms) -> float:
    """
    Return what may pass in one window.

    The slack is a number of tokens: it is not applied to quotas in requests,
    where it would lift every limit.
    """
    slack = terms.slack_tokens if quota.counts_tokens else 0
    return _compute_base(quota, terms) * (1 + terms.over_share) + slack


def _compute_base(quota: Quota, terms: QuotaTerms) -> float:
    return quota.tokens_per_s * terms.window_ms / MS_PER_S + quota.burst_tokens
