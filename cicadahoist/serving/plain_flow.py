"""Requests to plain services."""

from cicadahoist.reasons import Refusal, Retry
from cicadahoist.requests import AnswerMeaning, RepeatRule, SendOptions
from cicadahoist.serving.attempt import Attempt, AttemptEnd, AttemptOutcome
from cicadahoist.serving.flow import HTTP_BAD_GATEWAY, Flow

# Work of some 100 ms each frees a place of a busy service within this time.
BUSY_RETURN_MS = 150
NO_TARGET_RETURN_MS = 500
# Targets that may be tried without a byte having left.
MOST_CONNECTS = 3


class PlainFlow(Flow):
    """One request to a plain service."""

    __slots__ = ('_connects', '_sends')

    async def _serve(self) -> None:
        self._sends = 0
        self._connects = 0
        tried: set[str] = set()
        while not self._is_over:
            listing = self._context.plain_target(
                self._service, self._request.attempt_id, tried
            )
            if listing is None:
                self._refuse(Refusal.no_target, NO_TARGET_RETURN_MS)
                return
            tried.add(listing.name)
            options = SendOptions(
                target=listing.name,
                workspace=self._workspace,
                left_ms=self._left_ms,
                resume_after=self._request.resume_after,
            )
            sent_ms = self._context.true_time.now_ms()
            self._context.opened(listing.name)
            try:
                end = await self._run(
                    Attempt(
                        self._context.dialect, self._request, listing, options
                    )
                )
            finally:
                self._context.closed(listing.name)
            self._judge(listing.name, end, sent_ms)

    def _judge(self, target: str, end: AttemptEnd, sent_ms: int) -> None:
        """Go on, deliver or give up after an attempt."""
        now_ms = self._context.clock.now_ms()
        health = self._context.health(target)
        match end.outcome:
            case AttemptOutcome.unsent:
                health.crashed(now_ms)
                self._connects += 1
                if self._connects >= MOST_CONNECTS:
                    self._refuse(Refusal.no_target, NO_TARGET_RETURN_MS)
            case AttemptOutcome.not_run:
                self._sends += 1
                self._after_rejection()
            case AttemptOutcome.answered:
                self._sends += 1
                self._count_run(sent_ms)
                health.succeeded()
                self._after_answer(end)
            case AttemptOutcome.lost:
                self._sends += 1
                self._count_run(sent_ms)
                health.failed(now_ms)
                self._after_loss()

    def _after_rejection(self) -> None:
        if self._may_repeat(self._sends):
            self._context.metrics.retried(Retry.target_busy)
        else:
            self._refuse(Refusal.limit_reached, BUSY_RETURN_MS)

    def _after_answer(self, end: AttemptEnd) -> None:
        head = end.head
        if head is None:
            return
        is_failure = head.meaning is AnswerMeaning.failure
        if is_failure and head.status >= HTTP_BAD_GATEWAY - 2:
            if self._is_repeatable and self._may_repeat(self._sends):
                self._context.metrics.retried(Retry.stream_broken)
                return
        self._deliver(head, end.body)

    def _after_loss(self) -> None:
        if self._is_repeatable and self._may_repeat(self._sends):
            self._context.metrics.retried(Retry.stream_broken)
        else:
            self._fail_request(HTTP_BAD_GATEWAY, Refusal.target_lost)

    @property
    def _is_repeatable(self) -> bool:
        return self._route.repeat is RepeatRule.repeatable
