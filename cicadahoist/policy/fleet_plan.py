"""How many targets of a service are wanted, of which kind, and where."""

import math

import msgspec

from cicadahoist.rules import OrderLimits

# Reclaimable targets below this share of the price replace steady ones.
CHEAP_ENOUGH = 0.6
# Steady engines that are kept so that a reclaim everywhere leaves some.
STEADY_KEPT = 1
# A burst asks for several times the mean, and new engines take seconds.
BURST_HEADROOM = 4.0
# Engines wanted against those found at the start, before demand is known.
START_HEADROOM = 2
# Below this share of the wanted engines, steady ones are ordered beside.
LEAST_READY_SHARE = 0.5


class ZoneFleet(msgspec.Struct, frozen=True, kw_only=True):
    """
    Targets of one service in one availability zone that take work.

    :param steady: targets that stay
    :param cheap: reclaimable targets
    """

    zone: str
    steady: int = 0
    cheap: int = 0


class ZoneWish(msgspec.Struct, frozen=True):
    """Targets wanted in one availability zone."""

    zone: str
    steady: int
    cheap: int


def engines_wanted(limits: OrderLimits, zones: int, start: int, demand: float) -> int:
    """
    Return the engines that a service should have.

    :param zones: availability zones in which it may run
    :param start: engines that were found at the start
    :param demand: engines that the mean load keeps busy
    """
    wanted = max(START_HEADROOM * start, math.ceil(BURST_HEADROOM * demand))
    return max(limits.fewest * zones, min(limits.most * zones, wanted))


def plan_fleet(
    limits: OrderLimits,
    fleets: list[ZoneFleet],
    wanted: int,
    *,
    is_idle: bool,
) -> list[ZoneWish]:
    """
    Return what to order in each availability zone.

    Steady targets are given up once as many reclaimable ones serve, or at
    once where nothing is asked.

    :param fleets: what is there
    :param wanted: targets wanted in all
    :param is_idle: whether no requests come
    """
    if limits.cheap_price > CHEAP_ENOUGH:
        return [_steady_wish(limits, fleet, wanted, fleets) for fleet in fleets]
    present_steady = sum(fleet.steady for fleet in fleets)
    present_cheap = sum(fleet.cheap for fleet in fleets)
    present = present_steady + present_cheap
    may_swap = is_idle or present_cheap >= present_steady - STEADY_KEPT
    shortage = math.ceil(LEAST_READY_SHARE * wanted) - present
    ordered = sorted(
        fleets, key=lambda fleet: (_price(limits, fleet.zone), fleet.zone)
    )
    wishes = []
    kept_left = STEADY_KEPT + max(0, shortage)
    for fleet in ordered:
        room = limits.most if shortage > 0 else 1
        kept = min(kept_left, room)
        kept_left -= kept
        steady = kept if may_swap or kept > fleet.steady else fleet.steady
        share = math.ceil(wanted / len(fleets))
        cheap = max(0, min(limits.most, share) - steady)
        wishes.append(ZoneWish(fleet.zone, steady, cheap))
    return wishes


def _steady_wish(
    limits: OrderLimits,
    fleet: ZoneFleet,
    wanted: int,
    fleets: list[ZoneFleet],
) -> ZoneWish:
    share = round(wanted / START_HEADROOM / len(fleets))
    steady = max(limits.fewest, min(limits.most, share))
    return ZoneWish(fleet.zone, steady, 0)


def _price(limits: OrderLimits, zone: str) -> float:
    return limits.price_by_zone.get(zone, 1)
