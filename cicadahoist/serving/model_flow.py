"""Requests to engines: prompts read at one, answers generated at another."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.errors import TargetError, WireError
from cicadahoist.log import get_logger
from cicadahoist.policy.engine_board import EngineState
from cicadahoist.policy.placement import (
    Placement,
    engine_ms,
    engine_urgency,
    held_tokens,
)
from cicadahoist.reasons import Refusal, Retry
from cicadahoist.requests import (
    AnswerHead,
    AnswerMeaning,
    Handle,
    ModelWork,
    RepeatRule,
    SendOptions,
)
from cicadahoist.serving.attempt import Attempt, AttemptEnd, AttemptOutcome
from cicadahoist.serving.event_relay import EventRelay
from cicadahoist.serving.flow import HTTP_BAD_GATEWAY, Flow

logger = get_logger(__name__)

NO_ENGINE_RETURN_MS = 500
BUSY_RETURN_MS = 100
# Share of the time left within which a first token must be expected.
PATIENCE_SHARE = 0.2
# The same where the aim is missed already, as for callers that come back.
LATE_PATIENCE_SHARE = 0.08
# Engines that may be tried without a byte having left.
MOST_CONNECTS = 3

FreeHandle = Callable[[Handle], Any]


class ModelFlow(Flow):
    """One request to an engine."""

    __slots__ = ('_connects', '_free', '_handle', '_relay', '_sends', '_work')

    def with_work(self, work: ModelWork, free: FreeHandle) -> 'ModelFlow':
        """
        Set what the request asks of an engine.

        :param free: frees a cache that nobody will take
        """
        self._work = work
        self._free = free
        self._handle: Handle | None = None
        self._relay = EventRelay(self._request.resume_after)
        self._sends = 0
        self._connects = 0
        self._context.demand.arrived(
            engine_ms(work), self._context.clock.now_ms()
        )
        return self

    async def _serve(self) -> None:
        while not self._is_over:
            placement = self._place()
            if placement is None:
                return
            if placement.reader is not None and self._handle is None:
                await self._read(placement)
                if self._handle is None:
                    continue
            await self._generate(placement)
        self._drop_handle()

    def _place(self) -> Placement | None:
        """Return where to run, or refuse what cannot begin in time."""
        context = self._context
        now_ms = context.clock.now_ms()
        placement = context.placer(self._service).place(
            self._work, now_ms, frozenset(self._tried)
        )
        if placement is None:
            self._refuse(Refusal.no_target, NO_ENGINE_RETURN_MS)
            return None
        first_ms = placement.first_token_ms
        self._notes['predicted_ms'] = round(first_ms)
        self._notes['prompt_tokens'] = self._work.prompt_tokens
        self._notes['output_tokens'] = self._work.most_output_tokens
        self._notes['estimate'] = self._work.likely_output_tokens
        if first_ms > self._patience_ms():
            late_ms = round(first_ms - self._route.first_aim_ms)
            self._refuse(Refusal.deadline_unreachable, late_ms)
            return None
        return placement

    def _patience_ms(self) -> float:
        """
        Return the longest wait for a first token that is worth its place.

        Under overload, places go first to requests that can still be answered
        within their aim.
        """
        left_ms = self._left_ms
        spent_ms = self._route.timeout_ms - left_ms
        aim_left_ms = self._route.first_aim_ms - spent_ms
        if aim_left_ms > 0:
            share_ms = PATIENCE_SHARE * left_ms
            return min(left_ms, max(aim_left_ms, share_ms))
        return LATE_PATIENCE_SHARE * left_ms

    async def _read(self, placement: Placement) -> None:
        """Let an engine read the prompt and keep its cache."""
        engine = self._engine(placement.reader)
        listing = self._context.directory.get(placement.reader or '')
        if engine is None or listing is None:
            return
        options = self._options(listing.name, prefill_only=True)
        started_ms = self._context.clock.now_ms()
        engine.own_reads += placement.reads
        try:
            end = await self._run(
                Attempt(self._context.dialect, self._request, listing, options)
            )
        finally:
            engine.own_reads -= placement.reads
        took_ms = self._context.clock.now_ms() - started_ms
        self._take_handle(engine, end, listing.address)
        if self._handle is not None:
            self._notes['read_ms'] = took_ms
            engine.observe(placement.read_ms, took_ms)
        elif not self._is_over:
            self._after_unread(end)

    def _take_handle(
        self, engine: EngineState, end: AttemptEnd, address: str
    ) -> None:
        now_ms = self._context.clock.now_ms()
        head = end.head
        is_read = end.outcome is AttemptOutcome.answered and head is not None
        if not is_read or head.meaning is AnswerMeaning.failure:
            if end.outcome in {AttemptOutcome.lost, AttemptOutcome.unsent}:
                engine.health.crashed(now_ms)
            return
        try:
            self._handle = self._context.dialect.handle_from(
                end.body, engine.name, address
            )
        except WireError as error:
            logger.bind(request=self._request.attempt_id).warning('{0}', error)
            engine.health.failed(now_ms)
            return
        engine.health.succeeded()

    def _after_unread(self, end: AttemptEnd) -> None:
        """Go on after a prompt was not read; the request has not run."""
        if end.outcome is AttemptOutcome.unsent:
            self._connects += 1
            if self._connects >= MOST_CONNECTS:
                self._refuse(Refusal.no_target, NO_ENGINE_RETURN_MS)
            return
        if end.outcome is AttemptOutcome.not_run:
            self._sends += 1
        if self._sends < self._route.max_sends:
            self._context.metrics.retried(Retry.handoff_failed)
        else:
            self._refuse(Refusal.limit_reached, BUSY_RETURN_MS)

    async def _generate(self, placement: Placement) -> None:
        """Let an engine run the request, from the handle where there is one."""
        engine = self._engine(placement.generator)
        listing = self._context.directory.get(placement.generator)
        if engine is None or listing is None:
            return
        handle, self._handle = self._handle, None
        options = self._options(listing.name, handle=handle)
        reading = _Reading(engine, 0 if handle else placement.reads)
        held = held_tokens(self._work)
        engine.own_runs += 1
        engine.own_held += held
        try:
            end = await self._run(
                Attempt(
                    self._context.dialect,
                    self._request,
                    listing,
                    options,
                    self._piece_taker(reading),
                )
            )
        finally:
            engine.own_runs -= 1
            engine.own_held -= held
            reading.end()
        if end.outcome is AttemptOutcome.unsent:
            self._handle = handle
        self._judge(engine, end)

    def _piece_taker(
        self, reading: '_Reading'
    ) -> Callable[[AnswerHead, bytes], None]:
        def take(head: AnswerHead, piece: bytes) -> None:
            reading.end()
            if self._is_over:
                return
            self._count_run(self._context.true_time.now_ms())
            if not self._exchange.is_begun:
                self._first_byte()
                self._exchange.begin(head.status, head.headers)
            self._exchange.send(self._relay.feed(piece))

        return take

    def _judge(self, engine: EngineState, end: AttemptEnd) -> None:
        """Go on, finish or give up after an attempt to generate."""
        now_ms = self._context.clock.now_ms()
        match end.outcome:
            case AttemptOutcome.unsent:
                engine.health.crashed(now_ms)
                self._connects += 1
                if self._connects >= MOST_CONNECTS:
                    self._refuse(Refusal.no_target, NO_ENGINE_RETURN_MS)
            case AttemptOutcome.not_run:
                self._sends += 1
                if self._may_repeat(self._sends):
                    self._context.metrics.retried(Retry.target_busy)
                else:
                    self._refuse(Refusal.limit_reached, BUSY_RETURN_MS)
            case AttemptOutcome.answered:
                engine.health.succeeded()
                self._finish(end)
            case AttemptOutcome.lost:
                self._sends += 1
                engine.health.crashed(now_ms)
                self._after_loss()

    def _finish(self, end: AttemptEnd) -> None:
        head = end.head
        if head is None or self._is_over:
            return
        if head.meaning is AnswerMeaning.failure:
            self._finish_failure(head, end.body)
            return
        if not self._exchange.is_begun:
            self._count_run(self._context.true_time.now_ms())
            self._first_byte()
            self._exchange.begin(head.status, head.headers)
        self._exchange.send(self._relay.end())
        self._exchange.finish()
        self._context.answered.add(1)
        self._end('answered', status=head.status)

    def _finish_failure(self, head: AnswerHead, body: bytes) -> None:
        if self._exchange.is_begun:
            self._fail_request(HTTP_BAD_GATEWAY, Refusal.target_failed)
        else:
            self._deliver(head, body)

    def _after_loss(self) -> None:
        """Go on at another engine behind the last event, where allowed."""
        is_resumable = self._route.repeat is RepeatRule.resumable
        if is_resumable and self._may_repeat(self._sends):
            self._relay.begin_again()
            self._context.metrics.retried(Retry.stream_broken)
        else:
            self._fail_request(HTTP_BAD_GATEWAY, Refusal.target_lost)

    def _options(
        self,
        target: str,
        *,
        prefill_only: bool = False,
        handle: Handle | None = None,
    ) -> SendOptions:
        last_id = self._relay.last_id
        return SendOptions(
            target=target,
            workspace=self._workspace,
            left_ms=self._left_ms,
            prefill_only=prefill_only,
            handle=handle,
            resume_after='' if last_id is None else str(last_id),
            urgency=engine_urgency(self._work, self._urgency),
        )

    def _engine(self, name: str | None) -> EngineState | None:
        return self._context.board(self._service).get(name or '')

    def _drop_handle(self) -> None:
        handle, self._handle = self._handle, None
        if handle is not None:
            freeing = Deferred.fromCoroutine(self._free(handle))
            freeing.addErrback(_log_unfreed)


class _Reading:
    """Counts the prompt of one run until its first token."""

    __slots__ = ('_engine', '_tokens')

    def __init__(self, engine: EngineState, tokens: int) -> None:
        self._engine = engine
        self._tokens = tokens
        engine.own_reads += tokens

    def end(self) -> None:
        """Count the prompt as read."""
        self._engine.own_reads -= self._tokens
        self._tokens = 0


def _log_unfreed(failure: Any) -> None:
    failure.trap(TargetError)
    logger.info('cache not freed; it lapses by itself: {0}', failure.value)
