"""
Memory that an instance spends on its callers.

One budget counts the bytes of all bodies and answers that are held: they are
taken before they are read, and given back when nothing holds them any more.
"""

from collections.abc import Callable

from cicadahoist.rules import CallerLimits

BYTES_PER_MB = 1_048_576
# Memory of a process without callers, 96 MiB: it includes the state of a large
# fleet.
PROCESS_BYTES = 100_663_296
# Held bytes may be copied once, into the buffer of a socket.
COPIES = 2
# Bodies up to this size may use the whole budget, larger ones not the part that
# is reserved: many large ones then leave room for the others.
SMALL_BYTES = 65_536
RESERVED_SHARE = 0.25
# A large holder that waits for its caller may be dropped for another one if
# nothing of it has arrived or left for this time.
STALL_MS = 1000


class HeldBytes:
    """
    Bytes that are held for one purpose.

    :param budget: where they are taken from
    """

    __slots__ = ('_budget', '_holders', 'count', 'progress_ms')

    def __init__(self, budget: 'MemoryBudget') -> None:
        self._budget = budget
        self._holders = 1
        self.count = 0
        # When a byte arrived or left the last time.
        self.progress_ms = 0

    def try_grow(self, count: int) -> bool:
        """Take more bytes; return whether there is room for them."""
        self.record_progress()
        return self._budget.try_take(self, count)

    def grow(self, count: int) -> None:
        """Take bytes for which another holder has just made room."""
        self.record_progress()
        self._budget.take(self, count)

    def record_progress(self) -> None:
        """Record that a byte has arrived or left."""
        self.progress_ms = self._budget.read_ms()

    def share(self) -> 'HeldBytes':
        """Add a holder; the bytes are given back by the last one."""
        self._holders += 1
        return self

    def release(self) -> None:
        """Give the bytes back if no other holder is left."""
        self._holders -= 1
        if not self._holders:
            self._budget.give_back(self)

    def wait_for_caller(self, drop: Callable[[], None]) -> None:
        """
        Let the bytes be dropped while they wait for their caller.

        :param drop: ends the wait, and releases the bytes
        """
        self._budget.add_waiting(self, drop)

    def end_wait(self) -> None:
        """Keep the bytes whatever others need."""
        self._budget.remove_waiting(self)


class MemoryBudget:
    """
    Bound on the bytes that are held for callers.

    Where nothing else is held, any body may be: its size has a limit of its
    own.

    :param read_ms: returns the reading of the clock
    :param bound_bytes: the bound, none for no bound
    """

    __slots__ = ('_bound_bytes', '_drop_by_waiting', 'held_bytes', 'read_ms')

    def __init__(
        self, read_ms: Callable[[], int], bound_bytes: int | None = None
    ) -> None:
        self.read_ms = read_ms
        self._bound_bytes = bound_bytes
        self._drop_by_waiting: dict[HeldBytes, Callable[[], None]] = {}
        self.held_bytes = 0

    @classmethod
    def from_memory_mb(
        cls, read_ms: Callable[[], int], memory_mb: float | None
    ) -> 'MemoryBudget':
        """
        Return the budget of a process.

        :param memory_mb: memory limit of the process, none for no limit
        """
        if memory_mb is None:
            return cls(read_ms)
        free_bytes = memory_mb * BYTES_PER_MB - PROCESS_BYTES
        least_bytes = CallerLimits().body_bytes / (1 - RESERVED_SHARE)
        return cls(read_ms, round(max(least_bytes, free_bytes / COPIES)))

    def open(self) -> HeldBytes:
        """Return a holder that holds nothing yet."""
        return HeldBytes(self)

    def try_take(self, held: HeldBytes, count: int) -> bool:
        """
        Take bytes, if need be from holders that wait for stalled callers.

        :return: whether there is room for them
        """
        if not self._has_room(held, count):
            self._drop_stalled(held, count)
        if not self._has_room(held, count):
            return False
        self.take(held, count)
        return True

    def take(self, held: HeldBytes, count: int) -> None:
        """Take bytes whether or not there is room for them."""
        held.count += count
        self.held_bytes += count

    def give_back(self, held: HeldBytes) -> None:
        """Give back all bytes of a holder."""
        self._drop_by_waiting.pop(held, None)
        self.held_bytes -= held.count
        held.count = 0

    def add_waiting(self, held: HeldBytes, drop: Callable[[], None]) -> None:
        """Record that a holder waits for its caller."""
        self._drop_by_waiting[held] = drop

    def remove_waiting(self, held: HeldBytes) -> None:
        """Record that a holder no longer waits for its caller."""
        self._drop_by_waiting.pop(held, None)

    def _has_room(self, held: HeldBytes, count: int) -> bool:
        if self._bound_bytes is None or self.held_bytes == held.count:
            return True
        bound_bytes = float(self._bound_bytes)
        if held.count + count > SMALL_BYTES:
            bound_bytes *= 1 - RESERVED_SHARE
        return self.held_bytes + count <= bound_bytes

    def _drop_stalled(self, held: HeldBytes, count: int) -> None:
        """Drop large holders whose callers stall, the longest first."""
        now_ms = self.read_ms()
        stalled = [
            one
            for one in self._drop_by_waiting
            if one is not held
            and one.count > SMALL_BYTES
            and now_ms - one.progress_ms >= STALL_MS
        ]
        stalled.sort(key=_get_progress_ms)
        for one in stalled:
            if self._has_room(held, count):
                return
            drop = self._drop_by_waiting.pop(one, None)
            if drop is not None:
                drop()


def _get_progress_ms(held: HeldBytes) -> int:
    return held.progress_ms
