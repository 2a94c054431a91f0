"""Usage of requests as it is billed."""

from cicadahoist.clock import wall_ms
from cicadahoist.entry.events import Usage
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.messages import UsageCount


def usage_count(
    request: OpenRequest, entry: str, usage: Usage, window_ms: int
) -> UsageCount:
    """
    Return the bill of one request.

    The identifier is the entry's own, as callers may repeat theirs.

    :param window_ms: length of a billing window
    """
    return UsageCount(
        request=request.billing_id,
        entry=entry,
        window=wall_ms() // window_ms,
        workspace=request.grant.workspace,
        route=request.grant.route.name,
        prompt_tokens=usage.prompt_tokens,
        output_tokens=usage.completion_tokens,
    )
