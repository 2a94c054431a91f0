"""Instance list of the platform stand-in, which lags behind changes."""

import msgspec

from cicadahoist.outside.platform_messages import ListedInstance


class ListSnapshot(msgspec.Struct, frozen=True):
    """
    Content of the list from a time on.

    :param visible_from_ms: time from which this content is listed
    """

    visible_from_ms: int
    instances: list[ListedInstance]


class LaggedInstanceList:
    """
    List of instances in which a change becomes visible after a lag.

    :param instances: instances listed from the start
    :param lag_ms: time in ms until a change is visible
    """

    __slots__ = ('_lag_ms', '_snapshots')

    def __init__(self, instances: list[ListedInstance], lag_ms: int) -> None:
        self._lag_ms = lag_ms
        self._snapshots = [ListSnapshot(0, instances)]

    def replace(self, instances: list[ListedInstance], now_ms: int) -> None:
        """Replace the list; the change is visible after the lag."""
        self._snapshots.append(ListSnapshot(now_ms + self._lag_ms, instances))

    def list_instances(self, now_ms: int) -> list[ListedInstance]:
        """Return the list that is visible at ``now_ms``."""
        while len(self._snapshots) > 1:
            if self._snapshots[1].visible_from_ms > now_ms:
                break
            self._snapshots.pop(0)
        return self._snapshots[0].instances
