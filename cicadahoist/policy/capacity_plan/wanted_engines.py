"""Number of engines that a service should have, with delayed release."""

import math
from collections import deque

import msgspec

from cicadahoist.policy.capacity_plan.engine_need import RoleNeed, compute_need
from cicadahoist.policy.capacity_plan.engine_use import (
    MEAN_WINDOW_MS,
    RECENT_WINDOW_MS,
    EngineUse,
    MeanUse,
)
from cicadahoist.rules import EngineSizes, OrderLimits

# Bursts reach 2.5 times the mean of a wave that itself rises by a quarter and
# more. They are over before or soon after an engine has booted, so that the
# engines for them have to be there already.
BURST_HEADROOM = 3.0
# Growth of the recent load until an engine ordered now serves.
BOOT_HEADROOM = 1.25
# Engines are released once so long fewer would have sufficed: two periods of
# the longest waves. In a model of these loads, a release after 12 s cost more
# in late requests and new boots than it saved.
RELEASE_AFTER_MS = 30_000
# A fleet that has seen no load keeps its engines for this time.
QUIET_AFTER_MS = 30_000
# One engine for each role in a zone, so that it serves while it is cut off.
MIN_ENGINES_PER_ZONE = 2


class Wanted(msgspec.Struct, frozen=True):
    """
    Engines that a service should have.

    :param count: engines wanted in all zones together
    :param needed_count: fewest engines that serve the recent load
    :param need: engines by role that the mean load needs at bursts
    :param mean: the mean load
    """

    count: int
    needed_count: int
    need: RoleNeed
    mean: MeanUse


class WantedEngines:
    """
    Computes the engines that a service should have.

    Without measurements, these are as many as were found at the start.

    :param use: load of the service in flight
    :param zone_count: availability zones in which it may run
    """

    __slots__ = ('_began_ms', '_needs', '_start_count', '_use', '_zone_count')

    def __init__(self, use: EngineUse, zone_count: int) -> None:
        self._use = use
        self._zone_count = zone_count
        # Counts within the time of release, with their times; decreasing.
        self._needs: deque[tuple[int, int]] = deque()
        self._began_ms: int | None = None
        # Engines at the first plan, none before it.
        self._start_count: int | None = None

    def compute(
        self,
        limits: OrderLimits,
        sizes: EngineSizes,
        present_count: int,
        prefill_ms: float | None,
        now_ms: int,
    ) -> Wanted:
        """
        Return the engines that the service should have now.

        :param present_count: engines that it has, ordered ones included
        :param prefill_ms: mean time that prompts spend at prefill engines
        """
        mean = self._use.compute_mean(now_ms, MEAN_WINDOW_MS, prefill_ms)
        recent = self._use.compute_mean(now_ms, RECENT_WINDOW_MS, prefill_ms)
        need = compute_need(mean, sizes, BURST_HEADROOM)
        recent_need = compute_need(recent, sizes, BOOT_HEADROOM)
        needed_count = self._limit(recent_need.engine_count, limits)
        wanted = max(
            need.engine_count,
            recent_need.engine_count,
            self._cover_zone_loss(recent_need.engine_count),
        )
        if not self._is_measured(now_ms):
            if self._start_count is None:
                self._start_count = present_count
            wanted = max(wanted, self._start_count)
            needed_count = max(needed_count, self._start_count)
        wanted = self._limit(wanted, limits)
        return Wanted(self._hold(wanted, now_ms), needed_count, need, mean)

    def _cover_zone_loss(self, needed_count: int) -> int:
        """Return the engines of which enough remain without one zone."""
        if self._zone_count == 1:
            return needed_count
        return math.ceil(
            needed_count * self._zone_count / (self._zone_count - 1)
        )

    def _is_measured(self, now_ms: int) -> bool:
        if self._began_ms is None:
            self._began_ms = now_ms
        loaded_ms = self._use.count_loaded_ms(now_ms)
        if loaded_ms:
            return loaded_ms >= RECENT_WINDOW_MS
        return now_ms - self._began_ms >= QUIET_AFTER_MS

    def _limit(self, count: int, limits: OrderLimits) -> int:
        fewest = max(limits.min_targets, MIN_ENGINES_PER_ZONE)
        return min(
            limits.max_targets * self._zone_count,
            max(fewest * self._zone_count, count),
        )

    def _hold(self, wanted: int, now_ms: int) -> int:
        """Return the highest count within the time of release."""
        while self._needs and self._needs[-1][1] <= wanted:
            self._needs.pop()
        self._needs.append((now_ms, wanted))
        while self._needs[0][0] < now_ms - RELEASE_AFTER_MS:
            self._needs.popleft()
        return self._needs[0][1]
