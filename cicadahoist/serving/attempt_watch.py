"""Runs attempts, and reports targets that fall silent during them."""

from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.log import get_logger
from cicadahoist.serving.attempt import Attempt, AttemptEnd, AttemptOutcome
from cicadahoist.serving.attempt_results import has_sent_junk
from cicadahoist.serving.context import ServingContext

logger = get_logger(__name__)

# A timer that fires this late shows that this process was paused: answers may
# have arrived meanwhile that are not read yet.
PROCESS_PAUSE_MS = 100
# The reaction to a silent target waits this long for the test of its path, in
# which a peer gets time to reach the target.
PATH_TEST_MS = 150

OnSilence = Callable[[], None]


class AttemptWatch:
    """
    Runs attempts and watches their targets for signs of life.

    :param context: shared parts of the data path
    """

    __slots__ = ('_answer_watch', '_clock', '_connections', '_paths')

    def __init__(self, context: ServingContext) -> None:
        self._answer_watch = context.fleet.answer_watch
        self._clock = context.clock
        self._connections = context.fleet.connections
        self._paths = context.fleet.paths

    async def run(
        self,
        attempt: Attempt,
        silence_ms: float,
        on_silence: OnSilence | None = None,
    ) -> AttemptEnd:
        """
        Run an attempt to its end.

        :param attempt: the attempt, not yet sent
        :param silence_ms: time without a sign of life after which the target
            counts as silent
        :param on_silence: called repeatedly while the target is silent; none if
            the attempt must stay with the target
        :return: the end of the attempt
        """
        name = attempt.listing.name
        attempt_number = self._answer_watch.record_start(
            name, silence_ms, self._clock.now_ms()
        )
        activity = _Activity(self._clock.now_ms())
        attempt.on_activity = partial(self._record_activity, attempt, activity)
        attempt.on_unread = partial(
            self._answer_watch.record_unread, name, attempt_number
        )
        if on_silence is not None:
            self._schedule_check(attempt, round(silence_ms), on_silence)
        try:
            end = await attempt.run(self._connections)
        finally:
            is_silent = self._answer_watch.is_silent(name, self._clock.now_ms())
            self._answer_watch.record_end(name, attempt_number)
        is_lost = end.outcome is AttemptOutcome.lost
        is_relayed = attempt.is_sent and not attempt.is_direct
        if is_lost and attempt.is_direct:
            self._launch(self._connections.test_path(attempt.listing, 0))
        is_bypassed = self._paths.get(name).is_bypassed
        is_stranded = is_lost if is_relayed else is_bypassed
        return msgspec.structs.replace(
            end,
            is_silent=is_silent,
            is_stranded=is_stranded and not has_sent_junk(end),
            is_relayed=is_relayed,
            silent_ms=self._clock.now_ms() - activity.last_ms,
        )

    def _record_activity(self, attempt: Attempt, activity: '_Activity') -> None:
        activity.last_ms = self._clock.now_ms()
        attempt.is_stranded = False
        self._answer_watch.record_activity(
            attempt.listing.name, activity.last_ms
        )

    def _schedule_check(
        self, attempt: Attempt, wait_ms: int, on_silence: OnSilence
    ) -> None:
        due_ms = self._clock.now_ms() + wait_ms
        self._clock.call_later(
            wait_ms, self._check, attempt, wait_ms, on_silence, due_ms
        )

    def _check(
        self,
        attempt: Attempt,
        wait_ms: int,
        on_silence: OnSilence,
        due_ms: int,
    ) -> None:
        if attempt.is_over:
            return
        now_ms = self._clock.now_ms()
        if attempt.is_paused:
            # Other attempts show whether the target is silent.
            attempt.on_unread(now_ms)
        was_paused = now_ms - due_ms > PROCESS_PAUSE_MS
        may_react = not was_paused and not attempt.is_paused
        if may_react and self._is_silent(attempt):
            self._launch(self._react(attempt, on_silence))
        if not attempt.is_over:
            self._schedule_check(attempt, wait_ms, on_silence)

    def _is_silent(self, attempt: Attempt) -> bool:
        """Return whether nothing arrives from the target of an attempt."""
        name = attempt.listing.name
        if attempt.is_direct and self._paths.get(name).is_hanging:
            attempt.is_stranded = True
        return attempt.is_stranded or self._answer_watch.is_silent(
            name, self._clock.now_ms()
        )

    async def _react(self, attempt: Attempt, on_silence: OnSilence) -> None:
        """Test the path to a silent target, then react if it still is."""
        tested: Deferred[None] = Deferred()
        testing = self._launch(self._connections.test_path(attempt.listing))
        testing.addBoth(_fire_once, tested)
        timer = self._clock.call_later(PATH_TEST_MS, _fire_once, None, tested)
        await tested
        if timer.active():
            timer.cancel()
        if not attempt.is_over and self._is_silent(attempt):
            on_silence()

    def _launch(self, work: Coroutine[Any, Any, None]) -> 'Deferred[None]':
        return Deferred.fromCoroutine(work).addErrback(_log_defect)


def _fire_once(outcome: Any, tested: 'Deferred[None]') -> None:
    if not tested.called:
        tested.callback(None)


def _log_defect(failure: Any) -> None:
    logger.error(
        'watching an attempt raised an unexpected error: {0}',
        failure.getTraceback(),
    )


class _Activity:
    """
    The latest activity of one attempt.

    :param last_ms: when the target last sent bytes, at first the start
    """

    __slots__ = ('last_ms',)

    def __init__(self, last_ms: int) -> None:
        self.last_ms = last_ms
