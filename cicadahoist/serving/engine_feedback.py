"""Records what the attempts of one request show about engines."""

from cicadahoist.policy.engine_board import (
    LARGE_FLEET_MIN_SLOWNESS,
    MIN_SLOWNESS,
    EngineBoard,
    EngineState,
)
from cicadahoist.policy.placement import MIN_HANDOFF_TOKENS, Placement
from cicadahoist.requests import AnswerMeaning, InboundRequest, ModelWork
from cicadahoist.serving.attempt import AttemptEnd, AttemptOutcome
from cicadahoist.serving.context import ServingContext


class EngineFeedback:
    """
    Updates the board of a service by the attempts of one request.

    :param context: shared parts of the data path
    :param request: the caller's request
    :param service: the service that serves it
    :param work: the work that the request requires of an engine
    """

    __slots__ = ('_context', '_request', '_service', '_work')

    def __init__(
        self,
        context: ServingContext,
        request: InboundRequest,
        service: str,
        work: ModelWork,
    ) -> None:
        self._context = context
        self._request = request
        self._service = service
        self._work = work

    def record_prefill(self, engine: EngineState) -> None:
        """Record, here and at peers, which parts an engine will cache."""
        if self._work.prompt_tokens >= MIN_HANDOFF_TOKENS:
            engine.prefix_cache.record_prompt(self._work.parts)
            self._context.gossip.on_prefill_started(
                engine.name, self._work.parts
            )

    def record_prefill_time(
        self, engine: EngineState, placement: Placement, took_ms: int
    ) -> None:
        """
        Record how long an engine has taken to prefill a prompt.

        :param took_ms: time since the prompt was sent
        """
        min_slowness = MIN_SLOWNESS
        if self._context.is_large_fleet:
            min_slowness = LARGE_FLEET_MIN_SLOWNESS
        engine.observe_prefill(
            placement.prefill_ms,
            took_ms,
            placement.prefill_slowness,
            min_slowness,
        )
        self._context.demand.prefill_times.record(
            placement.prefill_tokens, took_ms, self._context.clock.now_ms()
        )

    def record_admission(self, engine: EngineState, end: AttemptEnd) -> None:
        """Record whether an engine has accepted an attempt that has ended."""
        board = self._board
        if end.outcome is AttemptOutcome.answered:
            board.backoffs.record_acceptance(engine.name)
        elif end.head and end.head.meaning is AnswerMeaning.not_run:
            board.backoffs.record_rejection(
                engine.name, self._context.clock.now_ms()
            )

    def record_first_token(
        self,
        engine: EngineState,
        placement: Placement,
        sent_ms: int,
        *,
        is_first_try: bool,
    ) -> None:
        """
        Record how long a run has taken to its first token.

        :param sent_ms: when the run was sent to the engine
        :param is_first_try: whether no attempts that failed came before
        """
        board = self._board
        now_ms = self._context.clock.now_ms()
        board.backoffs.record_acceptance(engine.name)
        if placement.handoff_ms:
            board.decode_slowness.observe(
                placement.handoff_ms, now_ms - sent_ms
            )
        if is_first_try and self._work.prompt_tokens >= MIN_HANDOFF_TOKENS:
            board.prediction_bias.observe(
                placement.first_token_ms, now_ms - self._request.read_ms
            )

    @property
    def _board(self) -> EngineBoard:
        return self._context.fleet.boards.get_board(self._service)
