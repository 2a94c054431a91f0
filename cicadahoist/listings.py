"""Targets as the platform lists them, and the directory that instances keep."""

from collections.abc import Callable, Iterable

import msgspec


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """
    One target as the platform lists it.

    :param name: id of this incarnation, which requests name
    :param address: host and port
    :param is_leaving: whether it takes no new work
    :param slots: requests that it runs at once
    :param role: what an engine does, empty for plain services
    :param is_cheap: whether it may be taken away on short notice
    :param remaining_warmup_ms: how much longer it works slowly after its start
    :param started_ms: wall-clock time of its start, 0 for unknown
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

    @property
    def location(self) -> tuple[str, str, int]:
        """What an answer that it is somebody else's address refers to."""
        return self.address, self.role, self.started_ms

    @property
    def endpoint(self) -> tuple[str, int]:
        """Host and port."""
        host, _, port = self.address.rpartition(':')
        return host, int(port)


class TargetDirectory:
    """The targets of this moment, by service."""

    __slots__ = ('_by_name', '_by_service', '_excluded_locations', '_on_change')

    def __init__(self) -> None:
        self._by_name: dict[str, Listing] = {}
        self._by_service: dict[str, list[Listing]] = {}
        self._on_change: list[Callable[[], None]] = []
        # Places at which a listed target was not found, by its name.
        self._excluded_locations: dict[str, tuple[str, str, int]] = {}

    def on_change(self, action: Callable[[], None]) -> None:
        """Call ``action`` after each change."""
        self._on_change.append(action)

    def get(self, name: str) -> Listing | None:
        """Return a target that is listed, leaving ones included."""
        return self._by_name.get(name)

    def list_usable(self, service: str) -> list[Listing]:
        """Return the targets of a service that take new work."""
        return self._by_service.get(service, [])

    def list_all(self) -> Iterable[Listing]:
        """Return all listed targets."""
        return self._by_name.values()

    def exclude(self, name: str) -> None:
        """Use a target no more until it is listed at another place."""
        listing = self._by_name.get(name)
        if listing is not None:
            self._excluded_locations[name] = listing.location
            self._rebuild()

    def restore(self, name: str) -> None:
        """Use a target again that was set aside."""
        if self._excluded_locations.pop(name, None) is not None:
            self._rebuild()

    def replace(self, listings: Iterable[Listing]) -> None:
        """Take over a whole list."""
        self._by_name = {listing.name: listing for listing in listings}
        self._rebuild()

    def put(self, listing: Listing) -> None:
        """Add or change one target."""
        self._by_name[listing.name] = listing
        self._rebuild()

    def remove(self, name: str) -> None:
        """Forget one target."""
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
            if not listing.is_leaving and name not in self._excluded_locations:
                by_service.setdefault(listing.service, []).append(listing)
        self._by_service = by_service
        for action in self._on_change:
            action()
