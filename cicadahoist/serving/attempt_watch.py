"""Runs attempts, and leaves targets that fall silent under them."""

from collections.abc import Callable
from functools import partial

import msgspec

from cicadahoist.serving.attempt import Attempt, AttemptEnd
from cicadahoist.serving.context import ServingContext

# A timer that fires so late tells of a pause of this process: answers may have
# arrived meanwhile that are not read yet.
OWN_PAUSE_MS = 100

MayLeave = Callable[[], bool]


class AttemptWatch:
    """
    Runs attempts under the watch of their targets' signs of life.

    :param context: shared parts of the data path
    """

    __slots__ = ('_answers', '_clock', '_connections')

    def __init__(self, context: ServingContext) -> None:
        self._answers = context.fleet.answers
        self._clock = context.clock
        self._connections = context.fleet.connections

    async def run(
        self,
        attempt: Attempt,
        silence_ms: float,
        may_leave: MayLeave | None = None,
    ) -> AttemptEnd:
        """
        Run an attempt to its end.

        :param silence_ms: time after which the target should have been heard
        :param may_leave: asked when the target is silent; none where the
            request has to stay with it
        """
        name = attempt.listing.name
        number = self._answers.record_start(
            name, silence_ms, self._clock.now_ms()
        )
        attempt.on_heard = partial(self._heard, name)
        if may_leave is not None:
            self._check_later(attempt, round(silence_ms), may_leave)
        try:
            end = await attempt.run(self._connections)
        finally:
            is_silent = self._answers.is_silent(name, self._clock.now_ms())
            self._answers.record_end(name, number)
        return msgspec.structs.replace(end, is_silent=is_silent)

    def _heard(self, target: str) -> None:
        self._answers.record_activity(target, self._clock.now_ms())

    def _check_later(
        self, attempt: Attempt, wait_ms: int, may_leave: MayLeave
    ) -> None:
        due_ms = self._clock.now_ms() + wait_ms
        self._clock.call_later(
            wait_ms, self._check, attempt, wait_ms, may_leave, due_ms
        )

    def _check(
        self,
        attempt: Attempt,
        wait_ms: int,
        may_leave: MayLeave,
        due_ms: int,
    ) -> None:
        if attempt.is_over:
            return
        now_ms = self._clock.now_ms()
        was_paused = now_ms - due_ms > OWN_PAUSE_MS
        is_silent = self._answers.is_silent(attempt.listing.name, now_ms)
        if is_silent and not was_paused and may_leave():
            attempt.give_up()
        else:
            self._check_later(attempt, wait_ms, may_leave)
