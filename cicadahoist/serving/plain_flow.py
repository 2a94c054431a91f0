"""Requests to plain services."""

from cicadahoist.listings import Listing
from cicadahoist.policy.stream_continuity.answer_check import AnswerCheck
from cicadahoist.reasons import Refusal, Retry
from cicadahoist.requests import RepeatRule, SendOptions
from cicadahoist.serving.attempt import Attempt, AttemptEnd, AttemptOutcome
from cicadahoist.serving.attempt_results import (
    has_failed,
    has_sent_junk,
    is_final,
)
from cicadahoist.serving.event_stream import EventStream
from cicadahoist.serving.flow import (
    HTTP_BAD_GATEWAY,
    MAX_CONNECT_FAILURES,
    NO_TARGET_RETRY_AFTER_MS,
    STREAM_RETRY_AFTER_MS,
    Flow,
    explain_no_target,
    launch,
)
from cicadahoist.serving.request_slots import SlotGrant

# A request takes some 100 ms, so that a busy service has a free slot again
# within this time.
BUSY_RETRY_AFTER_MS = 150
# Longest usual time to an answer: the longest specified job takes 450 ms.
PLAIN_SILENCE_MS = 450


class PlainFlow(Flow):
    """Handles one request to a plain service."""

    __slots__ = ()

    async def _serve(self) -> None:
        if not await self._binding.resolve():
            self._refuse(Refusal.stream_unknown, STREAM_RETRY_AFTER_MS)
        await self._serve_at(await self._place())

    async def _serve_at(self, listing: Listing | None) -> None:
        """Send attempts, the first one to a chosen target."""
        while listing is not None:
            grant = await self._ask_slot(listing)
            if not self._slots.may_send(grant):
                return
            listing = await self._find_granted(grant)
            if listing is None:
                self._slots.end(grant, None)
                return
            sent_ms = self._context.true_time.now_ms()
            end = await self._send_to(listing)
            self._slots.end(grant, end)
            if end.outcome in {AttemptOutcome.answered, AttemptOutcome.lost}:
                self._count_run(sent_ms)
            if end.outcome is AttemptOutcome.answered:
                await self._record_wait.wait_until_admitted(listing.version)
            goes_on = self._process_end(listing, end)
            listing = await self._place() if goes_on else None

    async def _ask_slot(self, listing: Listing) -> SlotGrant:
        """
        Ask for a slot where they are few.

        An attempt beside a silent one goes where it was decided.
        """
        if self._open_attempts or not self._slots.is_needed:
            return SlotGrant(listing.name)
        return await self._slots.ask(
            self._service,
            listing.name,
            self._context.fleet.plain_targets.list_candidates(
                self._service,
                frozenset(self._excluded_targets),
                self._context.clock.now_ms(),
                self._binding.version,
                self._binding.list_barred(),
            ),
            self._context.fleet.balances.hold_times.get_hold_ms(self._service),
        )

    async def _find_granted(self, grant: SlotGrant) -> Listing | None:
        """
        Return the target of a grant, or another one if it has begun to leave.

        :return: none if there is no other one
        """
        listings = self._context.fleet.directory.list_usable(self._service)
        by_name = {listing.name: listing for listing in listings}
        return by_name.get(grant.target) or await self._place()

    async def _place(self) -> Listing | None:
        """Return where to run, none if the request is over or is refused."""
        if not self._is_awaited():
            return None
        listing = await self._record_wait.choose(self._choose)
        if not self._is_awaited():
            return None
        if listing is None:
            pause_ms = self._context.fleet.plain_targets.compute_pause_ms(
                self._service, self._context.clock.now_ms()
            )
            is_unrecorded = bool(self._binding.list_barred())
            self._refuse(
                *explain_no_target(pause_ms, is_unrecorded=is_unrecorded)
            )
        return listing

    def _choose(self) -> Listing | None:
        return self._context.fleet.plain_targets.choose(
            self._service,
            self._request.attempt_id,
            frozenset(self._excluded_targets),
            self._context.clock.now_ms(),
            self._binding.version,
            self._binding.list_barred(),
        )

    def _try_take_over(self) -> bool:
        listing = self._choose()
        if listing is None or not self._context.fleet.plain_targets.is_sound(
            listing.name, self._context.clock.now_ms()
        ):
            return False
        if not self._allowance.try_spend_retry():
            return False
        launch(self._serve_at(listing), self.fail_on_defect)
        return True

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
            stream=EventStream.from_route(
                self._route, AnswerCheck(options.resume_after)
            ),
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

    def _process_end(self, listing: Listing, end: AttemptEnd) -> bool:
        """
        Deliver, retry or fail after an attempt.

        :return: false if another attempt decides how the request goes on
        """
        self._record_failure(listing.name, end)
        if is_final(end):
            self._open_attempts.stop_all()
        elif self._takeover.is_left_to_other(end):
            return False
        match end.outcome:
            case AttemptOutcome.unsent:
                if self._allowance.unreached_count >= MAX_CONNECT_FAILURES:
                    self._refuse(Refusal.no_target, NO_TARGET_RETRY_AFTER_MS)
            case AttemptOutcome.not_run:
                if self._allowance.try_spend_retry():
                    self._context.meters.count_retry(Retry.target_busy)
                else:
                    self._refuse(Refusal.limit_reached, BUSY_RETRY_AFTER_MS)
            case AttemptOutcome.answered:
                self._context.fleet.plain_targets.record_answer(
                    listing.name,
                    self._context.clock.now_ms(),
                    is_failure=not is_final(end),
                )
                self._deliver_or_retry(listing, end)
            case AttemptOutcome.lost:
                self._retry_or_fail()
        return True

    def _record_failure(self, target: str, end: AttemptEnd) -> None:
        """Record what an attempt without an answer shows of its target."""
        now_ms = self._context.clock.now_ms()
        plain_targets = self._context.fleet.plain_targets
        health = plain_targets.get_health(target)
        if end.outcome is AttemptOutcome.unsent:
            health.record_crash(now_ms)
        elif has_failed(end):
            health.record_failure(now_ms)
        if has_sent_junk(end):
            plain_targets.record_answer(
                target, now_ms, is_failure=True, is_whole=False
            )

    def _deliver_or_retry(self, listing: Listing, end: AttemptEnd) -> None:
        head = end.head
        if head is None:
            return
        if (
            not is_final(end)
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
