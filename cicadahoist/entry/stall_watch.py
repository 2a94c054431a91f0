"""
Detects attempts whose target has stopped making progress.

A silent target may be frozen or busy with a long prompt. The watch therefore
queries the state of the attempt on the target before it reports silence.
Data that arrive meanwhile count for more than the result of the query, and the
query may overtake the request itself, so that one negative result proves
nothing.
"""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.clock import Timer
from cicadahoist.entry.context import EntryContext
from cicadahoist.errors import CicadahoistError
from cicadahoist.log import get_logger
from cicadahoist.table import Target

logger = get_logger(__name__)

WORKING_STATES = frozenset(('queued', 'running'))
# Negative results in a row after which the target has lost the attempt.
LOST_AFTER_PROBES = 2


class StallWatch:
    """
    Watches one attempt.

    :param context: shared objects of the entry
    :param target: target of the attempt
    :param attempt: id of the attempt
    :param get_last_activity_ms: returns the time at which the attempt last
        received data
    :param on_silent: called each time the target is found silent
    :param on_lost: called once, when the target no longer works on the attempt
    """

    __slots__ = (
        '_attempt',
        '_context',
        '_found_silent_ms',
        '_get_last_activity_ms',
        '_is_open',
        '_negative_count',
        '_on_lost',
        '_on_silent',
        '_target',
        '_timer',
    )

    def __init__(
        self,
        context: EntryContext,
        target: Target,
        attempt: str,
        get_last_activity_ms: Callable[[], int],
        *,
        on_silent: Callable[[], None],
        on_lost: Callable[[], None],
    ) -> None:
        self._context = context
        self._target = target
        self._attempt = attempt
        self._get_last_activity_ms = get_last_activity_ms
        self._on_silent = on_silent
        self._on_lost = on_lost
        self._is_open = True
        self._negative_count = 0
        self._found_silent_ms: int | None = None
        self._timer = self._schedule_check(context.stall_timeout_ms)

    @property
    def is_silent(self) -> bool:
        """Whether the target was found silent and has sent nothing since."""
        if self._found_silent_ms is None:
            return False
        return self._get_last_activity_ms() <= self._found_silent_ms

    def stop(self) -> None:
        """Stop watching."""
        self._is_open = False
        if self._timer.active():
            self._timer.cancel()

    def _schedule_check(self, delay_ms: float) -> Timer:
        return self._context.clock.call_later(delay_ms, self._check)

    def _check(self) -> None:
        if not self.is_silent:
            self._negative_count = 0
        timeout_ms = self._context.stall_timeout_ms
        silent_ms = self._context.clock.now_ms() - self._get_last_activity_ms()
        if silent_ms < timeout_ms:
            self._timer = self._schedule_check(timeout_ms - silent_ms)
        else:
            Deferred.fromCoroutine(self._probe())

    async def _probe(self) -> None:
        asked_ms = self._context.clock.now_ms()
        try:
            found = await self._context.engines.fetch_attempt_state(
                self._target, self._attempt
            )
        except (CicadahoistError, msgspec.MsgspecError) as error:
            logger.bind(target=self._target.name).info(
                'state of a silent attempt not known: {0}', error
            )
            self._found_silent_ms = asked_ms
        else:
            self._record_state(found.state, asked_ms)
        if not self._is_open:
            return
        is_silent = self.is_silent
        if is_silent and self._negative_count >= LOST_AFTER_PROBES:
            self._is_open = False
            self._on_lost()
            return
        self._timer = self._schedule_check(self._context.stall_timeout_ms)
        if is_silent:
            self._on_silent()

    def _record_state(self, state: str, asked_ms: int) -> None:
        if state in WORKING_STATES:
            self._negative_count = 0
            self._found_silent_ms = None
        else:
            self._negative_count += 1
            self._found_silent_ms = asked_ms
