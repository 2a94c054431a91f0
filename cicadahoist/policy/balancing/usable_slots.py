"""Slots of targets that can be used, as their rejections show."""

# A target that has rejected a request gets one more at a time after this time.
# It is longer than a request takes, so that rejections stay few.
GROWTH_MS = 400


class UsableSlots:
    """
    Bounds on the open requests of targets that have rejected some.

    Slots may be taken by what the home does not see: requests granted by
    another home, or prompts that wait at an engine to be fetched.
    """

    __slots__ = ('_bound_by_target',)

    def __init__(self) -> None:
        # Open requests with which it has rejected one, and when.
        self._bound_by_target: dict[str, tuple[int, int]] = {}

    def record_rejection(
        self, target: str, open_count: int, now_ms: int
    ) -> None:
        """
        Record that a target has rejected a request.

        :param open_count: open requests there, without the rejected one
        """
        self._bound_by_target[target] = (max(1, open_count), now_ms)

    def compute_limit(self, target: str, slots: int, now_ms: int) -> int:
        """
        Return how many requests a target may have open.

        :param slots: its slots as listed
        """
        bound = self._bound_by_target.get(target)
        if bound is None:
            return slots
        limit = bound[0] + (now_ms - bound[1]) // GROWTH_MS
        if limit >= slots:
            self._bound_by_target.pop(target)
        return min(limit, slots)
