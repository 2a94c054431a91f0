"""Whether prompt and output of a request run on different engines."""

from cicadahoist.policy.cost import Cost
from cicadahoist.policy.fleet import Role
from cicadahoist.table import Route

ANY_ROLE: frozenset[str] = frozenset()
PREFILL_ROLES = frozenset((Role.prefill.value,))
OUTPUT_ROLES = frozenset((Role.mixed.value, Role.decode.value))


class HandoffPolicy:
    """
    Decides on passing KV cache from one engine to another.

    Short prompts are not worth the transfer, and a request that may not be
    repeated runs on one engine only.

    :param least_tokens: prompt tokens from which it is worth it, 0 for never
    """

    __slots__ = ('_least_tokens',)

    def __init__(self, least_tokens: int) -> None:
        self._least_tokens = least_tokens

    def is_worthwhile(self, cost: Cost, route: Route) -> bool:
        """Tell whether the prompt may run on an engine for prefill."""
        if not self._least_tokens or not route.repeatable:
            return False
        return cost.prefill_tokens >= self._least_tokens
