"""
Plan of the targets of a service by kind and availability zone.

Reclaimable ("cheap") targets cost less, but the platform may take them away;
steady ones stay.
"""

import math

import msgspec

from cicadahoist.rules import OrderLimits

# Highest price of reclaimable targets, as a share of the price of steady ones,
# at which they replace these.
MAX_CHEAP_PRICE = 0.6
# Steady targets kept in the zone where they cost least, because the platform
# may reclaim all others.
MIN_STEADY_COUNT = 1
# Bursts need several times the mean load, and new targets boot for seconds.
BURST_FACTOR = 4.0
# Targets wanted per target found at the start, before the demand is known.
START_FACTOR = 2
# With fewer targets than this share of the wanted ones, steady targets stand in
# for reclaimable ones.
SUFFICIENT_SHARE = 0.9
# Highest share of a zone's targets that stand in; the remaining places stay
# free, so that reclaimable targets can return.
STAND_IN_SHARE = 0.5


class ZoneFleet(msgspec.Struct, frozen=True, kw_only=True):
    """
    Targets of one service that take work in one availability zone.

    :param steady_count: steady targets, ordered ones included
    :param cheap_count: reclaimable targets, ordered ones included
    :param ready_cheap_count: reclaimable targets that serve already
    :param serving_count: targets of both kinds that serve at this moment
    :param changing_count: targets of both kinds that change their role
    """

    zone: str
    steady_count: int = 0
    cheap_count: int = 0
    ready_cheap_count: int = 0
    serving_count: int = 0
    changing_count: int = 0


class ZonePlan(msgspec.Struct, frozen=True):
    """Targets wanted in one availability zone."""

    zone: str
    steady_count: int
    cheap_count: int


class FleetPlan:
    """
    Plans the targets of one service.

    :param limits: bounds and prices of orders in one availability zone
    :param fleets: present targets of each zone
    :param wanted_count: targets wanted in all zones together
    :param is_idle: whether no requests arrive
    """

    __slots__ = (
        '_fleets',
        '_is_idle',
        '_limits',
        '_targets_per_zone',
        '_wanted_count',
    )

    def __init__(
        self,
        limits: OrderLimits,
        fleets: list[ZoneFleet],
        wanted_count: int,
        *,
        is_idle: bool,
    ) -> None:
        self._limits = limits
        self._fleets = fleets
        self._wanted_count = wanted_count
        self._is_idle = is_idle
        self._targets_per_zone = min(
            limits.max_targets, math.ceil(wanted_count / max(1, len(fleets)))
        )

    def plan_zones(self) -> list[ZonePlan]:
        """Return the targets to have in each availability zone."""
        if self._limits.cheap_price_ratio > MAX_CHEAP_PRICE:
            return [self._plan_steady_only(fleet) for fleet in self._fleets]
        ordered = sorted(
            self._fleets, key=lambda fleet: (self._get_price(fleet), fleet.zone)
        )
        plans = []
        for rank, fleet in enumerate(ordered):
            kept_count = MIN_STEADY_COUNT if rank == 0 else 0
            if fleet.ready_cheap_count < self._limits.min_targets:
                # The platform keeps this many targets, of either kind, in a
                # zone.
                kept_count = max(kept_count, self._limits.min_targets)
            steady = self._count_steady(fleet, kept_count)
            plans.append(
                ZonePlan(fleet.zone, steady, self._targets_per_zone - steady)
            )
        return plans

    def _count_steady(self, fleet: ZoneFleet, kept_count: int) -> int:
        """
        Return the steady targets to have in a zone, stand-ins included.

        Stand-ins stay until the zone's reclaimable targets serve again.

        :param fleet: present targets of the zone
        :param kept_count: steady targets that are not stand-ins
        """
        full_cheap_count = self._targets_per_zone - kept_count
        if fleet.ready_cheap_count >= max(
            1, full_cheap_count - max(0, fleet.steady_count - kept_count)
        ):
            return kept_count
        if self._is_idle:
            return kept_count
        if not self._is_short:
            return max(kept_count, fleet.steady_count)
        max_count = kept_count + math.floor(
            STAND_IN_SHARE * self._targets_per_zone
        )
        missing_count = full_cheap_count - fleet.cheap_count
        return min(
            self._targets_per_zone,
            max_count,
            max(kept_count + missing_count, fleet.steady_count),
        )

    @property
    def _is_short(self) -> bool:
        present = sum(
            fleet.steady_count + fleet.cheap_count for fleet in self._fleets
        )
        return present < SUFFICIENT_SHARE * self._wanted_count

    def _plan_steady_only(self, fleet: ZoneFleet) -> ZonePlan:
        share = round(self._wanted_count / START_FACTOR / len(self._fleets))
        steady = max(
            self._limits.min_targets, min(self._limits.max_targets, share)
        )
        return ZonePlan(fleet.zone, steady, 0)

    def _get_price(self, fleet: ZoneFleet) -> float:
        return self._limits.price_by_zone.get(fleet.zone, 1)


def count_wanted_targets(
    limits: OrderLimits, zone_count: int, start_count: int, busy_count: float
) -> int:
    """
    Return the number of targets that a service should have.

    :param zone_count: availability zones in which it may run
    :param start_count: targets that were found at the start
    :param busy_count: targets that the mean load keeps busy
    """
    wanted = max(
        START_FACTOR * start_count, math.ceil(BURST_FACTOR * busy_count)
    )
    return max(
        limits.min_targets * zone_count,
        min(limits.max_targets * zone_count, wanted),
    )
