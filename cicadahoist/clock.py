"""Time in milliseconds."""

import time
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as ManualTime

MS_PER_S = 1000
NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000


class Timer(Protocol):
    """Scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call."""

    def active(self) -> bool:
        """Return whether the call is still pending."""


class PromptCall:
    """
    A call that its clock makes at a timer, or earlier between pieces of work.

    :param due_ms: when it is due
    :param timer: timer that makes it
    :param action: the call
    """

    __slots__ = ('_action', '_timer', 'due_ms')

    def __init__(
        self, due_ms: float, timer: Timer, action: Callable[[], None]
    ) -> None:
        self.due_ms = due_ms
        self._timer = timer
        self._action: Callable[[], None] | None = action

    def __lt__(self, other: 'PromptCall') -> bool:
        return self.due_ms < other.due_ms

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self._timer.active()

    def cancel(self) -> None:
        """Cancel the call, which the clock may keep until it would be due."""
        self._timer.cancel()
        self._action = None

    def run(self) -> None:
        """Make the call, unless it was made or cancelled."""
        action = self._action
        if action is not None and self._timer.active():
            self.cancel()
            action()


class Clock:
    """
    Monotonic clock and scheduler in milliseconds.

    Readings come from ``CLOCK_BOOTTIME``, which also counts the time that an
    instance spends suspended. They have no relation to wall-clock time.

    :param scheduler: a twisted ``IReactorTime`` provider
    :param read_ms: returns the current reading
    """

    __slots__ = ('_prompt_calls', '_read_ms', '_scheduler')

    def __init__(self, scheduler: Any, read_ms: Callable[[], int]) -> None:
        self._scheduler = scheduler
        self._read_ms = read_ms
        self._prompt_calls: list[PromptCall] = []

    @classmethod
    def from_reactor(cls, reactor: Any) -> 'Clock':
        """Return a clock that reads time since boot."""
        return cls(reactor, read_boot_ms)

    @classmethod
    def manual(cls) -> 'Clock':
        """Return a clock that only :meth:`advance` moves, for tests."""
        scheduler = ManualTime()
        return cls(scheduler, lambda: round(scheduler.seconds() * MS_PER_S))

    @property
    def scheduler(self) -> Any:
        """The ``IReactorTime`` provider behind this clock."""
        return self._scheduler

    def now_ms(self) -> int:
        """Return the current reading."""
        return self._read_ms()

    def call_later(
        self, delay_ms: float, action: Callable[..., Any], *args: Any
    ) -> Timer:
        """Call ``action`` after ``delay_ms`` milliseconds."""
        delay_s = max(0, delay_ms) / MS_PER_S
        return self._scheduler.callLater(delay_s, action, *args)

    def call_promptly(
        self, delay_ms: float, action: Callable[[], None]
    ) -> PromptCall:
        """
        Call ``action`` after ``delay_ms``, also before input that waits.

        For what holds whatever may have arrived, as the end of a request by its
        deadline does; what concludes that nothing has arrived must wait.
        """
        timer = self.call_later(delay_ms, action)
        call = PromptCall(self.now_ms() + max(0, delay_ms), timer, action)
        heappush(self._prompt_calls, call)
        return call

    def run_prompt_calls(self) -> None:
        """Make the prompt calls that are due; for long work in pieces."""
        calls = self._prompt_calls
        while calls and calls[0].due_ms <= self.now_ms():
            heappop(calls).run()

    def sleep(self, delay_ms: float) -> 'Deferred[None]':
        """Return a deferred that fires after ``delay_ms`` milliseconds."""
        pause: Deferred[None] = Deferred(lambda _: timer.cancel())
        timer = self.call_later(delay_ms, pause.callback, None)
        return pause

    def advance(self, delay_ms: float) -> None:
        """Move a manual clock forward and run the calls that become due."""
        self._scheduler.advance(delay_ms / MS_PER_S)


def use_boot_time(reactor: Any) -> None:
    """
    Let the timers of a reactor follow the time since boot.

    Those of twisted follow the wall clock, so that a step of it would put off,
    or bring forward, all time limits. No timer may be pending.
    """
    reactor.seconds = lambda: (
        time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NS_PER_S
    )


def read_boot_ms() -> int:
    """Return the milliseconds since boot, including time spent suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


def wall_ms() -> int:
    """
    Return the wall-clock time in milliseconds since the Unix epoch.

    Only for billing windows and timestamps: the wall clock may jump.
    """
    return time.time_ns() // NS_PER_MS
