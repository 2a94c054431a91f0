"""Requests to engines, which may split prefill and decode between two."""

from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.errors import TargetError, WireError
from cicadahoist.log import get_logger
from cicadahoist.policy.engine_board import EngineState
from cicadahoist.policy.patience import compute_silence_bound_ms
from cicadahoist.policy.placement import (
    Placement,
    compute_engine_urgency,
    estimate_kv_tokens,
)
from cicadahoist.policy.stream_continuity.answer_check import AnswerCheck
from cicadahoist.policy.stream_continuity.caller_stream import CallerStream
from cicadahoist.reasons import Refusal, Retry
from cicadahoist.requests import (
    AnswerHead,
    AnswerMeaning,
    Handle,
    ModelWork,
    RepeatRule,
    SendOptions,
)
from cicadahoist.serving.attempt import (
    Attempt,
    AttemptEnd,
    AttemptOutcome,
)
from cicadahoist.serving.attempt_results import has_failed, is_final
from cicadahoist.serving.engine_choice import Choice, EngineChoice
from cicadahoist.serving.engine_feedback import EngineFeedback
from cicadahoist.serving.engine_slots import EngineGrant, EngineSlots
from cicadahoist.serving.event_stream import EventStream
from cicadahoist.serving.flow import (
    MAX_CONNECT_FAILURES,
    NO_TARGET_RETRY_AFTER_MS,
    STREAM_RETRY_AFTER_MS,
    Flow,
    explain_no_target,
    launch,
)
from cicadahoist.serving.held_events import HeldEvents
from cicadahoist.serving.prompt_watch import PromptWatch

logger = get_logger(__name__)

# A held part stays held for minutes.
PART_HELD_RETRY_AFTER_MS = 10_000
BUSY_RETRY_AFTER_MS = 100

FreeHandle = Callable[[Handle], Any]


