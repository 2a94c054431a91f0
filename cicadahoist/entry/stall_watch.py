"""
Detects attempts whose target has stopped making progress.

A silent target may be frozen or busy with a long prompt. The watch therefore
queries the state of the attempt on the target before it abandons the attempt.
"""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from cicadahoist.clock import Timer
from cicadahoist.entry.context import EntryContext
from cicadahoist.errors import CicadahoistError
from cicadahoist.table import Target

WORKING_STATES = frozenset(('queued', 'running'))


class StallWatch:
    """
    Watches one attempt.

    :param context: shared objects of the entry
    :param target: target of the attempt
    :param attempt: id of the attempt
    :param get_last_activity_ms: returns the time at which the attempt last
        received data
    :param on_stalled: called once, when the target no longer works on the
        attempt
    """

    __slots__ = (
        '_attempt',
        '_context',
        '_get_last_activity_ms',
        '_is_open',
        '_on_stalled',
        '_target',
        '_timer',
    )

    def __init__(
        self,
        context: EntryContext,
        target: Target,
        attempt: str,
        get_last_activity_ms: Callable[[], int],
        on_stalled: Callable[[], None],
    ) -> None:
        self._context = context
        self._target = target
        self._attempt = attempt
        self._get_last_activity_ms = get_last_activity_ms
        self._on_stalled = on_stalled
        self._is_open = True
        self._timer = self._schedule_check(context.stall_timeout_ms)

    def stop(self) -> None:
        """Stop watching."""
        self._is_open = False
        if self._timer.active():
            self._timer.cancel()

    def _schedule_check(self, delay_ms: float) -> Timer:
        return self._context.clock.call_later(delay_ms, self._check)

    def _check(self) -> None:
        timeout_ms = self._context.stall_timeout_ms
        silent_ms = self._context.clock.now_ms() - self._get_last_activity_ms()
        if silent_ms < timeout_ms:
            self._timer = self._schedule_check(timeout_ms - silent_ms)
        else:
            Deferred.fromCoroutine(self._probe())

    async def _probe(self) -> None:
        try:
            found = await self._context.engines.fetch_attempt_state(
                self._target, self._attempt
            )
        except CicadahoistError:
            is_working = False
        else:
            is_working = found.state in WORKING_STATES
        if not self._is_open:
            return
        if is_working:
            self._timer = self._schedule_check(self._context.stall_timeout_ms)
        else:
            self._is_open = False
            self._on_stalled()
