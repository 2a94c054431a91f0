"""One kernel timer for all leases that a process holds."""

from typing import Protocol


class KernelTimer(Protocol):
    """Ends the process at a deadline; see :class:`TermTimer`."""

    def arm(self, deadline_ms: int) -> None:
        """End the process at ``deadline_ms`` unless armed anew."""

    def disarm(self) -> None:
        """Stop the timer."""


class TermDeadlines:
    """
    Deadlines by lease; the kernel's timer follows the earliest.

    :param timer: the kernel's timer
    """

    __slots__ = ('_deadline_by_lease', '_timer')

    def __init__(self, timer: KernelTimer) -> None:
        self._timer = timer
        self._deadline_by_lease: dict[str, int] = {}

    def arm(self, lease: str, deadline_ms: int) -> None:
        """Set the deadline of a lease."""
        self._deadline_by_lease[lease] = deadline_ms
        self._timer.arm(min(self._deadline_by_lease.values()))

    def disarm(self, lease: str) -> None:
        """Drop the deadline of a lease that was given up."""
        self._deadline_by_lease.pop(lease, None)
        if self._deadline_by_lease:
            self._timer.arm(min(self._deadline_by_lease.values()))
        else:
            self._timer.disarm()
