"""Which targets to order and release."""

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
ALWAYS_DEDICATED = 1


class TargetOrder(msgspec.Struct, frozen=True, kw_only=True):
    """A target that is to be ordered."""

    pool: str
    zone: str
    reclaimable: bool


class TargetRelease(msgspec.Struct, frozen=True, kw_only=True):
    """A target that is to be drained and given back."""

    target: str


SpendingPlan = TargetOrder | TargetRelease


class Prices(msgspec.Struct, frozen=True):
    """Cost of a running target, in thousandths of a unit an hour."""

    dedicated: int = 1000
    cheap: int = 350


class Fleet(msgspec.Struct, frozen=True):
    """
    A number of targets of a pool.

    :param dedicated: targets that stay until they are released
    :param cheap_by_zone: targets that may vanish, by zone
    """

    dedicated: int
    cheap_by_zone: dict[str, int]

    @property
    def total(self) -> int:
        """All targets."""
        return self.dedicated + sum(self.cheap_by_zone.values())

    @property
    def without_worst_zone(self) -> int:
        """Targets that are left when all cheap ones of a zone vanish."""
        return self.total - max(self.cheap_by_zone.values(), default=0)


class PoolSpending:
    """
    Memory of one pool.

    :param surplus_since_ms: since when there are more targets than wanted
    """

    __slots__ = ('forecast', 'surplus_since_ms')

    def __init__(self) -> None:
        self.forecast = Forecast()
        self.surplus_since_ms: int | None = None


class SpendingPlanner:
    """
    Orders ahead and releases late.

    Strict work is safe when all cheap targets of any one zone vanish at once.
    Deferrable work is counted on top and gets cheap targets where there are
    any.

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
            memory = self._pools_by_name.setdefault(demand.pool, PoolSpending())
            memory.forecast.observe(demand.strict_engines, view.day_ms, now_ms)
            wanted = self._wanted(view, demand, memory.forecast)
            present = _present(view.of_pool(demand.pool))
            orders = _orders(view, demand.pool, wanted, present)
            plans.extend(orders)
            if not orders:
                plans.extend(_releases(wanted, present, memory, now_ms))
        return plans

    def _wanted(
        self, view: FleetView, demand: PoolDemand, forecast: Forecast
    ) -> Fleet:
        strict = max(
            forecast.peak(view.day_ms, self._arrival_ms),
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
    Return the cheapest fleet that is large and safe enough.

    :param strict: targets that must be left when a zone's cheap ones vanish
    :param total: targets that are needed in all
    :param zones: zones with cheap targets
    """
    least = min(ALWAYS_DEDICATED, total)
    if not zones:
        return Fleet(max(strict, total), {})
    choices = [
        _filled(dedicated, strict, total, zones)
        for dedicated in range(least, max(strict, total) + 1)
    ]
    return min(choices, key=lambda fleet: _cost(fleet, prices))


def _filled(dedicated: int, strict: int, total: int, zones: list[str]) -> Fleet:
    counts: Counter[str] = Counter()
    number = 0
    fleet = Fleet(dedicated, dict(counts))
    while fleet.total < total or fleet.without_worst_zone < strict:
        if len(zones) == 1 and fleet.total >= total:
            return Fleet(max(dedicated, strict), dict(counts))
        counts[zones[number % len(zones)]] += 1
        number += 1
        fleet = Fleet(dedicated, dict(counts))
    return fleet


def _cost(fleet: Fleet, prices: Prices) -> int:
    cheap = fleet.total - fleet.dedicated
    return fleet.dedicated * prices.dedicated + cheap * prices.cheap


def _present(targets: list[TargetView]) -> list[TargetView]:
    return [
        target for target in targets if target.phase is not TargetPhase.leaving
    ]


def _orders(
    view: FleetView, pool: str, wanted: Fleet, present: list[TargetView]
) -> list[SpendingPlan]:
    orders: list[SpendingPlan] = []
    having = _fleet_of(present)
    for zone, count in wanted.cheap_by_zone.items():
        missing = count - having.cheap_by_zone.get(zone, 0)
        orders.extend(
            TargetOrder(pool=pool, zone=zone, reclaimable=True)
            for _ in range(missing)
        )
    counts = Counter(target.zone for target in present)
    for _ in range(wanted.dedicated - having.dedicated):
        emptiest = min(view.zones, key=counts.__getitem__)
        counts[emptiest] += 1
        orders.append(TargetOrder(pool=pool, zone=emptiest, reclaimable=False))
    return orders


def _releases(
    wanted: Fleet,
    present: list[TargetView],
    memory: PoolSpending,
    now_ms: int,
) -> list[SpendingPlan]:
    surplus = _surplus(wanted, present)
    if not surplus:
        memory.surplus_since_ms = None
        return []
    if memory.surplus_since_ms is None:
        memory.surplus_since_ms = now_ms
    if now_ms - memory.surplus_since_ms < RELEASE_AFTER_MS:
        return []
    idlest = min(surplus, key=lambda target: target.open_requests)
    return [TargetRelease(target=idlest.name)]


def _surplus(wanted: Fleet, present: list[TargetView]) -> list[TargetView]:
    if any(target.phase is TargetPhase.ordered for target in present):
        return []
    having = _fleet_of(present)
    if having.dedicated > wanted.dedicated:
        return [target for target in present if not target.reclaimable]
    over = {
        zone
        for zone, count in having.cheap_by_zone.items()
        if count > wanted.cheap_by_zone.get(zone, 0)
    }
    return [
        target
        for target in present
        if target.reclaimable and target.zone in over
    ]


def _fleet_of(targets: list[TargetView]) -> Fleet:
    cheap = Counter(target.zone for target in targets if target.reclaimable)
    dedicated = sum(not target.reclaimable for target in targets)
    return Fleet(dedicated, dict(cheap))
