"""Terms of the rules that hold over all instances, from the settings."""

from cicadahoist.platform.settings_file import InstanceSettings
from cicadahoist.policy.quotas.limit import QuotaTerms
from cicadahoist.policy.retry_share import RetryTerms


def build_retry_terms(settings: InstanceSettings) -> RetryTerms:
    """Return the retry budget."""
    return RetryTerms(
        settings.retry_share, settings.retry_slack, settings.retry_window_ms
    )


def build_quota_terms(settings: InstanceSettings) -> QuotaTerms:
    """Return the tolerance of the rule on quotas."""
    return QuotaTerms(
        window_ms=settings.quota_window_ms,
        over_share=settings.quota_over_share,
        slack_tokens=settings.quota_slack_tokens,
    )
