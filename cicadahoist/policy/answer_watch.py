"""Tells targets that have fallen silent from targets that are busy."""

import msgspec


class _Open(msgspec.Struct, frozen=True):
    sent_ms: int
    bound_ms: float


class _Target:
    """Open attempts at one target, the oldest first, and when it was heard."""

    __slots__ = ('heard_ms', 'open_by_number')

    def __init__(self) -> None:
        self.heard_ms: int | None = None
        self.open_by_number: dict[int, _Open] = {}


class AnswerWatch:
    """
    Open attempts of this instance at all targets.

    A busy target answers something now and then. One that has said nothing
    for longer than its oldest attempt may take has stopped working.
    """

    __slots__ = ('_by_target', '_number')

    def __init__(self) -> None:
        self._by_target: dict[str, _Target] = {}
        self._number = 0

    def sent(self, target: str, bound_ms: float, now_ms: int) -> int:
        """
        Count an attempt as open.

        :param bound_ms: longest wait for a sign of life that is in order
        :return: number of the attempt
        """
        self._number += 1
        watched = self._by_target.setdefault(target, _Target())
        watched.open_by_number[self._number] = _Open(now_ms, bound_ms)
        return self._number

    def heard(self, target: str, now_ms: int) -> None:
        """Take note of bytes of an answer."""
        watched = self._by_target.get(target)
        if watched is not None:
            watched.heard_ms = now_ms

    def ended(self, target: str, number: int) -> None:
        """Count an attempt as ended."""
        watched = self._by_target.get(target)
        if watched is not None:
            watched.open_by_number.pop(number, None)

    def is_silent(self, target: str, now_ms: int) -> bool:
        """Tell whether a target that is asked says nothing."""
        watched = self._by_target.get(target)
        if watched is None or not watched.open_by_number:
            return False
        oldest = next(iter(watched.open_by_number.values()))
        since_ms = max(oldest.sent_ms, watched.heard_ms or 0)
        return now_ms - since_ms >= oldest.bound_ms

    def was_heard_since(self, target: str, since_ms: int) -> bool:
        """Tell whether a target has said anything after a time."""
        watched = self._by_target.get(target)
        if watched is None or watched.heard_ms is None:
            return False
        return watched.heard_ms > since_ms

    def retain(self, names: set[str]) -> None:
        """Forget all other targets that have no open attempts."""
        for name, watched in list(self._by_target.items()):
            if name not in names and not watched.open_by_number:
                self._by_target.pop(name)
