"""Engines that a use of prefill and decode needs, by role."""

import math
from functools import lru_cache

import msgspec

from cicadahoist.policy.capacity_plan.engine_use import MeanUse
from cicadahoist.rules import EngineSizes

# Share of arrivals that find all slots of an engine taken. An engine rejects
# them, and a second try mostly finds another one.
MAX_FULL_SHARE = 0.02
# Engines with many slots are bounded by the wait, which callers feel first.
MAX_USED_SHARE = 0.7
# Blocks of the KV cache are freed with delay.
MAX_MEMORY_SHARE = 0.7
SEARCH_STEPS = 20


class RoleNeed(msgspec.Struct, frozen=True):
    """Engines needed for each role."""

    prefill: float
    decode: float

    @property
    def engine_count(self) -> int:
        """Whole engines of both roles together."""
        return math.ceil(self.prefill) + math.ceil(self.decode)

    @property
    def decode_share(self) -> float:
        """Share of the engines that should decode."""
        total = self.prefill + self.decode
        return self.decode / total if total else 0


def compute_need(use: MeanUse, sizes: EngineSizes, headroom: float) -> RoleNeed:
    """
    Return the engines that a use needs.

    :param sizes: capacity of one engine
    :param headroom: highest use that they have to serve, over the given one
    """
    decode_count = use.run_count / (
        sizes.slots * compute_decode_share(sizes.slots)
    )
    if sizes.cache_tokens:
        decode_count = max(
            decode_count,
            use.kv_tokens / (sizes.cache_tokens * MAX_MEMORY_SHARE),
        )
    prefill_count = use.prefill_count / compute_prefill_share(sizes.slots)
    return RoleNeed(headroom * prefill_count, headroom * decode_count)


def compute_prefill_share(slots: int) -> float:
    """
    Return the highest share of time for which an engine may run prefills.

    Prompts run one after the other. At a use of ``u``, a share of ``u ** n``
    of the arrivals finds ``n`` others.
    """
    return min(MAX_USED_SHARE, float(MAX_FULL_SHARE ** (1 / slots)))


@lru_cache
def compute_decode_share(slots: int) -> float:
    """
    Return the highest mean share of its slots that runs may take.

    Runs share the engine. How many arrivals find all slots taken follows from
    Erlang's loss formula.
    """
    low = 0.0
    high = 1.0
    for _ in range(SEARCH_STEPS):
        middle = (low + high) / 2
        if _compute_full_share(slots, middle * slots) > MAX_FULL_SHARE:
            high = middle
        else:
            low = middle
    return min(MAX_USED_SHARE, low)


def _compute_full_share(slots: int, mean_runs: float) -> float:
    full_share = 1.0
    for slot in range(1, slots + 1):
        offered = mean_runs * full_share
        full_share = offered / (slot + offered)
    return full_share
