"""Planner of orders and releases of targets."""

import math
from collections import Counter

import msgspec

from cicadahoist.policy.fleet import (
    FleetView,
    PoolDemand,
    TargetPhase,
    TargetView,
)
from cicadahoist.policy.forecast import Forecast

RELEASE_AFTER_MS = 300_000
ARRIVAL_MS = 180_000
MIN_DEDICATED_COUNT = 1


class TargetOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order of one target."""

    pool: str
    zone: str
    reclaimable: bool


class TargetRelease(msgspec.Struct, frozen=True, kw_only=True):
    """A target to drain and return to the platform."""

    target: str


SpendingPlan = TargetOrder | TargetRelease


class Prices(msgspec.Struct, frozen=True):
    """Cost of a running target, in thousandths of a unit per hour."""

    dedicated: int = 1000
    cheap: int = 350


class Fleet(msgspec.Struct, frozen=True):
    """
    Number of targets of a pool by kind.

    :param dedicated: targets that stay until they are released
    :param cheap_by_zone: reclaimable targets by zone
    """

    dedicated: int
    cheap_by_zone: dict[str, int]

    @property
    def total(self) -> int:
        """Number of all targets."""
        return self.dedicated + sum(self.cheap_by_zone.values())

    @property
    def without_worst_zone(self) -> int:
        """Targets that remain if the worst zone loses all its cheap ones."""
        return self.total - max(self.cheap_by_zone.values(), default=0)


class PoolSpending:
    """
    Planning state of one pool.

    :param surplus_since_ms: since when there are more targets than wanted,
        none if there are not
    """

    __slots__ = ('forecast', 'surplus_since_ms')

    def __init__(self) -> None:
        self.forecast = Forecast()
        self.surplus_since_ms: int | None = None


class SpendingPlanner:
    """
    Orders targets ahead of demand and releases them late.

    Enough targets for strict work remain if all cheap targets of any one zone
    are reclaimed at once. Deferrable work is added and runs on cheap targets
    where they are available.

    :param prices: prices of both kinds
    :param arrival_ms: time from an order until the target is ready
    """

    __slots__ = ('_arrival_ms', '_pools_by_name', '_prices')

    def __init__(
        self, prices: Prices | None = None, arrival_ms: int = ARRIVAL_MS
    ) -> None:
        self._prices = prices or Prices()
        self._arrival_ms = arrival_ms
        self._pools_by_name: dict[str, PoolSpending] = {}

    def plan(self, view: FleetView, now_ms: int) -> list[SpendingPlan]:
        """Return orders and releases to make now."""
        plans: list[SpendingPlan] = []
        for demand in view.demands:
            pool_spending = self._pools_by_name.setdefault(
                demand.pool, PoolSpending()
            )
            pool_spending.forecast.observe(
                demand.strict_engines, view.day_ms, now_ms
            )
            wanted = self._plan_fleet(view, demand, pool_spending.forecast)
            present = _list_present(view.of_pool(demand.pool))
            orders = _plan_orders(view, demand.pool, wanted, present)
            plans.extend(orders)
            if not orders:
                plans.extend(
                    _plan_releases(wanted, present, pool_spending, now_ms)
                )
        return plans

    def _plan_fleet(
        self, view: FleetView, demand: PoolDemand, forecast: Forecast
    ) -> Fleet:
        strict = max(
            forecast.predict_peak(view.day_ms, self._arrival_ms),
            demand.strict_engines,
        )
        strict_count = math.ceil(strict)
        total = math.ceil(strict + demand.batch_engines)
        zones = [
            zone for zone in view.zones if zone not in view.cheap_unavailable
        ]
        return find_cheapest_fleet(
            strict_count, max(total, strict_count), zones, self._prices
        )


def find_cheapest_fleet(
    strict: int, total: int, zones: list[str], prices: Prices
) -> Fleet:
    """
    Return the cheapest fleet with enough targets, also after a reclaim.

    :param strict: targets that must remain if a zone's cheap ones are reclaimed
    :param total: targets needed in total
    :param zones: zones with cheap targets
    """
    least = min(MIN_DEDICATED_COUNT, total)
    if not zones:
        return Fleet(max(strict, total), {})
    choices = [
        _fill_zones(dedicated, strict, total, zones)
        for dedicated in range(least, max(strict, total) + 1)
    ]
    return min(choices, key=lambda fleet: _compute_cost(fleet, prices))


def _fill_zones(
    dedicated: int, strict: int, total: int, zones: list[str]
) -> Fleet:
    counts: Counter[str] = Counter()
    zone_number = 0
    fleet = Fleet(dedicated, dict(counts))
    while fleet.total < total or fleet.without_worst_zone < strict:
        if len(zones) == 1 and fleet.total >= total:
            return Fleet(max(dedicated, strict), dict(counts))
        counts[zones[zone_number % len(zones)]] += 1
        zone_number += 1
        fleet = Fleet(dedicated, dict(counts))
    return fleet


def _compute_cost(fleet: Fleet, prices: Prices) -> int:
    cheap = fleet.total - fleet.dedicated
    return fleet.dedicated * prices.dedicated + cheap * prices.cheap


def _list_present(targets: list[TargetView]) -> list[TargetView]:
    return [
        target for target in targets if target.phase is not TargetPhase.leaving
    ]


def _plan_orders(
    view: FleetView, pool: str, wanted: Fleet, present: list[TargetView]
) -> list[SpendingPlan]:
    orders: list[SpendingPlan] = []
    present_fleet = _count_fleet(present)
    for zone, count in wanted.cheap_by_zone.items():
        missing = count - present_fleet.cheap_by_zone.get(zone, 0)
        orders.extend(
            TargetOrder(pool=pool, zone=zone, reclaimable=True)
            for _ in range(missing)
        )
    counts = Counter(target.zone for target in present)
    for _ in range(wanted.dedicated - present_fleet.dedicated):
        emptiest_zone = min(view.zones, key=counts.__getitem__)
        counts[emptiest_zone] += 1
        orders.append(
            TargetOrder(pool=pool, zone=emptiest_zone, reclaimable=False)
        )
    return orders


def _plan_releases(
    wanted: Fleet,
    present: list[TargetView],
    pool_spending: PoolSpending,
    now_ms: int,
) -> list[SpendingPlan]:
    surplus = _find_surplus(wanted, present)
    if not surplus:
        pool_spending.surplus_since_ms = None
        return []
    if pool_spending.surplus_since_ms is None:
        pool_spending.surplus_since_ms = now_ms
    if now_ms - pool_spending.surplus_since_ms < RELEASE_AFTER_MS:
        return []
    idlest = min(surplus, key=lambda target: target.open_requests)
    return [TargetRelease(target=idlest.name)]


def _find_surplus(wanted: Fleet, present: list[TargetView]) -> list[TargetView]:
    if any(target.phase is TargetPhase.ordered for target in present):
        return []
    present_fleet = _count_fleet(present)
    if present_fleet.dedicated > wanted.dedicated:
        return [target for target in present if not target.reclaimable]
    surplus_zones = {
        zone
        for zone, count in present_fleet.cheap_by_zone.items()
        if count > wanted.cheap_by_zone.get(zone, 0)
    }
    return [
        target
        for target in present
        if target.reclaimable and target.zone in surplus_zones
    ]


def _count_fleet(targets: list[TargetView]) -> Fleet:
    cheap = Counter(target.zone for target in targets if target.reclaimable)
    dedicated = sum(not target.reclaimable for target in targets)
    return Fleet(dedicated, dict(cheap))
