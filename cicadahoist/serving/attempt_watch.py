"""Runs attempts, and reports targets that fall silent during them."""

from collections.abc import Callable
from functools import partial

import msgspec

from cicadahoist.serving.attempt import Attempt, AttemptEnd
from cicadahoist.serving.context import ServingContext

# A timer that fires this late shows that this process was paused: answers may
# have arrived meanwhile that are not read yet.
PROCESS_PAUSE_MS = 100

OnSilence = Callable[[], None]


class AttemptWatch:
    """
    Runs attempts and watches their targets for signs of life.

    :param context: shared parts of the data path
    """

    __slots__ = ('_answer_watch', '_clock', '_connections')

    def __init__(self, context: ServingContext) -> None:
        self._answer_watch = context.fleet.answer_watch
        self._clock = context.clock
        self._connections = context.fleet.connections

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
        attempt.on_activity = partial(self._record_activity, name, activity)
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
        silent_ms = self._clock.now_ms() - activity.last_ms
        return msgspec.structs.replace(
            end, is_silent=is_silent, silent_ms=silent_ms
        )

    def _record_activity(self, target: str, activity: '_Activity') -> None:
        activity.last_ms = self._clock.now_ms()
        self._answer_watch.record_activity(target, activity.last_ms)

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
        is_silent = self._answer_watch.is_silent(attempt.listing.name, now_ms)
        if is_silent and not was_paused and not attempt.is_paused:
            on_silence()
        if not attempt.is_over:
            self._schedule_check(attempt, wait_ms, on_silence)


class _Activity:
    """
    The latest activity of one attempt.

    :param last_ms: when the target last sent bytes, at first the start
    """

    __slots__ = ('last_ms',)

    def __init__(self, last_ms: int) -> None:
        self.last_ms = last_ms
