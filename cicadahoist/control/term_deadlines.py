"""Shares one kernel timer among the leases that a process holds."""

from typing import Protocol


class KernelTimer(Protocol):
    """Ends the process at a deadline, such as :class:`TermTimer`."""

    def arm(self, deadline_ms: int) -> None:
        """Replace the deadline at which the process is ended."""

    def disarm(self) -> None:
        """Cancel the deadline."""


class TermDeadlines:
    """
    Arms the kernel timer for the earliest term end of all held leases.

    :param timer: ends the process at a deadline
    """

    __slots__ = ('_deadline_by_lease', '_timer')

    def __init__(self, timer: KernelTimer) -> None:
        self._timer = timer
        self._deadline_by_lease: dict[str, int] = {}

    def arm(self, lease: str, deadline_ms: int) -> None:
        """
        Set the deadline of a lease.

        :param lease: name of the lease
        :param deadline_ms: end of its term, on the clock of the process
        """
        self._deadline_by_lease[lease] = deadline_ms
        self._timer.arm(min(self._deadline_by_lease.values()))

    def disarm(self, lease: str) -> None:
        """Remove the deadline of a lease that is no longer held."""
        self._deadline_by_lease.pop(lease, None)
        if self._deadline_by_lease:
            self._timer.arm(min(self._deadline_by_lease.values()))
        else:
            self._timer.disarm()
