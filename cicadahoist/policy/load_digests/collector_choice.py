"""Chooses the collector of a zone, and replaces one that is silent."""

from collections.abc import Callable

import msgspec

# A collector sends a digest at least every 240 ms.
SILENT_MS = 500
# A silent collector is tried again after this time, which each failed trial
# doubles. A link that loses datagrams shall not cause changes all the time.
FIRST_RETRY_MS = 2000
MAX_RETRY_MS = 16_000


class _Suspension(msgspec.Struct):
    retry_ms: int
    begin_ms: int

    def is_trial(self, now_ms: int) -> bool:
        return now_ms >= self.begin_ms + self.retry_ms


class CollectorChoice:
    """
    The collector of one zone, as one instance sees it.

    There is no election. Each instance takes the first one in rank that is
    alive and answers it, so that two instances may disagree for a while.

    :param instance: name of this instance, which answers itself
    """

    __slots__ = (
        '_answered_ms_by_name',
        '_chosen_ms',
        '_instance',
        '_ranked',
        '_suspension_by_name',
        'chosen',
    )

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._ranked: list[str] = []
        self._suspension_by_name: dict[str, _Suspension] = {}
        self._answered_ms_by_name: dict[str, int] = {}
        self._chosen_ms = 0
        self.chosen: str | None = None

    def set_ranked(self, ranked: list[str]) -> None:
        """Replace the candidates, the best one first."""
        self._ranked = ranked
        for by_name in (self._suspension_by_name, self._answered_ms_by_name):
            for name in by_name.keys() - set(ranked):
                by_name.pop(name)

    def choose(
        self, is_alive: Callable[[str, int], bool], now_ms: int
    ) -> str | None:
        """
        Return the collector to use now, none if there is no candidate.

        :param is_alive: returns whether an instance is heard from
        """
        self._suspend_silent(now_ms)
        for name in self._ranked:
            if name == self._instance:
                return self._set_chosen(name, now_ms)
            if name not in self._suspension_by_name and is_alive(name, now_ms):
                return self._set_chosen(name, now_ms)
        return self._set_chosen(None, now_ms)

    def list_trials(self, now_ms: int) -> list[str]:
        """Return the suspended collectors that are being tried again."""
        trials: list[str] = []
        for name, suspension in self._suspension_by_name.items():
            if suspension.is_trial(now_ms):
                trials.append(name)
                if not suspension.is_trial(now_ms - SILENT_MS):
                    continue
                suspension.begin_ms = now_ms
                suspension.retry_ms = min(MAX_RETRY_MS, suspension.retry_ms * 2)
        return trials

    def record_answer(self, name: str, now_ms: int) -> None:
        """Record that a collector has answered this instance."""
        self._answered_ms_by_name[name] = now_ms
        suspension = self._suspension_by_name.get(name)
        if suspension is not None and suspension.is_trial(now_ms):
            self._suspension_by_name.pop(name)

    def record_indirect_answer(self, now_ms: int) -> None:
        """Record that the collector in use passes on what it is sent."""
        if self.chosen is not None:
            self._answered_ms_by_name[self.chosen] = now_ms

    def is_answered(self, now_ms: int) -> bool:
        """Return whether the collector in use has answered lately."""
        if self.chosen is None:
            return False
        answered_ms = self._answered_ms_by_name.get(self.chosen)
        return answered_ms is not None and now_ms - answered_ms <= SILENT_MS

    def _set_chosen(self, name: str | None, now_ms: int) -> str | None:
        if name != self.chosen:
            self.chosen = name
            self._chosen_ms = now_ms
        return name

    def _suspend_silent(self, now_ms: int) -> None:
        if self.chosen is None or self.chosen == self._instance:
            return
        answered_ms = self._answered_ms_by_name.get(self.chosen, 0)
        if now_ms - max(answered_ms, self._chosen_ms) > SILENT_MS:
            self._suspension_by_name[self.chosen] = _Suspension(
                FIRST_RETRY_MS, now_ms
            )
