"""Engines that can take a prompt or a run, and what it costs there."""

from msgspec.structs import replace

from cicadahoist.policy.balancing.slot_messages import Candidate
from cicadahoist.policy.engine_board import (
    DECODE,
    PREFILL,
    EngineBoard,
    EngineState,
)
from cicadahoist.policy.placement import (
    DEFAULT_OUTPUT_TOKENS,
    MIN_HANDOFF_TOKENS,
    OUTPUT_TOKEN_MS,
    Placement,
    count_prefill_tokens,
    select_stream_engines,
)
from cicadahoist.requests import ModelWork


class EngineCandidates:
    """
    Engines for one request.

    :param board: engines of the service
    :param work: the work that the request requires
    """

    __slots__ = ('_board', '_work')

    def __init__(self, board: EngineBoard, work: ModelWork) -> None:
        self._board = board
        self._work = work

    def list_for_prefill(
        self, placement: Placement, tried: frozenset[str], now_ms: int
    ) -> tuple[Candidate, ...]:
        """Return the engines that can prefill at the version of a placement."""
        engines = self._list_untried(PREFILL, placement, tried, now_ms)
        return tuple(
            Candidate(
                engine.name, engine.slots, self._compute_prefill_ms(engine)
            )
            for engine in engines
        )

    def list_for_run(
        self,
        placement: Placement,
        tried: frozenset[str],
        now_ms: int,
        *,
        is_prefilled: bool,
    ) -> tuple[Candidate, ...]:
        """
        Return the engines that can run at the version of a placement.

        :param is_prefilled: whether a prefill engine has the KV cache
        """
        engines = self._list_untried(DECODE, placement, tried, now_ms)
        if not is_prefilled:
            can_split = bool(
                self._list_untried(PREFILL, placement, tried, now_ms)
            )
            engines = self._select_unsplit(engines, can_split=can_split)
        output = self._work.estimated_output_tokens or DEFAULT_OUTPUT_TOKENS
        output_ms = round(output * OUTPUT_TOKEN_MS)
        if is_prefilled:
            return tuple(
                Candidate(engine.name, engine.slots, output_ms)
                for engine in engines
            )
        return tuple(
            Candidate(
                engine.name,
                engine.slots,
                output_ms + self._compute_prefill_ms(engine),
            )
            for engine in engines
        )

    def move_prefill(self, placement: Placement, name: str) -> Placement:
        """Return a placement with another prefill engine."""
        engine = self._board.get(name)
        if engine is None or name == placement.prefill_engine:
            return placement
        tokens = count_prefill_tokens(self._work, engine)
        return replace(
            placement,
            prefill_engine=name,
            prefill_ms=self._board.predict_first_token_ms(engine, tokens),
            prefill_tokens=tokens,
            prefill_slowness=engine.slowness,
        )

    def move_run(self, placement: Placement, name: str) -> Placement:
        """Return a placement with another decode engine."""
        engine = self._board.get(name)
        if engine is None or name == placement.decode_engine:
            return placement
        moved = replace(placement, decode_engine=name)
        if placement.prefill_engine is not None:
            return moved
        tokens = count_prefill_tokens(self._work, engine)
        return replace(moved, prefill_tokens=tokens)

    def _list_untried(
        self,
        role: str,
        placement: Placement,
        tried: frozenset[str],
        now_ms: int,
    ) -> list[EngineState]:
        """
        Return the engines that the home may choose.

        It knows their load, and itself leaves those alone that reject.
        """
        placed = self._board.get(placement.decode_engine)
        version = placed.version if placed else ''
        return [
            engine
            for engine in self._board.list_available(
                role, version, now_ms, has_backoffs=False
            )
            if engine.name not in tried
        ]

    def _select_unsplit(
        self, engines: list[EngineState], *, can_split: bool
    ) -> list[EngineState]:
        """
        Return the engines for a run that includes its prefill.

        :param can_split: whether prefill engines take other long prompts
        """
        stream_engines = select_stream_engines(engines)
        others = [engine for engine in engines if engine not in stream_engines]
        if self._work.prompt_tokens >= MIN_HANDOFF_TOKENS:
            return others if can_split and others else engines
        has_room = any(
            self._board.count_runs(engine) < engine.slots
            for engine in stream_engines
        )
        return stream_engines if has_room else engines

    def _compute_prefill_ms(self, engine: EngineState) -> int:
        tokens = count_prefill_tokens(self._work, engine)
        return max(1, round(tokens / engine.prefill_tokens_per_ms))
