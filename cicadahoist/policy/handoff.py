"""Choice between one engine and separate ones for prefill and decode."""

from cicadahoist.policy.cost import Cost
from cicadahoist.policy.fleet import Role
from cicadahoist.table import Route

ANY_ROLE: frozenset[str] = frozenset()
PREFILL_ROLES = frozenset((Role.prefill.value,))
OUTPUT_ROLES = frozenset((Role.mixed.value, Role.decode.value))


class HandoffPolicy:
    """
    Decides whether a KV cache is handed from one engine to another.

    Short prompts are not worth the transfer, and a request that may not be
    repeated runs on one engine only.

    :param min_tokens: least prompt tokens for a handoff, 0 for no handoffs
    """

    __slots__ = ('_min_tokens',)

    def __init__(self, min_tokens: int) -> None:
        self._min_tokens = min_tokens

    def is_worthwhile(self, cost: Cost, route: Route) -> bool:
        """Return whether the prompt may run on a prefill engine."""
        if not self._min_tokens or not route.repeatable:
            return False
        return cost.prefill_tokens >= self._min_tokens
