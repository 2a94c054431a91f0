"""Roles of engines: when a change is worth the seconds that it takes."""

from itertools import repeat
from typing import Any, Protocol

import msgspec

from cicadahoist.policy.capacity import (
    DEFAULT_SPEEDS,
    Assignment,
    RoleSpeed,
    compute_fill,
    compute_urgent_fill,
    find_best_assignment,
)
from cicadahoist.policy.fleet import (
    FleetView,
    PoolDemand,
    Role,
    TargetPhase,
    TargetView,
)
from cicadahoist.registry import Registry

ROLE_PLANNERS: Registry[Any] = Registry('role planner')

FAST_MS = 10_000.0
CHANGE_LOSS_MS = 16_000.0
FULL = 1.0
FULL_WHILE_AWAY = 0.8
MIN_GAIN = 0.02
REST_MS = 30_000
LONGEST_HORIZON_MS = 600_000


class RoleChange(msgspec.Struct, frozen=True, kw_only=True):
    """An engine that is to change its role."""

    target: str
    role: Role


class RolePlanner(Protocol):
    """Plans role changes."""

    def plan(self, view: FleetView, now_ms: int) -> list[RoleChange]:
        """Return the changes to begin now."""


class SmoothDemand:
    """Demand of a pool, smoothed over one time scale."""

    __slots__ = ('_scale_ms', '_since_ms', '_smooth')

    def __init__(self, scale_ms: float) -> None:
        self._scale_ms = scale_ms
        self._since_ms: int | None = None
        self._smooth = PoolDemand(pool='')

    def observe(self, demand: PoolDemand, now_ms: int) -> PoolDemand:
        """Add a demand and return the smoothed one."""
        gain = float(1)
        if self._since_ms is not None:
            gain = min(1, (now_ms - self._since_ms) / self._scale_ms)
        self._since_ms = now_ms
        self._smooth = PoolDemand(
            pool=demand.pool,
            **{
                name: _moved(getattr(self._smooth, name), demand, name, gain)
                for name in _SMOOTHED
            },
        )
        return self._smooth


class PoolRoles:
    """
    Memory of one pool.

    :param wanted_since_ms: since when the same kind of change has been
        worthwhile, none if none is
    """

    __slots__ = ('demand', 'rested_ms', 'wanted', 'wanted_since_ms')

    def __init__(self) -> None:
        self.demand = SmoothDemand(FAST_MS)
        self.wanted: tuple[Role, Role] | None = None
        self.wanted_since_ms = 0
        self.rested_ms = 0

    def held_ms(self, change: tuple[Role, Role] | None, now_ms: int) -> int:
        """Return how long a change has been the best one."""
        if change != self.wanted:
            self.wanted = change
            self.wanted_since_ms = now_ms
        return now_ms - self.wanted_since_ms


@ROLE_PLANNERS.register('planned')
class PlannedRoles:
    """
    Changes a role once the gain outweighs the loss.

    A mix that has held for some time is expected to hold for as long again.
    A change waits until its gain over that horizon exceeds the work lost
    while the engine is away, so that the loss by changes is never much more
    than what a planner that knows the future would lose. Swings that are
    shorter are left to routing. One engine of a pool changes at a time.
    """

    __slots__ = ('_pools_by_name', '_speeds')

    def __init__(self, speeds: dict[Role, RoleSpeed] | None = None) -> None:
        self._speeds = speeds or DEFAULT_SPEEDS
        self._pools_by_name: dict[str, PoolRoles] = {}

    def plan(self, view: FleetView, now_ms: int) -> list[RoleChange]:
        """Return the changes to begin now, at most one a pool."""
        changes = []
        for demand in view.demands:
            memory = self._pools_by_name.setdefault(demand.pool, PoolRoles())
            smooth = memory.demand.observe(demand, now_ms)
            change = self._plan_pool(view, smooth, memory, now_ms)
            if change is not None:
                memory.rested_ms = now_ms + REST_MS
                changes.append(change)
        return changes

    def _plan_pool(
        self,
        view: FleetView,
        demand: PoolDemand,
        memory: PoolRoles,
        now_ms: int,
    ) -> RoleChange | None:
        targets = view.of_pool(demand.pool)
        ready = _ready(targets)
        current = Assignment.of_targets(ready)
        move, gain = _best_move(current, demand, self._speeds)
        held_ms = min(memory.held_ms(move, now_ms), LONGEST_HORIZON_MS)
        if move is None or len(ready) < 2 or now_ms < memory.rested_ms:
            return None
        if any(target.phase is TargetPhase.changing for target in targets):
            return None
        loss_ms = CHANGE_LOSS_MS / len(ready)
        if gain * held_ms < loss_ms:
            return None
        return RoleChange(target=_idlest(ready, move[0]), role=move[1])


@ROLE_PLANNERS.register('fixed')
class FixedRoles:
    """Leaves all roles as they are."""

    __slots__ = ()

    def plan(self, view: FleetView, now_ms: int) -> list[RoleChange]:
        """Return no change."""
        return []


@ROLE_PLANNERS.register('greedy')
class GreedyRoles:
    """Follows each change of the mix at once."""

    __slots__ = ('_speeds',)

    def __init__(self, speeds: dict[Role, RoleSpeed] | None = None) -> None:
        self._speeds = speeds or DEFAULT_SPEEDS

    def plan(self, view: FleetView, now_ms: int) -> list[RoleChange]:
        """Return the changes to the best roles for the present demand."""
        changes = []
        for demand in view.demands:
            ready = _ready(view.of_pool(demand.pool))
            best = find_best_assignment(len(ready), demand, self._speeds)
            changes.extend(_changes_to(best, ready))
        return changes


_SMOOTHED = (
    'prefill_per_ms',
    'decode_per_ms',
    'urgent_prefill_per_ms',
    'urgent_decode_per_ms',
)


def _moved(old: float, demand: PoolDemand, name: str, gain: float) -> float:
    return old + gain * (float(getattr(demand, name)) - old)


def _ready(targets: list[TargetView]) -> list[TargetView]:
    return [target for target in targets if target.phase is TargetPhase.ready]


def _best_move(
    current: Assignment, demand: PoolDemand, speeds: dict[Role, RoleSpeed]
) -> tuple[tuple[Role, Role] | None, float]:
    best: tuple[Role, Role] | None = None
    gain = float(0)
    before = max(FULL, compute_fill(current, demand, speeds))
    for source in Role:
        if not current.count(source):
            continue
        away = current.without(source)
        if compute_urgent_fill(away, demand, speeds) > FULL_WHILE_AWAY:
            continue
        for goal in _others(source):
            moved = compute_fill(current.moved(source, goal), demand, speeds)
            after = max(FULL, moved)
            if before - after > max(gain, MIN_GAIN):
                best = (source, goal)
                gain = before - after
    return best, gain


def _others(role: Role) -> list[Role]:
    return [other for other in Role if other is not role]


def _idlest(ready: list[TargetView], role: Role) -> str:
    having = [target for target in ready if target.role is role]
    return min(having, key=lambda target: target.open_requests).name


def _changes_to(goal: Assignment, ready: list[TargetView]) -> list[RoleChange]:
    surplus: list[TargetView] = []
    missing: list[Role] = []
    for role in Role:
        having = [target for target in ready if target.role is role]
        surplus.extend(having[goal.count(role) :])
        missing.extend(repeat(role, max(0, goal.count(role) - len(having))))
    return [
        RoleChange(target=target.name, role=wanted)
        for target, wanted in zip(surplus, missing, strict=True)
    ]
