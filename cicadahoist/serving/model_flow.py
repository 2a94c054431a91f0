"""Requests to engines: prompts read at one, answers generated at another."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.errors import TargetError, WireError
from cicadahoist.listings import Listing
from cicadahoist.log import get_logger
from cicadahoist.policy.engine_board import EngineState
from cicadahoist.policy.patience import silence_bound_ms
from cicadahoist.policy.placement import (
    HANDOFF_TOKENS,
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
from cicadahoist.serving.engine_choice import EngineChoice
from cicadahoist.serving.event_relay import EventRelay
from cicadahoist.serving.flow import HTTP_BAD_GATEWAY, MOST_CONNECTS, Flow

logger = get_logger(__name__)

NO_ENGINE_RETURN_MS = 500
BUSY_RETURN_MS = 100

FreeHandle = Callable[[Handle], Any]


class ModelFlow(Flow):
    """One request to an engine."""

    __slots__ = ('_choice', '_free', '_handle', '_relay', '_work')

    def with_work(self, work: ModelWork, free: FreeHandle) -> 'ModelFlow':
        """
        Set what the request asks of an engine.

        :param free: frees a cache that nobody will take
        """
        self._work = work
        self._choice = EngineChoice(
            self._context, self._request, self._route, self._service, work
        )
        self._free = free
        self._handle: Handle | None = None
        self._relay = EventRelay(self._request.resume_after)
        self._context.demand.arrived(
            engine_ms(work), self._context.clock.now_ms()
        )
        self._reply.notes.update(
            prompt_tokens=work.prompt_tokens, estimate=work.likely_output_tokens
        )
        return self

    async def _serve(self) -> None:
        while not self._reply.is_over:
            placement = self._place()
            if placement is None:
                break
            if placement.reader is not None and self._handle is None:
                await self._read(placement, placement.reader)
            if placement.reader is None or self._handle is not None:
                await self._generate(placement)
        self._drop_handle()

    def _place(self) -> Placement | None:
        """Return where to run, or refuse what cannot begin in time."""
        choice = self._choice.choose(frozenset(self._tried), self._left_ms)
        if choice is None:
            self._refuse(Refusal.no_target, NO_ENGINE_RETURN_MS)
            return None
        placement = choice.placement
        first_ms = round(placement.first_token_ms)
        self._reply.notes.update(
            predicted_ms=first_ms,
            wait_ms=round(placement.wait_ms),
            patience_ms=round(choice.patience_ms),
        )
        if not choice.is_accepted:
            # By then, what waits now has been worked off.
            self._refuse(Refusal.deadline_unreachable, first_ms)
            return None
        return placement

    async def _read(self, placement: Placement, reader: str) -> None:
        """Let an engine read the prompt and keep its cache."""
        found = self._engine(reader)
        if found is None:
            return
        engine, listing = found
        attempt = Attempt(
            self._context.dialect,
            self._request,
            listing,
            self._options(listing.name, prefill_only=True),
        )
        started_ms = self._context.clock.now_ms()
        engine.own.reads += placement.reads
        engine.parts.use(self._work.parts)
        self._context.gossip.on_prefill_started(reader, self._work.parts)
        try:
            end = await self._run(attempt, silence_bound_ms(placement.read_ms))
        finally:
            engine.own.reads -= placement.reads
        took_ms = self._context.clock.now_ms() - started_ms
        self._handle = self._handle_of(engine, end, listing.address)
        if self._handle is not None:
            self._reply.notes['read_ms'] = took_ms
            engine.observe(placement.read_ms, took_ms)
        elif not self._reply.is_over:
            self._after_unread(end)

    def _handle_of(
        self, engine: EngineState, end: AttemptEnd, address: str
    ) -> Handle | None:
        """Return the cache of a prompt that was read, or none."""
        now_ms = self._context.clock.now_ms()
        if end.outcome in {AttemptOutcome.lost, AttemptOutcome.unsent}:
            engine.health.crashed(now_ms)
        if end.outcome is not AttemptOutcome.answered or end.head is None:
            return None
        if end.head.meaning is AnswerMeaning.failure:
            engine.health.failed(now_ms)
            return None
        try:
            handle = self._context.dialect.handle_from(
                end.body, engine.name, address
            )
        except WireError as error:
            logger.bind(request=self._request.attempt_id).warning('{0}', error)
            engine.health.failed(now_ms)
            return None
        engine.health.succeeded()
        return handle

    def _after_unread(self, end: AttemptEnd) -> None:
        """Go on after a prompt was not read; the request has not run."""
        if end.outcome is AttemptOutcome.unsent:
            if self._sends.unreached >= MOST_CONNECTS:
                self._refuse(Refusal.no_target, NO_ENGINE_RETURN_MS)
        elif self._sends.may_repeat():
            self._context.meters.retried(Retry.handoff_failed)
        else:
            self._refuse(Refusal.limit_reached, BUSY_RETURN_MS)

    async def _generate(self, placement: Placement) -> None:
        """Let an engine run the request, from the handle where there is one."""
        found = self._engine(placement.generator)
        if found is None:
            return
        engine, listing = found
        handle = self._handle
        self._handle = None
        running = _Running(
            engine, 0 if handle else placement.reads, held_tokens(self._work)
        )
        attempt = Attempt(
            self._context.dialect,
            self._request,
            listing,
            self._options(listing.name, handle=handle),
            self._piece_taker(running, placement),
        )
        try:
            end = await self._run(
                attempt, silence_bound_ms(placement.first_token_ms)
            )
        finally:
            running.end()
        if end.outcome is AttemptOutcome.unsent:
            self._handle = handle
        self._judge(engine, end)

    def _piece_taker(
        self, running: '_Running', placement: Placement
    ) -> Callable[[AnswerHead, bytes], None]:
        board = self._context.fleet.boards.get_board(self._service)
        # Later tries tell nothing of the time that a placement takes.
        tells_time = len(self._tried) <= int(placement.reader is not None)
        is_long = self._work.prompt_tokens >= HANDOFF_TOKENS

        def take(head: AnswerHead, piece: bytes) -> None:
            if running.prompt_read() and tells_time and is_long:
                now_ms = self._context.clock.now_ms()
                board.error.observe(
                    placement.first_token_ms, now_ms - self._request.arrived_ms
                )
            self._count_run(self._context.true_time.now_ms())
            self._reply.begin(head)
            self._reply.send(self._relay.feed(piece))

        return take

    def _suspend_target(self, target: str) -> None:
        engine = self._context.fleet.boards.get_board(self._service).get(target)
        if engine is not None:
            engine.health.crashed(self._context.clock.now_ms())

    def _judge(self, engine: EngineState, end: AttemptEnd) -> None:
        """Go on, finish or give up after an attempt to generate."""
        now_ms = self._context.clock.now_ms()
        match end.outcome:
            case AttemptOutcome.unsent:
                engine.health.crashed(now_ms)
                if self._sends.unreached >= MOST_CONNECTS:
                    self._refuse(Refusal.no_target, NO_ENGINE_RETURN_MS)
            case AttemptOutcome.not_run:
                if self._sends.may_repeat():
                    self._context.meters.retried(Retry.target_busy)
                else:
                    self._refuse(Refusal.limit_reached, BUSY_RETURN_MS)
            case AttemptOutcome.answered:
                engine.health.succeeded()
                self._finish(end)
            case AttemptOutcome.lost:
                engine.health.crashed(now_ms)
                self._after_loss()

    def _finish(self, end: AttemptEnd) -> None:
        head = end.head
        if head is None or self._reply.is_over:
            return
        if head.meaning is AnswerMeaning.failure:
            self._finish_failure(head, end.body)
            return
        self._count_run(self._context.true_time.now_ms())
        self._reply.begin(head)
        self._reply.send(self._relay.end())
        self._reply.finish(head.status)

    def _finish_failure(self, head: AnswerHead, body: bytes) -> None:
        if self._reply.is_begun:
            self._reply.fail(HTTP_BAD_GATEWAY, Refusal.target_failed)
        else:
            self._reply.deliver(head, body)

    def _after_loss(self) -> None:
        """Go on at another engine behind the last event, where allowed."""
        is_resumable = self._route.repeat is RepeatRule.resumable
        if is_resumable and self._sends.may_repeat():
            self._relay.begin_again()
            self._context.meters.retried(Retry.stream_broken)
        else:
            self._reply.fail(HTTP_BAD_GATEWAY, Refusal.target_lost)

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

    def _engine(self, name: str) -> tuple[EngineState, Listing] | None:
        """Return an engine and where it is, none where it has just gone."""
        engine = self._context.fleet.boards.get_board(self._service).get(name)
        listing = self._context.fleet.directory.get(name)
        if engine is None or listing is None:
            return None
        return engine, listing

    def _drop_handle(self) -> None:
        handle = self._handle
        self._handle = None
        if handle is not None:
            freeing = Deferred.fromCoroutine(self._free(handle))
            freeing.addErrback(_log_unfreed)


class _Running:
    """
    Counts one run at its engine.

    :param reads: prompt tokens until the first token
    :param held: tokens that the run holds in memory
    """

    __slots__ = ('_engine', '_held', '_is_read', '_reads')

    def __init__(self, engine: EngineState, reads: int, held: int) -> None:
        self._engine = engine
        self._is_read = False
        self._reads = reads
        self._held = held
        engine.own.runs += 1
        engine.own.held += held
        engine.own.reads += reads

    def prompt_read(self) -> bool:
        """
        Count the prompt as read.

        :return: whether it was not before
        """
        self._engine.own.reads -= self._reads
        self._reads = 0
        was_read = self._is_read
        self._is_read = True
        return not was_read

    def end(self) -> None:
        """Count the run as ended."""
        self.prompt_read()
        self._engine.own.runs -= 1
        self._engine.own.held -= self._held


def _log_unfreed(failure: Any) -> None:
    failure.trap(TargetError)
    logger.info('cache not freed; it lapses by itself: {0}', failure.value)
