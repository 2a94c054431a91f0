"""How many targets of a service are wanted, of which kind, and where."""

import math

import msgspec

from cicadahoist.rules import OrderLimits

# Reclaimable targets below this share of the price replace steady ones.
MAX_CHEAP_PRICE = 0.6
# Steady targets that are kept where they cost least, as a reclaim may take
# all others.
MIN_STEADY_COUNT = 1
# A burst asks for several times the mean, and new targets take seconds.
BURST_FACTOR = 4.0
# Targets wanted against those found at the start, before demand is known.
START_FACTOR = 2
# Below this share of the wanted targets, steady ones stand in.
SUFFICIENT_SHARE = 0.9
# Share of a zone's places that steady targets take while they stand in; the
# others are left for reclaimable ones to come back to.
STAND_IN_SHARE = 0.5


class ZoneFleet(msgspec.Struct, frozen=True, kw_only=True):
    """
    Targets of one service in one availability zone that take work.

    :param steady_count: targets that stay, ordered ones included
    :param cheap_count: reclaimable targets, ordered ones included
    :param ready_cheap_count: reclaimable targets that serve
    """

    zone: str
    steady_count: int = 0
    cheap_count: int = 0
    ready_cheap_count: int = 0


class ZonePlan(msgspec.Struct, frozen=True):
    """Targets wanted in one availability zone."""

    zone: str
    steady_count: int
    cheap_count: int


class FleetPlan:
    """
    Decides on the targets of one service.

    :param limits: what may be ordered in one availability zone
    :param fleets: what is there
    :param wanted: targets wanted in all
    :param is_idle: whether no requests come
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
            limits.most, math.ceil(wanted_count / max(1, len(fleets)))
        )

    def plan_zones(self) -> list[ZonePlan]:
        """Return what to order in each availability zone."""
        if self._limits.cheap_price > MAX_CHEAP_PRICE:
            return [self._plan_steady_only(fleet) for fleet in self._fleets]
        ordered = sorted(
            self._fleets, key=lambda fleet: (self._get_price(fleet), fleet.zone)
        )
        wishes = []
        for rank, fleet in enumerate(ordered):
            kept = MIN_STEADY_COUNT if rank == 0 else 0
            if fleet.ready_cheap_count < self._limits.fewest:
                # The platform keeps this many of either kind in a zone.
                kept = max(kept, self._limits.fewest)
            steady = self._count_steady(fleet, kept)
            wishes.append(
                ZonePlan(fleet.zone, steady, self._targets_per_zone - steady)
            )
        return wishes

    def _count_steady(self, fleet: ZoneFleet, kept: int) -> int:
        """
        Return the steady targets of a zone, stand-ins included.

        Stand-ins stay until the zone's reclaimable targets serve again.
        """
        full = self._targets_per_zone - kept
        if fleet.ready_cheap_count >= max(
            1, full - max(0, fleet.steady_count - kept)
        ):
            return kept
        if self._is_idle:
            return kept
        if not self._is_short:
            return max(kept, fleet.steady_count)
        most = kept + math.floor(STAND_IN_SHARE * self._targets_per_zone)
        missing = full - fleet.cheap_count
        return min(
            self._targets_per_zone,
            most,
            max(kept + missing, fleet.steady_count),
        )

    @property
    def _is_short(self) -> bool:
        present = sum(
            fleet.steady_count + fleet.cheap_count for fleet in self._fleets
        )
        return present < SUFFICIENT_SHARE * self._wanted_count

    def _plan_steady_only(self, fleet: ZoneFleet) -> ZonePlan:
        share = round(self._wanted_count / START_FACTOR / len(self._fleets))
        steady = max(self._limits.fewest, min(self._limits.most, share))
        return ZonePlan(fleet.zone, steady, 0)

    def _get_price(self, fleet: ZoneFleet) -> float:
        return self._limits.price_by_zone.get(fleet.zone, 1)


def count_wanted_targets(
    limits: OrderLimits, zone_count: int, start_count: int, busy_count: float
) -> int:
    """
    Return the targets that a service should have.

    :param zones: availability zones in which it may run
    :param start: targets that were found at the start
    :param demand: targets that the mean load keeps busy
    """
    wanted = max(
        START_FACTOR * start_count, math.ceil(BURST_FACTOR * busy_count)
    )
    return max(
        limits.fewest * zone_count, min(limits.most * zone_count, wanted)
    )
