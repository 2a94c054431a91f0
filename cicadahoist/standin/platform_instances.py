"""Lagging list of instances of the platform stand-in."""

import msgspec

from cicadahoist.outside.platform_messages import ListedInstance


class Listing(msgspec.Struct, frozen=True):
    """What the list holds from a time on."""

    shown_from_ms: int
    instances: list[ListedInstance]


class InstanceBooks:
    """
    Lists instances as they were a while ago.

    :param lag_ms: time until a change shows
    """

    __slots__ = ('_lag_ms', '_listings')

    def __init__(self, instances: list[ListedInstance], lag_ms: int) -> None:
        self._lag_ms = lag_ms
        self._listings = [Listing(0, instances)]

    def change(self, instances: list[ListedInstance], now_ms: int) -> None:
        """Replace the list; the change shows after the lag."""
        self._listings.append(Listing(now_ms + self._lag_ms, instances))

    def listed(self, now_ms: int) -> list[ListedInstance]:
        """Return the list as it shows by now."""
        while len(self._listings) > 1:
            if self._listings[1].shown_from_ms > now_ms:
                break
            self._listings.pop(0)
        return self._listings[0].instances
