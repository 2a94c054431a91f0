"""Requests to plain services."""

from cicadahoist.listings import Listing
from cicadahoist.reasons import Refusal, Retry
from cicadahoist.requests import AnswerMeaning, RepeatRule, SendOptions
from cicadahoist.serving.attempt import Attempt, AttemptEnd, AttemptOutcome
from cicadahoist.serving.event_stream import EventStream
from cicadahoist.serving.flow import (
    HTTP_BAD_GATEWAY,
    HTTP_SERVER_ERROR,
    MAX_CONNECT_FAILURES,
    STREAM_RETRY_AFTER_MS,
    Flow,
)

# A request takes some 100 ms, so that a busy service has a free slot again
# within this time.
BUSY_RETRY_AFTER_MS = 150
NO_TARGET_RETRY_AFTER_MS = 500
# Longest usual time to an answer: the longest specified job takes 450 ms.
PLAIN_SILENCE_MS = 450


class PlainFlow(Flow):
    """Handles one request to a plain service."""

    __slots__ = ()

    async def _serve(self) -> None:
        if not await self._binding.resolve():
            self._refuse(Refusal.stream_unknown, STREAM_RETRY_AFTER_MS)
        while self._is_awaited():
            listing = self._context.fleet.plain_targets.choose(
                self._service,
                self._request.attempt_id,
                set(self._tried_targets),
                self._context.clock.now_ms(),
                self._binding.version,
            )
            if listing is None:
                self._refuse(Refusal.no_target, NO_TARGET_RETRY_AFTER_MS)
                return
            sent_ms = self._context.true_time.now_ms()
            end = await self._send_to(listing)
            if end.outcome in {AttemptOutcome.answered, AttemptOutcome.lost}:
                self._count_run(sent_ms)
            self._process_end(listing, end)

    async def _send_to(self, listing: Listing) -> AttemptEnd:
        options = SendOptions(
            target=listing.name,
            workspace=self._workspace,
            resume_after=self._request.resume_after,
        )
        attempt = Attempt(
            self._context.dialect,
            self._request,
            listing,
            options,
            stream=EventStream.from_route(self._route),
        )
        plain_targets = self._context.fleet.plain_targets
        plain_targets.record_start(listing.name)
        try:
            return await self._run_attempt(attempt, PLAIN_SILENCE_MS)
        finally:
            plain_targets.record_end(listing.name)

    def _suspend_target(self, target: str) -> None:
        health = self._context.fleet.plain_targets.get_health(target)
        health.record_crash(self._context.clock.now_ms())

    def _process_end(self, listing: Listing, end: AttemptEnd) -> None:
        """Deliver, retry or fail after an attempt."""
        now_ms = self._context.clock.now_ms()
        health = self._context.fleet.plain_targets.get_health(listing.name)
        match end.outcome:
            case AttemptOutcome.unsent:
                health.record_crash(now_ms)
                if self._allowance.unreached_count >= MAX_CONNECT_FAILURES:
                    self._refuse(Refusal.no_target, NO_TARGET_RETRY_AFTER_MS)
            case AttemptOutcome.not_run:
                if self._allowance.try_spend_retry():
                    self._context.meters.count_retry(Retry.target_busy)
                else:
                    self._refuse(Refusal.limit_reached, BUSY_RETRY_AFTER_MS)
            case AttemptOutcome.answered:
                health.record_success()
                self._deliver_or_retry(listing, end)
            case AttemptOutcome.lost:
                health.record_failure(now_ms)
                self._retry_or_fail()

    def _deliver_or_retry(self, listing: Listing, end: AttemptEnd) -> None:
        head = end.head
        if head is None:
            return
        is_failure = (
            head.meaning is AnswerMeaning.failure
            and head.status >= HTTP_SERVER_ERROR
        )
        if (
            is_failure
            and self._is_repeatable
            and self._allowance.try_spend_retry()
        ):
            self._context.meters.count_retry(Retry.target_failed)
        else:
            self._binding.bind(listing.version)
            self._reply.deliver(head, end.body)

    def _retry_or_fail(self) -> None:
        if self._is_repeatable and self._allowance.try_spend_retry():
            self._context.meters.count_retry(Retry.stream_broken)
        else:
            self._reply.fail(HTTP_BAD_GATEWAY, Refusal.target_lost)

    @property
    def _is_repeatable(self) -> bool:
        return self._route.repeat is RepeatRule.repeatable
