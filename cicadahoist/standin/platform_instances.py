"""Lagging list of instances of the platform stand-in."""

import msgspec

from cicadahoist.outside.platform_messages import ListedInstance


class ListSnapshot(msgspec.Struct, frozen=True):
    """What the list holds from a time on."""

    visible_from_ms: int
    instances: list[ListedInstance]


class LaggedInstanceList:
    """
    Lists instances as they were a while ago.

    :param lag_ms: time until a change shows
    """

    __slots__ = ('_lag_ms', '_snapshots')

    def __init__(self, instances: list[ListedInstance], lag_ms: int) -> None:
        self._lag_ms = lag_ms
        self._snapshots = [ListSnapshot(0, instances)]

    def replace(self, instances: list[ListedInstance], now_ms: int) -> None:
        """Replace the list; the change shows after the lag."""
        self._snapshots.append(ListSnapshot(now_ms + self._lag_ms, instances))

    def list_instances(self, now_ms: int) -> list[ListedInstance]:
        """Return the list as it shows by now."""
        while len(self._snapshots) > 1:
            if self._snapshots[1].visible_from_ms > now_ms:
                break
            self._snapshots.pop(0)
        return self._snapshots[0].instances
