"""Order of model loads under the weight store's rate limit."""

from collections import Counter

import msgspec

from cicadahoist.policy.fleet import (
    FleetView,
    ModelDemand,
    TargetPhase,
    TargetView,
)

MB_PER_MS = 0.5
BURST_MB = 20_000.0
MIN_MISSED_PER_S = 0.02


class ModelLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A model that a target is to load."""

    target: str
    model: str


class LoadBudget:
    """Megabytes that may be read from the weight store."""

    __slots__ = ('_filled_ms', '_left', '_rate')

    def __init__(self, mb_per_ms: float) -> None:
        self._rate = mb_per_ms
        self._left = BURST_MB
        self._filled_ms: int | None = None

    def refill(self, now_ms: int) -> None:
        """Add what the rate allows since the last call."""
        if self._filled_ms is not None:
            gain = self._rate * (now_ms - self._filled_ms)
            self._left = min(BURST_MB, self._left + gain)
        self._filled_ms = now_ms

    def spend(self, size_mb: int) -> bool:
        """Take the size of a load; a load above the burst needs it all."""
        if self._left < min(size_mb, BURST_MB):
            return False
        self._left -= size_mb
        return True


class WeightPlanner:
    """
    Plans which target loads which model.

    A model that no target holds goes before further copies; among equals the
    one that is missed most for its size. What does not fit the rate waits,
    so that a small load never delays the one that is missed most.

    :param mb_per_ms: rate limit of the weight store
    """

    __slots__ = ('_budget',)

    def __init__(self, mb_per_ms: float = MB_PER_MS) -> None:
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
        missed.sort(key=lambda demand: _rank(demand, holders))
        loads: list[ModelLoad] = []
        taken: set[str] = set()
        for demand in missed:
            target = _loader(view, demand, taken)
            if target is None:
                continue
            if not self._budget.spend(demand.size_mb):
                break
            taken.add(target.name)
            loads.append(ModelLoad(target=target.name, model=demand.model))
        return loads


def _rank(
    demand: ModelDemand, holders: Counter[tuple[str, str]]
) -> tuple[bool, float]:
    is_copy = holders[demand.pool, demand.model] > 0
    return (is_copy, -demand.missed_per_s / max(1, demand.size_mb))


def _loader(
    view: FleetView, demand: ModelDemand, taken: set[str]
) -> TargetView | None:
    able = [
        target
        for target in view.of_pool(demand.pool)
        if target.phase is TargetPhase.ready
        and target.name not in taken
        and demand.model not in target.models
    ]
    if not able:
        return None
    return min(
        able, key=lambda target: (len(target.models), target.open_requests)
    )
