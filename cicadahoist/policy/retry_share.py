"""Repeats that one instance may send, so that all together stay in bounds."""

from collections import deque

# Buckets in which a window is counted.
BUCKETS = 10
# The slack is split among more instances than are known, as some may come.
SPARE_INSTANCES = 2
# Share of the bound that is used: windows of instances do not line up.
USED_SHARE = 0.6


class RetryShare:
    """
    The own share of the repeats allowed at one service.

    :param share: repeats allowed for each request
    :param slack: repeats allowed beside, over all instances
    :param window_ms: span over which they are counted
    """

    __slots__ = ('_buckets', '_share', '_slack', '_width_ms')

    def __init__(self, share: float, slack: float, window_ms: int) -> None:
        self._share = share
        self._slack = slack
        self._width_ms = window_ms // BUCKETS
        self._buckets: deque[list[int]] = deque(maxlen=BUCKETS + 1)

    def requested(self, now_ms: int) -> None:
        """Count a request."""
        self._bucket(now_ms)[1] += 1

    def may_repeat(self, instances: int, now_ms: int) -> bool:
        """
        Take one repeat, or return false where none is left.

        :param instances: instances of the deployment
        """
        bucket = self._bucket(now_ms)
        recent = [
            entry for entry in self._buckets if bucket[0] - entry[0] <= BUCKETS
        ]
        requests = sum(entry[1] for entry in recent)
        repeats = sum(entry[2] for entry in recent)
        own_slack = self._slack / (instances + SPARE_INSTANCES)
        allowed = USED_SHARE * (self._share * requests + own_slack)
        if repeats + 1 > allowed:
            return False
        bucket[2] += 1
        return True

    def _bucket(self, now_ms: int) -> list[int]:
        number = now_ms // self._width_ms
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