class ModelFlow(Flow):
    """Handles one request to engines."""

    __slots__ = (
        '_choice',
        '_engine_slots',
        '_feedback',
        '_free_cache',
        '_handle',
        '_handle_version',
        '_prompt_watch',
        '_stream',
        '_work',
    )

    def with_work(self, work: ModelWork, free_cache: FreeHandle) -> 'ModelFlow':
        """
        Set the work that the request requires of an engine.

        :param work: sizes of the prompt and of the output
        :param free_cache: frees a KV cache that no attempt will use
        :return: this flow
        """
        self._work = work
        self._prompt_watch = PromptWatch(self._context, self._workspace, work)
        self._choice = EngineChoice(
            self._context,
            self._request,
            self._route,
            self._service,
            work,
            self._binding,
        )
        self._feedback = EngineFeedback(
            self._context, self._request, self._service, work
        )
        self._engine_slots = EngineSlots(
            self._context, self._service, work, self._slots
        )
        self._free_cache = free_cache
        self._handle: Handle | None = None
        # Only a decode engine of this version can use the handle.
        self._handle_version = ''
        self._stream = CallerStream(self._request.resume_after)
        self._reply.log_fields.update(
            prompt_tokens=work.prompt_tokens,
            estimate=work.estimated_output_tokens,
            parts=[part.digest for part in work.shared_parts],
        )
        return self

    async def _serve(self) -> None:
        if not await self._binding.resolve():
            self._refuse(Refusal.stream_unknown, STREAM_RETRY_AFTER_MS)
        await self._serve_at(await self._place())

    async def _serve_at(self, placement: Placement | None) -> None:
        """Send attempts, the first ones to chosen engines."""
        while placement is not None:
            goes_on = True
            is_ready = True
            engine = None if self._handle else placement.prefill_engine
            if engine and self._allowance.try_spend_prefill():
                goes_on = await self._prefill(
                    await self._engine_slots.ask_for_prefill(
                        placement, self._open_attempts, self._excluded_targets
                    )
                )
                is_ready = self._handle is not None
            if goes_on and is_ready and self._is_awaited():
                goes_on = await self._generate(
                    await self._engine_slots.ask_for_run(
                        placement,
                        self._open_attempts,
                        self._excluded_targets,
                        is_prefilled=self._handle is not None,
                    )
                )
            placement = await self._place() if goes_on else None
        if self._reply.is_over:
            self._free_unused_cache()

    def _try_take_over(self) -> bool:
        if not self._stream.may_go_on:
            return False
        choice = self._choice.choose(
            self._excluded_targets, self._deadline, self._binding.version
        )
        can_take_over = (
            choice is not None
            and choice.is_accepted
            and self._choice.is_sound(choice.placement)
            and self._prompt_watch.held_part is None
        )
        if choice is None or not can_take_over:
            return False
        if not self._allowance.try_spend_retry():
            return False
        launch(self._serve_at(choice.placement), self.fail_on_defect)
        return True

    def _is_awaited(self) -> bool:
        if not super()._is_awaited():
            return False
        held_part = self._prompt_watch.held_part
        if held_part is None:
            return True
        if not self._open_attempts.has_sent_run:
            self._reply.log_fields['held_part'] = held_part
            self._refuse(Refusal.part_held, PART_HELD_RETRY_AFTER_MS)
            self._open_attempts.stop_all()
        # A run that is open goes on.
        return False

    async def _place(self) -> Placement | None:
        """Return where to run, none if the request is over or is refused."""
        if not self._is_awaited():
            return None
        version = self._binding.version
        if version is None and self._handle is not None:
            version = self._handle_version
        choice = await self._record_wait.choose(
            partial(
                self._choice.choose,
                self._excluded_targets,
                self._deadline,
                version,
            )
        )
        if choice is None and self._handle is not None:
            # Another version may serve the request, but without the KV cache.
            self._free_unused_cache()
            return await self._place()
        if self._takeover.is_given_up(is_possible=_is_accepted(choice)):
            return None
        if choice is None:
            self._refuse(
                *explain_no_target(
                    self._choice.compute_pause_ms(),
                    is_unrecorded=bool(self._binding.list_barred()),
                )
            )
            return None
        placement = choice.placement
        first_token_ms = round(placement.first_token_ms)
        self._reply.log_fields.update(
            predicted_ms=first_token_ms,
            wait_ms=round(placement.wait_ms),
            patience_ms=round(choice.patience_ms),
        )
        if not choice.is_accepted:
            # The requests that wait now will have been served by then.
            self._refuse(Refusal.deadline_unreachable, first_token_ms)
            return None
        return placement

    async def _prefill(self, grant: EngineGrant) -> bool:
        """
        Prefill the prompt at an engine, which keeps the KV cache.

        :return: false if another attempt decides how the request goes on
        """
        if not self._slots.may_send(grant.slot):
            return True
        engine_and_listing = self._choice.find_engine(grant.slot.target)
        if engine_and_listing is None:
            self._slots.end(grant.slot, None)
            return True
        has_older_run = self._open_attempts.has_sent_run
        engine, listing = engine_and_listing
        attempt = Attempt(
            self._context.dialect,
            self._request,
            listing,
            self._make_options(listing.name, prefill_only=True),
        )
        started_ms = self._context.clock.now_ms()
        self._feedback.record_prefill(engine)
        with self._engine_slots.hold_prefill(engine, grant):
            end = await self._run_attempt(
                attempt, compute_silence_bound_ms(grant.placement.prefill_ms)
            )
        self._slots.end(grant.slot, end)
        took_ms = self._context.clock.now_ms() - started_ms
        handle = self._parse_handle(engine, end, listing.address)
        self._feedback.record_admission(engine, end)
        if handle is None:
            if self._takeover.is_left_to_other(end):
                return False
            if not self._reply.is_over:
                self._retry_or_refuse(end, Retry.handoff_failed)
            return True
        self._handle = handle
        self._handle_version = engine.version
        self._allowance.record_prefill()
        self._reply.log_fields['read_ms'] = took_ms
        self._feedback.record_prefill_time(engine, grant.placement, took_ms)
        if not self._open_attempts.has_sent_run:
            self._open_attempts.stop_all()
        elif not has_older_run:
            # The run that took over has no use for the KV cache.
            self._free_unused_cache()
            return False
        return True

    def _parse_handle(
        self, engine: EngineState, end: AttemptEnd, address: str
    ) -> Handle | None:
        """Return the handle of the KV cache, none if the prefill failed."""
        now_ms = self._context.clock.now_ms()
        if end.outcome is AttemptOutcome.unsent or has_failed(end):
            engine.health.record_crash(now_ms)
        if end.outcome is not AttemptOutcome.answered or end.head is None:
            return None
        if end.head.meaning is AnswerMeaning.failure:
            engine.health.record_failure(now_ms)
            return None
        try:
            handle = self._context.dialect.handle_from(
                end.body, engine.name, address
            )
        except WireError as error:
            logger.bind(request=self._request.attempt_id).warning('{0}', error)
            engine.health.record_failure(now_ms)
            return None
        engine.health.record_success()
        return handle

    def _retry_or_refuse(self, end: AttemptEnd, reason: Retry) -> None:
        """Retry or refuse after an attempt in which the request has not run."""
        if end.outcome is AttemptOutcome.unsent:
            if self._allowance.unreached_count >= MAX_CONNECT_FAILURES:
                self._refuse(Refusal.no_target, NO_TARGET_RETRY_AFTER_MS)
        elif self._allowance.try_spend_retry():
            self._context.meters.count_retry(reason)
        else:
            self._refuse(Refusal.limit_reached, BUSY_RETRY_AFTER_MS)

    async def _generate(self, grant: EngineGrant) -> bool:
        """
        Run the request at an engine, from the KV cache if there is one.

        :return: false if another attempt decides how the request goes on
        """
        if not self._slots.may_send(grant.slot):
            return True
        engine_and_listing = self._choice.find_engine(grant.slot.target)
        if engine_and_listing is None:
            self._slots.end(grant.slot, None)
            return True
        engine, listing = engine_and_listing
        if not self._binding.admits(engine.version):
            # It has restarted with another version since it was chosen.
            self._slots.end(grant.slot, None)
            return True
        handle = self._handle
        self._handle = None
        run_load = _RunLoad(
            engine,
            0 if handle else grant.placement.prefill_tokens,
            estimate_kv_tokens(self._work),
        )
        if handle is None:
            self._feedback.record_prefill(engine)
        run_watch = self._prompt_watch.start_run(listing)
        events = self._make_events(run_load, grant.placement, engine)
        attempt = Attempt(
            self._context.dialect,
            self._request,
            listing,
            self._make_options(listing.name, handle=handle),
            run_watch.watch(events.receive),
            EventStream.from_route(
                self._route,
                AnswerCheck(self._stream.resume_after, self._stream),
            ),
        )
        try:
            end = await self._run_attempt(
                attempt,
                compute_silence_bound_ms(grant.placement.first_token_ms),
            )
        finally:
            run_load.end()
        self._slots.end(grant.slot, end)
        if handle is not None and not attempt.is_sent:
            self._handle = handle
        self._prompt_watch.record_end(run_watch, end)
        self._feedback.record_admission(engine, end)
        if events.is_holding and end.outcome is AttemptOutcome.answered:
            self._open_attempts.stop_all()
        await events.finish(end)
        return self._process_end(engine, end)

    def _make_events(
        self, run_load: '_RunLoad', placement: Placement, engine: EngineState
    ) -> HeldEvents:
        """Return what passes pieces on to the caller."""
        # The time since arrival includes earlier attempts, so that later ones
        # do not show how long a placement takes.
        is_first_try = len(self._tried_targets) <= int(
            placement.prefill_engine is not None
        )
        sent_ms = self._context.clock.now_ms()

        def record_arrival() -> None:
            if run_load.record_prompt_read():
                self._feedback.record_first_token(
                    engine, placement, sent_ms, is_first_try=is_first_try
                )
            self._count_run(self._context.true_time.now_ms())

        def pass_on(head: AnswerHead, pieces: list[bytes]) -> None:
            if self._route.is_streamed:
                pieces = self._stream.select_new(pieces)
            if pieces:
                self._open_attempts.keep_only(engine.name)
                self._binding.bind(engine.version)
                self._stream.begin(head)
                self._reply.begin(head)
                self._reply.send(b''.join(pieces))

        return HeldEvents(
            self._binding,
            engine.version,
            self._record_wait,
            record_arrival,
            pass_on,
        )

    def _suspend_target(self, target: str) -> None:
        engine = self._context.fleet.boards.get_board(self._service).get(target)
        if engine is not None:
            engine.health.record_crash(self._context.clock.now_ms())

    def _process_end(self, engine: EngineState, end: AttemptEnd) -> bool:
        """
        Finish, retry or fail after an attempt to run the request.

        :return: false if another attempt decides how the request goes on
        """
        if end.outcome is AttemptOutcome.unsent or has_failed(end):
            engine.health.record_crash(self._context.clock.now_ms())
        is_midway = self._takeover.fails_midway(end)
        if is_final(end) and not is_midway:
            self._open_attempts.stop_all()
        elif self._takeover.is_left_to_other(end):
            return False
        match end.outcome:
            case AttemptOutcome.unsent | AttemptOutcome.not_run:
                self._retry_or_refuse(end, Retry.target_busy)
            case AttemptOutcome.answered if not is_midway:
                engine.health.record_success()
                self._finish_answer(end)
            case AttemptOutcome.answered | AttemptOutcome.lost:
                self._takeover.resume_or_fail(
                    end,
                    is_resumable=self._route.repeat is RepeatRule.resumable
                    and self._stream.may_go_on
                    and self._prompt_watch.may_send_on,
                )
        return True

    def _finish_answer(self, end: AttemptEnd) -> None:
        head = end.head
        if head is None or self._reply.is_over:
            return
        if head.meaning is AnswerMeaning.failure:
            self._reply.deliver(head, end.body)
        else:
            self._count_run(self._context.true_time.now_ms())
            self._reply.begin(head)
            self._reply.finish(head.status)

    def _make_options(
        self,
        target: str,
        *,
        prefill_only: bool = False,
        handle: Handle | None = None,
    ) -> SendOptions:
        return SendOptions(
            target=target,
            workspace=self._workspace,
            prefill_only=prefill_only,
            handle=handle,
            resume_after=self._stream.resume_after,
            urgency=compute_engine_urgency(self._work, self._urgency),
        )

    def _free_unused_cache(self) -> None:
        handle = self._handle
        self._handle = None
        if handle is not None:
            freeing = Deferred.fromCoroutine(self._free_cache(handle))
            freeing.addErrback(_log_cache_not_freed)


