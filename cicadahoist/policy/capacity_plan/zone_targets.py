"""
Plan of the targets of a service in each availability zone of a large fleet.

Reclaimable targets cost a fraction of steady ones, and are reclaimed a zone at
a time. So all targets are reclaimable ones, beyond what the zones need to serve
until these are there.
"""

import math
from collections.abc import Collection

import msgspec

from cicadahoist.policy.fleet_plan import MAX_CHEAP_PRICE, ZoneFleet, ZonePlan
from cicadahoist.rules import OrderLimits


class _ZoneCounts(msgspec.Struct, kw_only=True):
    """Targets to have in one zone, while they are worked out."""

    fleet: ZoneFleet
    share: int
    steady: int = 0
    cheap: int = 0


class ZoneTargets:
    """
    Distributes the targets of one service over the availability zones.

    :param limits: bounds and prices of orders in one availability zone
    :param fleets: present targets of each zone
    :param lacking_zones: zones where the platform has no reclaimable targets
    """

    __slots__ = ('_counts', '_lacking_zones', '_limits')

    def __init__(
        self,
        limits: OrderLimits,
        fleets: list[ZoneFleet],
        lacking_zones: Collection[str],
    ) -> None:
        self._limits = limits
        self._lacking_zones = lacking_zones
        ordered = sorted(
            fleets, key=lambda fleet: (self._get_price(fleet), fleet.zone)
        )
        self._counts = [_ZoneCounts(fleet=fleet, share=0) for fleet in ordered]

    def plan_zones(
        self, wanted_count: int, needed_count: int
    ) -> list[ZonePlan]:
        """
        Return the targets to have in each availability zone.

        :param wanted_count: targets to have in all zones together
        :param needed_count: fewest targets that serve the present load
        """
        self._share_out(wanted_count)
        if self._limits.cheap_price_ratio > MAX_CHEAP_PRICE:
            for dear in self._counts:
                dear.steady = dear.share
        else:
            self._plan_cheap(wanted_count, needed_count)
        return [
            ZonePlan(counts.fleet.zone, counts.steady, counts.cheap)
            for counts in self._counts
        ]

    def _plan_cheap(self, wanted_count: int, needed_count: int) -> None:
        for counts in self._counts:
            counts.cheap = counts.share
            counts.steady = self._count_kept(counts)
        self._move_missing()
        self._add_stand_ins(needed_count)
        self._delay_release(wanted_count, needed_count)
        for crowded in self._counts:
            self._fit_places(crowded)

    def _share_out(self, wanted_count: int) -> None:
        """Give all zones the same, and the rest to the cheapest ones."""
        share, rest = divmod(wanted_count, len(self._counts))
        for rank, counts in enumerate(self._counts):
            counts.share = max(
                self._limits.min_targets,
                min(self._limits.max_targets, share + (rank < rest)),
            )

    def _count_kept(self, counts: _ZoneCounts) -> int:
        """
        Return the steady targets that a zone keeps in any case.

        The platform keeps ``min`` targets, of either kind, in a zone.
        """
        lacks_cheap = counts.fleet.ready_cheap_count < self._limits.min_targets
        return self._limits.min_targets if lacks_cheap else 0

    def _move_missing(self) -> None:
        """Order what a zone lacks in the others, until it has it again."""
        missing = sum(
            max(0, counts.share - counts.fleet.ready_cheap_count)
            for counts in self._counts
            if self._lacks_cheap(counts)
        )
        for counts in self._counts:
            if not self._lacks_cheap(counts):
                places = self._limits.max_targets - counts.cheap
                added = max(0, min(places, missing))
                counts.cheap += added
                missing -= added

    def _add_stand_ins(self, needed_count: int) -> None:
        """Add steady targets where reclaimable ones do not suffice."""
        missing = needed_count - sum(
            counts.steady + self._count_expected_cheap(counts)
            for counts in self._counts
        )
        for counts in self._counts:
            places = self._limits.max_targets - counts.cheap - counts.steady
            added = max(0, min(places, missing))
            counts.steady += added
            missing -= added

    def _count_expected_cheap(self, counts: _ZoneCounts) -> int:
        if self._lacks_cheap(counts):
            return counts.fleet.ready_cheap_count
        return counts.cheap

    def _delay_release(self, wanted_count: int, needed_count: int) -> None:
        """
        Release no more targets than those there exceed the wanted ones.

        Those that change their role do not serve: until they do, as many steady
        ones stay as the present load needs.
        """
        serving_count = sum(
            counts.fleet.serving_count for counts in self._counts
        )
        changing_count = sum(
            counts.fleet.changing_count for counts in self._counts
        )
        surplus = serving_count + changing_count - wanted_count
        steady_surplus = min(surplus, serving_count - needed_count)
        surplus -= self._release_steady(max(0, steady_surplus))
        for counts in reversed(self._counts):
            excess = max(0, counts.fleet.cheap_count - counts.cheap)
            released = max(0, min(excess, surplus))
            counts.cheap += excess - released
            surplus -= released

    def _release_steady(self, most: int) -> int:
        """
        Keep the steady targets that may not be released yet.

        :return: how many are released
        """
        left = most
        for counts in reversed(self._counts):
            excess = max(0, counts.fleet.steady_count - counts.steady)
            released = min(excess, left)
            counts.steady += excess - released
            left -= released
        return most - left

    def _fit_places(self, counts: _ZoneCounts) -> None:
        """
        Keep to the places of a zone, which both kinds share.

        Steady targets make room for half of the reclaimable ones at a time.
        """
        places = self._limits.max_targets
        if counts.steady + counts.cheap <= places:
            return
        room = max(
            counts.fleet.cheap_count, math.ceil(min(counts.cheap, places) / 2)
        )
        counts.steady = min(counts.steady, max(0, places - room))
        counts.cheap = min(counts.cheap, places - counts.steady)

    def _lacks_cheap(self, counts: _ZoneCounts) -> bool:
        return counts.fleet.zone in self._lacking_zones

    def _get_price(self, fleet: ZoneFleet) -> float:
        return self._limits.price_by_zone.get(fleet.zone, 1)
