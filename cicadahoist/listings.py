"""Targets as the platform lists them, and each instance's directory of them."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

# Departures of targets that are kept; the oldest ones are forgotten beyond it.
MAX_DEPARTURES = 1024


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """
    One target as the platform lists it.

    :param name: id of the target, which is sent with each request to it
    :param address: host and port
    :param is_leaving: whether it accepts no new work
    :param slots: requests that it runs concurrently
    :param role: role of an engine, empty for plain services
    :param is_cheap: whether the platform may reclaim it on short notice
    :param remaining_warmup_ms: how much longer it runs slowly after its start
    :param started_ms: wall-clock time of its start, 0 for unknown
    :param version: version of its software, empty for unknown
    """

    name: str
    service: str
    address: str
    zone: str
    is_leaving: bool = False
    slots: int = 1
    role: str = ''
    is_cheap: bool = False
    remaining_warmup_ms: int = 0
    started_ms: int = 0
    version: str = ''

    @property
    def location(self) -> tuple[str, str, int]:
        """
        Address, role and start time.

        After the target was excluded because another one answered at its
        address, a change of any of these makes it usable again.
        """
        return self.address, self.role, self.started_ms

    @property
    def endpoint(self) -> tuple[str, int]:
        """Host and port."""
        host, _, port = self.address.rpartition(':')
        return host, int(port)


class TargetDirectory:
    """Currently listed targets, by name and by service."""

    __slots__ = (
        '_by_name',
        '_by_service',
        '_departed_ms_by_name',
        '_excluded_locations',
        '_on_change',
    )

    def __init__(self) -> None:
        self._by_name: dict[str, Listing] = {}
        self._by_service: dict[str, list[Listing]] = {}
        self._on_change: list[Callable[[], None]] = []
        # Start time of the latest process of each target that has said that it
        # leaves. Kept also while the target is not listed: an older entry may
        # come back.
        self._departed_ms_by_name: OrderedDict[str, int] = OrderedDict()
        # Location of each excluded target at the time of its exclusion.
        self._excluded_locations: dict[str, tuple[str, str, int]] = {}

    def on_change(self, action: Callable[[], None]) -> None:
        """Call ``action`` after each change."""
        self._on_change.append(action)

    def get(self, name: str) -> Listing | None:
        """Return a listed target, also one that is leaving, or none."""
        return self._by_name.get(name)

    def list_usable(self, service: str) -> list[Listing]:
        """Return the targets of a service that accept new work."""
        return self._by_service.get(service, [])

    def list_all(self) -> Iterable[Listing]:
        """Return all listed targets."""
        return self._by_name.values()

    def mark_leaving(self, name: str, started_ms: int) -> bool:
        """
        Use a target no more until a later process of it is listed.

        :param started_ms: start time of the process that leaves, 0 for unknown
        :return: whether this was not known
        """
        known_ms = self._departed_ms_by_name.get(name)
        if known_ms is not None and known_ms >= started_ms:
            return False
        self._departed_ms_by_name[name] = started_ms
        self._departed_ms_by_name.move_to_end(name)
        if len(self._departed_ms_by_name) > MAX_DEPARTURES:
            self._departed_ms_by_name.popitem(last=False)
        self._rebuild()
        return True

    def is_leaving(self, listing: Listing) -> bool:
        """Return whether a target is listed as leaving, or has said so."""
        return listing.is_leaving or self.has_departed(listing)

    def has_departed(self, listing: Listing) -> bool:
        """Return whether a target has said in an answer that it leaves."""
        departed_ms = self._departed_ms_by_name.get(listing.name)
        return departed_ms is not None and departed_ms >= listing.started_ms

    def exclude(self, name: str) -> None:
        """Exclude a target until its location changes or it is restored."""
        listing = self._by_name.get(name)
        if listing is not None:
            self._excluded_locations[name] = listing.location
            self._rebuild()

    def restore(self, name: str) -> None:
        """End the exclusion of a target."""
        if self._excluded_locations.pop(name, None) is not None:
            self._rebuild()

    def replace(self, listings: Iterable[Listing]) -> None:
        """Replace all targets by those of a complete list."""
        self._by_name = {listing.name: listing for listing in listings}
        self._rebuild()

    def put(self, listing: Listing) -> None:
        """Add or change one target."""
        self._by_name[listing.name] = listing
        self._rebuild()

    def remove(self, name: str) -> None:
        """Remove one target, if it is listed."""
        if self._by_name.pop(name, None) is not None:
            self._rebuild()

    def _rebuild(self) -> None:
        self._excluded_locations = {
            name: location
            for name, location in self._excluded_locations.items()
            if name in self._by_name
            and self._by_name[name].location == location
        }
        by_service: dict[str, list[Listing]] = {}
        for name in sorted(self._by_name):
            listing = self._by_name[name]
            is_excluded = name in self._excluded_locations
            if not is_excluded and not self.is_leaving(listing):
                by_service.setdefault(listing.service, []).append(listing)
        self._by_service = by_service
        for action in self._on_change:
            action()
