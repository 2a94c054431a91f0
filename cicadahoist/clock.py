"""Time in milliseconds."""

import time
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as ManualTime

MS_PER_S = 1000
NS_PER_MS = 1_000_000


class Timer(Protocol):
    """A scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call."""

    def active(self) -> bool:
        """Tell whether the call is still to come."""


class Clock:
    """
    Reads and schedules time in milliseconds.

    Readings come from ``CLOCK_BOOTTIME``, which also counts the time that an
    instance spends suspended. They have no relation to wall-clock time.

    :param scheduler: a twisted ``IReactorTime`` provider
    :param read_ms: returns the current reading in milliseconds
    """

    __slots__ = ('_read_ms', '_scheduler')

    def __init__(self, scheduler: Any, read_ms: Callable[[], int]) -> None:
        self._scheduler = scheduler
        self._read_ms = read_ms

    @classmethod
    def from_reactor(cls, reactor: Any) -> 'Clock':
        """Return a clock that follows the instance's own time."""
        return cls(reactor, read_boot_ms)

    @classmethod
    def manual(cls) -> 'Clock':
        """Return a clock that stands still until :meth:`advance` is called."""
        scheduler = ManualTime()
        return cls(scheduler, lambda: round(scheduler.seconds() * MS_PER_S))

    @property
    def scheduler(self) -> Any:
        """The ``IReactorTime`` provider behind this clock."""
        return self._scheduler

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return self._read_ms()

    def call_later(
        self, delay_ms: float, action: Callable[..., Any], *args: Any
    ) -> Timer:
        """Call ``action`` after ``delay_ms`` milliseconds."""
        delay_s = max(0, delay_ms) / MS_PER_S
        return self._scheduler.callLater(delay_s, action, *args)

    def sleep(self, delay_ms: float) -> 'Deferred[None]':
        """Return a deferred that fires after ``delay_ms`` milliseconds."""
        pause: Deferred[None] = Deferred(lambda _: timer.cancel())
        timer = self.call_later(delay_ms, pause.callback, None)
        return pause

    def advance(self, delay_ms: float) -> None:
        """Move a manual clock forward, running what becomes due."""
        self._scheduler.advance(delay_ms / MS_PER_S)


def read_boot_ms() -> int:
    """Return the milliseconds since boot, time spent suspended included."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


def wall_ms() -> int:
    """Return milliseconds since the epoch; only for billing windows."""
    return time.time_ns() // NS_PER_MS
