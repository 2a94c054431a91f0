"""Routers: choice of the target for an attempt."""

from random import Random
from typing import Any, Protocol

from cicadahoist.policy.load import TargetLoads
from cicadahoist.policy.prefix import PrefixIndex
from cicadahoist.policy.state import TargetState
from cicadahoist.policy.tickets import RouteRequest
from cicadahoist.registry import Registry
from cicadahoist.table import Target

ROUTERS: Registry[Any] = Registry('router')

SAMPLE_SIZE = 12
CROSS_ZONE_MS = 4.0
NO_ROOM_PENALTY_MS = 2000.0
CHEAP_BONUS_MS = 20.0


class Router(Protocol):
    """Chooses a target for each attempt."""

    def choose(
        self, request: RouteRequest, targets: list[Target], now_ms: int
    ) -> Target | None:
        """Return a target that may run the attempt, or none."""


class Candidates:
    """
    Selects the targets that may run an attempt.

    Of a large pool only a random sample is considered, so that the cost of a
    choice does not grow with the fleet.

    :param loads: load of the targets
    :param zone: availability zone of this instance
    """

    __slots__ = ('_loads', '_random', '_zone')

    def __init__(self, loads: TargetLoads, zone: str, rng: Random) -> None:
        self._loads = loads
        self._zone = zone
        self._random = rng

    def draw(
        self, request: RouteRequest, targets: list[Target], now_ms: int
    ) -> list[TargetState]:
        """Return the usable targets of a sample, or of all if it has none."""
        if len(targets) > SAMPLE_SIZE:
            sample = self._random.sample(targets, SAMPLE_SIZE)
            usable = self.filter_usable(request, sample, now_ms)
            if usable:
                return usable
        return self.filter_usable(request, targets, now_ms)

    def filter_usable(
        self, request: RouteRequest, targets: list[Target], now_ms: int
    ) -> list[TargetState]:
        """Return the targets that may run the attempt."""
        usable = []
        for target in targets:
            state = self._loads.get_state(target.name)
            if state is not None and may_take(state, request, now_ms):
                usable.append(state)
        return usable


def may_take(state: TargetState, request: RouteRequest, now_ms: int) -> bool:
    """Return whether a target may run an attempt at all."""
    row = state.row
    if row.name in request.excluded_targets or not state.compute_usable_share(
        now_ms
    ):
        return False
    if request.roles and state.role not in request.roles:
        return False
    if request.price_ceiling and row.price > request.price_ceiling:
        return False
    return row.reclaimable or not request.cheap_only


@ROUTERS.register('predicted')
class PredictedRouter:
    """Chooses the target with the shortest predicted time to first token."""

    __slots__ = ('_candidates', '_loads', '_prefixes', '_zone')

    def __init__(
        self, loads: TargetLoads, prefixes: PrefixIndex, zone: str, rng: Random
    ) -> None:
        self._candidates = Candidates(loads, zone, rng)
        self._loads = loads
        self._prefixes = prefixes
        self._zone = zone

    def choose(
        self, request: RouteRequest, targets: list[Target], now_ms: int
    ) -> Target | None:
        """Return the best target that may run the attempt, or none."""
        cached = self._prefixes.find_cached_tokens(request.blocks)
        states = self._candidates.draw(request, targets, now_ms)
        pool = targets[0].pool if targets else ''
        for name in cached:
            state = self._loads.get_state(name)
            if state is None or state in states or state.row.pool != pool:
                continue
            if may_take(state, request, now_ms):
                states.append(state)
        if not states:
            return None
        best = min(
            states,
            key=lambda state: self._predicted_ms(
                request, state, cached.get(state.row.name, 0), now_ms
            ),
        )
        return best.row

    def _predicted_ms(
        self,
        request: RouteRequest,
        state: TargetState,
        cached_tokens: int,
        now_ms: int,
    ) -> float:
        is_urgent = request.is_urgent
        uncached_tokens = max(0, request.cost.prefill_tokens - cached_tokens)
        backlog_tokens = state.count_backlog_tokens(is_urgent=is_urgent)
        wait_ms = (backlog_tokens + uncached_tokens) / state.speed.tokens_per_ms
        share = state.compute_usable_share(now_ms)
        slot_use = state.open_requests / max(1, state.speed.slots * share)
        wait_ms += slot_use * state.speed.step_ms
        if not state.has_room(now_ms, is_urgent=is_urgent):
            wait_ms += NO_ROOM_PENALTY_MS * max(1, slot_use)
        if state.row.zone != self._zone:
            wait_ms += CROSS_ZONE_MS
        if state.row.reclaimable and not is_urgent:
            wait_ms -= CHEAP_BONUS_MS
        return wait_ms


@ROUTERS.register('round-robin')
class RoundRobinRouter:
    """Chooses the targets in turn."""

    __slots__ = ('_candidates', '_next_number')

    def __init__(
        self, loads: TargetLoads, prefixes: PrefixIndex, zone: str, rng: Random
    ) -> None:
        self._candidates = Candidates(loads, zone, rng)
        self._next_number = 0

    def choose(
        self, request: RouteRequest, targets: list[Target], now_ms: int
    ) -> Target | None:
        """Return the next target that may run the attempt, or none."""
        states = self._candidates.filter_usable(request, targets, now_ms)
        if not states:
            return None
        self._next_number += 1
        return states[self._next_number % len(states)].row


@ROUTERS.register('least-connections')
class LeastConnectionsRouter:
    """Chooses the target with the fewest open requests of this entry."""

    __slots__ = ('_candidates',)

    def __init__(
        self, loads: TargetLoads, prefixes: PrefixIndex, zone: str, rng: Random
    ) -> None:
        self._candidates = Candidates(loads, zone, rng)

    def choose(
        self, request: RouteRequest, targets: list[Target], now_ms: int
    ) -> Target | None:
        """Return the least used target that may run the attempt, or none."""
        states = self._candidates.filter_usable(request, targets, now_ms)
        if not states:
            return None
        return min(states, key=lambda state: state.own_load.open_requests).row