class _RunLoad:
    """
    Adds one run to the load that this instance counts for an engine.

    :param engine: the engine that runs the request
    :param prefill_tokens: prompt tokens to prefill before the first token
    :param cache_tokens: tokens that the run holds in the KV cache
    """

    __slots__ = (
        '_cache_tokens',
        '_engine',
        '_is_prompt_read',
        '_prefill_tokens',
    )

    def __init__(
        self, engine: EngineState, prefill_tokens: int, cache_tokens: int
    ) -> None:
        self._engine = engine
        self._is_prompt_read = False
        self._prefill_tokens = prefill_tokens
        self._cache_tokens = cache_tokens
        engine.own_load.run_count += 1
        engine.own_load.kv_tokens += cache_tokens
        engine.own_load.prefill_tokens += prefill_tokens

    def record_prompt_read(self) -> bool:
        """
        Count the prompt as prefilled.

        :return: whether it was not counted before
        """
        self._engine.own_load.prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0
        was_read = self._is_prompt_read
        self._is_prompt_read = True
        return not was_read

    def end(self) -> None:
        """Remove the run from the load of the engine."""
        self.record_prompt_read()
        self._engine.own_load.run_count -= 1
        self._engine.own_load.kv_tokens -= self._cache_tokens


def _is_accepted(choice: Choice | None) -> bool:
    return choice is not None and choice.is_accepted


def _log_cache_not_freed(failure: Any) -> None:
    failure.trap(TargetError)
    logger.info(
        'KV cache not freed; the engine will expire it: {0}', failure.value
    )
