"""Planners of engine roles, which weigh the gain and loss of changes."""

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

SMOOTHING_MS = 10_000.0
CHANGE_LOSS_MS = 16_000.0
FULL = 1.0
MAX_FILL_WHILE_AWAY = 0.8
MIN_GAIN = 0.02
MIN_CHANGE_INTERVAL_MS = 30_000
MAX_HORIZON_MS = 600_000


class RoleChange(msgspec.Struct, frozen=True, kw_only=True):
    """A role change to begin."""

    target: str
    role: Role


class RolePlanner(Protocol):
    """Plans role changes."""

    def plan(self, view: FleetView, now_ms: int) -> list[RoleChange]:
        """Return the changes to begin now."""


class SmoothDemand:
    """Demand of a pool, smoothed exponentially over a time scale."""

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
                name: _smooth_field(
                    getattr(self._smooth, name), demand, name, gain
                )
                for name in _SMOOTHED
            },
        )
        return self._smooth


class PoolRoles:
    """
    Planning state of one pool.

    :param wanted: the best change, as present and new role, none if no change
        is worthwhile
    :param wanted_since_ms: since when this has been so
    :param next_change_ms: earliest time of the next change
    """

    __slots__ = ('demand', 'next_change_ms', 'wanted', 'wanted_since_ms')

    def __init__(self) -> None:
        self.demand = SmoothDemand(SMOOTHING_MS)
        self.wanted: tuple[Role, Role] | None = None
        self.wanted_since_ms = 0
        self.next_change_ms = 0

    def update_wanted(
        self, change: tuple[Role, Role] | None, now_ms: int
    ) -> int:
        """Record the best change and return how long it has been the best."""
        if change != self.wanted:
            self.wanted = change
            self.wanted_since_ms = now_ms
        return now_ms - self.wanted_since_ms


@ROLE_PLANNERS.register('planned')
class PlannedRoles:
    """
    Changes a role once the expected gain exceeds the loss.

    A mix of work that has been stable for some time is expected to last for as
    long again. A change is delayed until its gain over that horizon exceeds the
    work that is lost while the engine is away, so that the loss is never much
    higher than that of a planner that knows the future. Shorter swings are left
    to routing. One engine of a pool changes at a time.
    """

    __slots__ = ('_pools_by_name', '_speeds')

    def __init__(self, speeds: dict[Role, RoleSpeed] | None = None) -> None:
        self._speeds = speeds or DEFAULT_SPEEDS
        self._pools_by_name: dict[str, PoolRoles] = {}

    def plan(self, view: FleetView, now_ms: int) -> list[RoleChange]:
        """Return the changes to begin now, at most one a pool."""
        changes = []
        for demand in view.demands:
            pool_roles = self._pools_by_name.setdefault(
                demand.pool, PoolRoles()
            )
            smooth = pool_roles.demand.observe(demand, now_ms)
            change = self._plan_pool(view, smooth, pool_roles, now_ms)
            if change is not None:
                pool_roles.next_change_ms = now_ms + MIN_CHANGE_INTERVAL_MS
                changes.append(change)
        return changes

    def _plan_pool(
        self,
        view: FleetView,
        demand: PoolDemand,
        pool_roles: PoolRoles,
        now_ms: int,
    ) -> RoleChange | None:
        targets = view.of_pool(demand.pool)
        ready = _list_ready(targets)
        current = Assignment.of_targets(ready)
        move, gain = _find_best_move(current, demand, self._speeds)
        stable_ms = min(pool_roles.update_wanted(move, now_ms), MAX_HORIZON_MS)
        if move is None or len(ready) < 2 or now_ms < pool_roles.next_change_ms:
            return None
        if any(target.phase is TargetPhase.changing for target in targets):
            return None
        loss_ms = CHANGE_LOSS_MS / len(ready)
        if gain * stable_ms < loss_ms:
            return None
        return RoleChange(target=_find_idlest(ready, move[0]), role=move[1])


@ROLE_PLANNERS.register('fixed')
class FixedRoles:
    """Changes no roles."""

    __slots__ = ()

    def plan(self, view: FleetView, now_ms: int) -> list[RoleChange]:
        """Return no change."""
        return []


@ROLE_PLANNERS.register('greedy')
class GreedyRoles:
    """Applies the best roles for the present demand at once."""

    __slots__ = ('_speeds',)

    def __init__(self, speeds: dict[Role, RoleSpeed] | None = None) -> None:
        self._speeds = speeds or DEFAULT_SPEEDS

    def plan(self, view: FleetView, now_ms: int) -> list[RoleChange]:
        """Return the changes to the best roles for the present demand."""
        changes = []
        for demand in view.demands:
            ready = _list_ready(view.of_pool(demand.pool))
            best = find_best_assignment(len(ready), demand, self._speeds)
            changes.extend(_plan_changes(best, ready))
        return changes


_SMOOTHED = (
    'prefill_per_ms',
    'decode_per_ms',
    'urgent_prefill_per_ms',
    'urgent_decode_per_ms',
)


def _smooth_field(
    old: float, demand: PoolDemand, name: str, gain: float
) -> float:
    return old + gain * (float(getattr(demand, name)) - old)


def _list_ready(targets: list[TargetView]) -> list[TargetView]:
    return [target for target in targets if target.phase is TargetPhase.ready]


def _find_best_move(
    current: Assignment, demand: PoolDemand, speeds: dict[Role, RoleSpeed]
) -> tuple[tuple[Role, Role] | None, float]:
    best: tuple[Role, Role] | None = None
    gain = float(0)
    before = max(FULL, compute_fill(current, demand, speeds))
    for source in Role:
        if not current.count(source):
            continue
        away = current.remove_one(source)
        if compute_urgent_fill(away, demand, speeds) > MAX_FILL_WHILE_AWAY:
            continue
        for goal in _list_other_roles(source):
            moved = compute_fill(current.move_one(source, goal), demand, speeds)
            after = max(FULL, moved)
            if before - after > max(gain, MIN_GAIN):
                best = (source, goal)
                gain = before - after
    return best, gain


def _list_other_roles(role: Role) -> list[Role]:
    return [other for other in Role if other is not role]


def _find_idlest(ready: list[TargetView], role: Role) -> str:
    role_targets = [target for target in ready if target.role is role]
    return min(role_targets, key=lambda target: target.open_requests).name


def _plan_changes(
    goal: Assignment, ready: list[TargetView]
) -> list[RoleChange]:
    surplus: list[TargetView] = []
    missing: list[Role] = []
    for role in Role:
        role_targets = [target for target in ready if target.role is role]
        surplus.extend(role_targets[goal.count(role) :])
        missing.extend(
            repeat(role, max(0, goal.count(role) - len(role_targets)))
        )
    return [
        RoleChange(target=target.name, role=wanted)
        for target, wanted in zip(surplus, missing, strict=True)
    ]
