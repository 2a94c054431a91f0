"""Distinguishes targets that hang from targets that are busy."""

import msgspec


class _OpenAttempt(msgspec.Struct, frozen=True):
    sent_ms: int
    silence_bound_ms: float


class _TargetActivity:
    """Open attempts at one target, oldest first, and its latest activity."""

    __slots__ = ('last_activity_ms', 'open_attempts_by_number')

    def __init__(self) -> None:
        self.last_activity_ms: int | None = None
        self.open_attempts_by_number: dict[int, _OpenAttempt] = {}


class AnswerWatch:
    """
    Watches the responses to all open attempts of this instance.

    A busy target still sends some bytes for one of its requests. A target that
    has sent nothing for the silence bound of its oldest open attempt hangs.
    """

    __slots__ = ('_activity_by_target', '_last_number')

    def __init__(self) -> None:
        self._activity_by_target: dict[str, _TargetActivity] = {}
        self._last_number = 0

    def record_start(
        self, target: str, silence_bound_ms: float, now_ms: int
    ) -> int:
        """
        Record the start of an attempt.

        :param silence_bound_ms: time without bytes from the target after which
            it counts as silent
        :return: number of the attempt, for :meth:`record_end`
        """
        self._last_number += 1
        activity = self._activity_by_target.setdefault(
            target, _TargetActivity()
        )
        activity.open_attempts_by_number[self._last_number] = _OpenAttempt(
            now_ms, silence_bound_ms
        )
        return self._last_number

    def record_activity(self, target: str, now_ms: int) -> None:
        """Record that a target sent bytes of a response."""
        activity = self._activity_by_target.get(target)
        if activity is not None:
            activity.last_activity_ms = now_ms

    def record_unread(self, target: str, number: int, now_ms: int) -> None:
        """Record that this instance does not read the answer to an attempt."""
        activity = self._activity_by_target.get(target)
        if activity is None:
            return
        attempt = activity.open_attempts_by_number.pop(number, None)
        if attempt is not None:
            # Oldest first: its silence can be judged from now on.
            activity.open_attempts_by_number[number] = msgspec.structs.replace(
                attempt, sent_ms=now_ms
            )

    def record_end(self, target: str, number: int) -> None:
        """Record the end of an attempt."""
        activity = self._activity_by_target.get(target)
        if activity is not None:
            activity.open_attempts_by_number.pop(number, None)

    def release(self, target: str) -> None:
        """
        Judge a target by later attempts only.

        The open ones use a path that is down, and show nothing about it.
        """
        activity = self._activity_by_target.get(target)
        if activity is not None:
            activity.open_attempts_by_number.clear()

    def is_silent(self, target: str, now_ms: int) -> bool:
        """Return whether a target with open attempts is silent."""
        activity = self._activity_by_target.get(target)
        if activity is None or not activity.open_attempts_by_number:
            return False
        oldest = next(iter(activity.open_attempts_by_number.values()))
        since_ms = max(oldest.sent_ms, activity.last_activity_ms or 0)
        return now_ms - since_ms >= oldest.silence_bound_ms

    def has_answered_since(self, target: str, since_ms: int) -> bool:
        """Return whether a target has sent bytes after a time."""
        activity = self._activity_by_target.get(target)
        if activity is None or activity.last_activity_ms is None:
            return False
        return activity.last_activity_ms > since_ms

    def retain(self, target_names: set[str]) -> None:
        """Drop all other targets that have no open attempts."""
        for name, activity in list(self._activity_by_target.items()):
            if (
                name not in target_names
                and not activity.open_attempts_by_number
            ):
                self._activity_by_target.pop(name)
