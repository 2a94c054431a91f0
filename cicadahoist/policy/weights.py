"""Planner of model loads under the rate limit of the weight store."""

from collections import Counter

import msgspec

from cicadahoist.policy.fleet import (
    FleetView,
    ModelDemand,
    TargetPhase,
    TargetView,
)

DEFAULT_MB_PER_MS = 0.5
BURST_MB = 20_000.0
MIN_MISSED_PER_S = 0.02


class ModelLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A load of one model by one target."""

    target: str
    model: str


class LoadBudget:
    """Token bucket of megabytes to read from the weight store."""

    __slots__ = ('_filled_ms', '_mb_per_ms', '_remaining_mb')

    def __init__(self, mb_per_ms: float) -> None:
        self._mb_per_ms = mb_per_ms
        self._remaining_mb = BURST_MB
        self._filled_ms: int | None = None

    def refill(self, now_ms: int) -> None:
        """Add the megabytes that accrued since the last call."""
        if self._filled_ms is not None:
            gain = self._mb_per_ms * (now_ms - self._filled_ms)
            self._remaining_mb = min(BURST_MB, self._remaining_mb + gain)
        self._filled_ms = now_ms

    def try_spend(self, size_mb: int) -> bool:
        """
        Deduct a load if the budget allows it; one above the burst needs all.

        :return: whether it was deducted
        """
        if self._remaining_mb < min(size_mb, BURST_MB):
            return False
        self._remaining_mb -= size_mb
        return True


class WeightPlanner:
    """
    Plans the loads of models by targets.

    A model that no target holds precedes further copies; among equals, the one
    with the most misses for its size is first. The first load that exceeds the
    budget stops the plan, so that smaller loads do not delay it.

    :param mb_per_ms: rate limit of the weight store
    """

    __slots__ = ('_budget',)

    def __init__(self, mb_per_ms: float = DEFAULT_MB_PER_MS) -> None:
        self._budget = LoadBudget(mb_per_ms)

    def plan(self, view: FleetView, now_ms: int) -> list[ModelLoad]:
        """Return the loads to begin now."""
        self._budget.refill(now_ms)
        holders = Counter(
            (target.pool, model)
            for target in view.targets
            for model in target.models
        )
        missed = [
            demand
            for demand in view.models
            if demand.missed_per_s >= MIN_MISSED_PER_S
        ]
        missed.sort(key=lambda demand: _build_sort_key(demand, holders))
        loads: list[ModelLoad] = []
        loading_names: set[str] = set()
        for demand in missed:
            target = _choose_target(view, demand, loading_names)
            if target is None:
                continue
            if not self._budget.try_spend(demand.size_mb):
                break
            loading_names.add(target.name)
            loads.append(ModelLoad(target=target.name, model=demand.model))
        return loads


def _build_sort_key(
    demand: ModelDemand, holders: Counter[tuple[str, str]]
) -> tuple[bool, float]:
    is_copy = holders[demand.pool, demand.model] > 0
    return (is_copy, -demand.missed_per_s / max(1, demand.size_mb))


def _choose_target(
    view: FleetView, demand: ModelDemand, loading_names: set[str]
) -> TargetView | None:
    candidates = [
        target
        for target in view.of_pool(demand.pool)
        if target.phase is TargetPhase.ready
        and target.name not in loading_names
        and demand.model not in target.models
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda target: (len(target.models), target.open_requests),
    )
