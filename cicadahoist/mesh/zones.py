"""Membership summaries of other zones, and the choice of gateways."""

from collections.abc import Collection

from cicadahoist.ids import rendezvous
from cicadahoist.messages import InstanceInfo, KnownInstances

GATEWAYS_PER_ZONE = 2

# Reporter name of summaries that the other zone itself sent.
DIRECT_REPORTER = ''

InstancesByName = dict[str, InstanceInfo]


class ZoneMap:
    """
    Live instances of other zones, by zone and reporter.

    An instance is live while any reporter lists it, so that a gateway that
    lost its link to a zone does not hide what the other gateway receives.

    :param own_zone: the zone of this instance
    """

    __slots__ = ('_last_contact_ms', '_own_zone', '_reports_by_zone')

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._reports_by_zone: dict[str, dict[str, InstancesByName]] = {}
        self._last_contact_ms: dict[str, int] = {}

    def record_contact(self, zone: str, now_ms: int) -> None:
        """Record a batch received directly from another zone."""
        if zone != self._own_zone:
            self._last_contact_ms[zone] = now_ms

    def apply_summary(self, known: KnownInstances, reporter: str) -> bool:
        """
        Apply the membership summary of another zone.

        :param known: the summary
        :param reporter: name of the gateway of the own zone that forwarded
            it, or ``DIRECT_REPORTER`` if the other zone sent it
        :return: whether the live instances of the zone changed
        """
        if known.zone in {'', self._own_zone}:
            return False
        before = self.zone_live(known.zone)
        reports = self._reports_by_zone.setdefault(known.zone, {})
        reports[reporter] = {each.name: each for each in known.instances}
        return before != self.zone_live(known.zone)

    def expire(self, timeout_ms: int, now_ms: int) -> list[str]:
        """Drop the direct reports of silent zones, and return these zones."""
        silent = [
            zone
            for zone, last_contact_ms in self._last_contact_ms.items()
            if now_ms - last_contact_ms > timeout_ms
        ]
        for zone in silent:
            self._last_contact_ms.pop(zone)
            self._reports_by_zone.get(zone, {}).pop(DIRECT_REPORTER, None)
        return silent

    def retain_reporters(self, reporters: Collection[str]) -> None:
        """Drop forwarded reports except those of the given reporters."""
        for reports in self._reports_by_zone.values():
            for reporter in list(reports):
                if reporter != DIRECT_REPORTER and reporter not in reporters:
                    reports.pop(reporter)

    def list_zones(self) -> list[str]:
        """Return the names of all other zones that were ever reported."""
        return sorted(self._reports_by_zone)

    def zone_live(self, zone: str) -> InstancesByName:
        """Return the live instances of another zone by name."""
        merged: InstancesByName = {}
        for by_name in self._reports_by_zone.get(zone, {}).values():
            merged.update(by_name)
        return merged

    def live(self) -> InstancesByName:
        """Return the live instances of all other zones by name."""
        merged: InstancesByName = {}
        for zone in self._reports_by_zone:
            merged.update(self.zone_live(zone))
        return merged

    def make_direct_summary(self, zone: str) -> KnownInstances:
        """Return the summary of another zone from its direct reports."""
        by_name = self._reports_by_zone.get(zone, {}).get(DIRECT_REPORTER, {})
        return KnownInstances(instances=list(by_name.values()), zone=zone)


def choose_gateways(zone: str, names: list[str]) -> list[str]:
    """Return the gateways of a zone in rank order."""
    return rendezvous(f'gateway/{zone}', names, GATEWAYS_PER_ZONE)


def choose_linked_gateways(
    name: str, own: list[str], other: list[str]
) -> list[str]:
    """
    Return the gateways of another zone that a gateway links to.

    Gateways of equal rank are linked.  If one zone has fewer gateways, its
    ranks repeat, so that both ends agree on each link.

    :param name: the gateway
    :param own: all gateways of its zone
    :param other: all gateways of the other zone
    """
    if not other:
        return []
    pairs = [
        (own[rank % len(own)], other[rank % len(other)])
        for rank in range(max(len(own), len(other)))
    ]
    return [linked for gateway, linked in pairs if gateway == name]
