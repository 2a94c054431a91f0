"""
Pauses that targets ask for when they turn requests away.

A pause holds for this instance only, and for one process of the target.
"""

from collections.abc import Iterable

import msgspec

# Longer pauses are asked for by mistake: the target is left for the rest of the
# time that callers wait anyway.
MAX_PAUSE_MS = 60_000


class TargetLife(msgspec.Struct, frozen=True, array_like=True):
    """
    One process of a target.

    :param name: id of the target
    :param started_ms: wall-clock time of its start, 0 for unknown
    """

    name: str
    started_ms: int


class TargetPauses:
    """Targets that want no requests from this instance for a while."""

    __slots__ = ('_end_ms_by_life',)

    def __init__(self) -> None:
        self._end_ms_by_life: dict[TargetLife, int] = {}

    def record(self, life: TargetLife, pause_ms: int, now_ms: int) -> int:
        """
        Record a pause; an earlier one that ends later stays in force.

        :param pause_ms: length as the target stated it
        :return: length of the pause in force
        """
        self._drop_expired(now_ms)
        end_ms = now_ms + min(MAX_PAUSE_MS, max(0, pause_ms))
        end_ms = max(end_ms, self._end_ms_by_life.get(life, 0))
        self._end_ms_by_life[life] = end_ms
        return end_ms - now_ms

    def is_paused(self, life: TargetLife, now_ms: int) -> bool:
        """Return whether a target wants no requests now."""
        return self._end_ms_by_life.get(life, 0) > now_ms

    def compute_wait_ms(
        self, lives: Iterable[TargetLife], now_ms: int
    ) -> int | None:
        """
        Return the time until the first of some targets ends its pause.

        :return: none if one of them does not pause, or if there are none
        """
        ends_ms = [self._end_ms_by_life.get(life, 0) for life in lives]
        wait_ms = min(ends_ms, default=0) - now_ms
        return wait_ms if wait_ms > 0 else None

    def _drop_expired(self, now_ms: int) -> None:
        self._end_ms_by_life = {
            life: end_ms
            for life, end_ms in self._end_ms_by_life.items()
            if end_ms > now_ms
        }
