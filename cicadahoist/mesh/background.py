"""Background loop of a task."""

from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock, Timer
from cicadahoist.log import get_logger

logger = get_logger(__name__)

RESTART_MS = 1000


class Background:
    """
    Repeats a step; an unexpected error delays the loop by ``RESTART_MS``.

    :param clock: time source
    :param step: does one piece of work, and sleeps until the next is due
    """

    __slots__ = (
        '_clock',
        '_current_run',
        '_restart_timer',
        '_step',
        'is_running',
    )

    def __init__(
        self, clock: Clock, step: Callable[[], Awaitable[None]]
    ) -> None:
        self.is_running = False
        self._clock = clock
        self._step = step
        self._current_run: Deferred[None] | None = None
        self._restart_timer: Timer | None = None

    def start(self) -> None:
        """Start the loop."""
        self.is_running = True
        self._current_run = Deferred.fromCoroutine(self._run())
        self._current_run.addErrback(self._on_error)

    def stop(self) -> None:
        """Cancel the current step, and end the loop."""
        self.is_running = False
        if self._restart_timer is not None and self._restart_timer.active():
            self._restart_timer.cancel()
        if self._current_run is not None:
            self._current_run.cancel()

    async def _run(self) -> None:
        while self.is_running:
            await self._step()

    def _on_error(self, failure: Any) -> None:
        if self.is_running:
            logger.error(
                'background task failed; restarting: {0}',
                failure.getTraceback(),
            )
            self._restart_timer = self._clock.call_later(RESTART_MS, self.start)
