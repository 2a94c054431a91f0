"""Where a prompt is read and where its answer is generated."""

import msgspec

from cicadahoist.ids import fast_hash
from cicadahoist.policy.engine_board import (
    DECODE,
    DEFAULT_PREFILL_TOKENS_PER_MS,
    PREFILL,
    EngineBoard,
    EngineState,
)
from cicadahoist.requests import ModelWork

NONE_TRIED: frozenset[str] = frozenset()
# Shorter prompts are read faster by a decode engine than handed over.
MIN_HANDOFF_TOKENS = 600
# Time to move a prompt's cache and to begin at the other engine.
HANDOFF_MS = 4.0
CROSS_ZONE_MS = 1.5
# Engines that are looked at for one request. Loads are known some ms late: if
# all instances looked at all engines, they would rush to the same one.
SAME_ZONE_SAMPLE_COUNT = 2
OTHER_ZONE_SAMPLE_COUNT = 1
# Engines that keep parts of the prompt are looked at besides.
MAX_CACHE_HOLDERS = 2
# Time by which a generator has to be the faster reader to be asked.
MIN_DECODE_ONLY_GAIN_MS = 40.0
# Share of the generators that are kept free of long prompts: reading one slows
# each step down, so that streams pause for longer than callers accept.
STREAM_ENGINE_SHARE = 0.67
DEFAULT_OUTPUT_TOKENS = 100
# Share of an engine's step that one of some ten running requests takes.
OUTPUT_TOKEN_MS = 0.1


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """
    Engines for one request.

    :param prefill_engine: engine that reads the prompt, none where the decode
        engine does
    :param decode_engine: engine that generates the answer
    :param first_token_ms: predicted time to the first token
    :param wait_ms: part of it that is spent behind other prompts
    :param prefill_ms: predicted time until the prompt is read
    :param prefill_tokens: prompt tokens that are counted as work
    """

    prefill_engine: str | None
    decode_engine: str
    first_token_ms: float
    wait_ms: float
    prefill_ms: float
    prefill_tokens: int


class Placer:
    """
    Chooses engines by the predicted time to the first token.

    :param board: load of the engines
    """

    __slots__ = ('_board',)

    def __init__(self, board: EngineBoard) -> None:
        self._board = board

    def place(
        self,
        work: ModelWork,
        now_ms: int,
        tried: frozenset[str] = NONE_TRIED,
        sample_key: str | None = None,
    ) -> Placement | None:
        """
        Return the engines for a request, or none where no engine is left.

        :param tried: engines that are left out
        :param sample_key: text that differs between requests and draws the
            sample of engines to compare, none to compare all
        """
        readers = self._list_untried(PREFILL, now_ms, tried)
        generators = self._list_untried(DECODE, now_ms, tried)
        if not generators:
            return None
        streaming = select_stream_engines(generators)
        others = [engine for engine in generators if engine not in streaming]
        if work.prompt_tokens < MIN_HANDOFF_TOKENS:
            return self._place_short(work, streaming, others, sample_key)
        return self._add_bias(
            self._place_long(work, readers, generators, others, sample_key)
        )

    def _add_bias(self, placement: Placement) -> Placement:
        """Add to a prediction what such predictions are off by."""
        first_ms = (
            placement.first_token_ms + self._board.prediction_bias.median_ms
        )
        return msgspec.structs.replace(placement, first_token_ms=first_ms)

    def _place_long(
        self,
        work: ModelWork,
        readers: list[EngineState],
        generators: list[EngineState],
        others: list[EngineState],
        sample_key: str | None,
    ) -> Placement:
        """
        Place a long prompt, whose answer is mostly short.

        :param others: generators that run no streams
        """
        if not readers:
            return self._place_unsplit(
                work, self._sample(generators, sample_key)
            )
        sample = self._add_cache_holders(
            work, self._sample(readers, sample_key), readers
        )
        split = self._place_split(
            work, sample, self._sample(generators, sample_key)
        )
        if not others:
            return split
        whole = self._place_unsplit(work, self._sample(others, sample_key))
        if (
            split.first_token_ms
            <= whole.first_token_ms + MIN_DECODE_ONLY_GAIN_MS
        ):
            return split
        return whole

    def _list_untried(
        self, role: str, now_ms: int, tried: frozenset[str]
    ) -> list[EngineState]:
        engines = self._board.list_available(role, now_ms)
        return [engine for engine in engines if engine.name not in tried]

    def _place_short(
        self,
        work: ModelWork,
        streaming: list[EngineState],
        others: list[EngineState],
        sample_key: str | None,
    ) -> Placement:
        """Place a short prompt, whose answer is mostly a long stream."""
        roomy = self._filter_free(streaming)
        if not roomy:
            # Streams run for seconds: one that has to wait is late for sure.
            roomy = self._filter_free(others) or streaming
        return self._place_unsplit(work, self._sample(roomy, sample_key))

    def _filter_free(self, engines: list[EngineState]) -> list[EngineState]:
        return [
            engine
            for engine in engines
            if self._board.count_runs(engine) < engine.slots
        ]

    def _sample(
        self, engines: list[EngineState], sample_key: str | None
    ) -> list[EngineState]:
        """Return some engines, most of them of the own zone."""
        if sample_key is None:
            return engines
        ranked = sorted(
            engines, key=lambda engine: fast_hash(sample_key + engine.name)
        )
        near = [engine for engine in ranked if engine.zone == self._board.zone]
        far = [engine for engine in ranked if engine.zone != self._board.zone]
        near_count = min(len(near), SAME_ZONE_SAMPLE_COUNT)
        far_count = min(
            len(far),
            SAME_ZONE_SAMPLE_COUNT + OTHER_ZONE_SAMPLE_COUNT - near_count,
        )
        near_count = (
            SAME_ZONE_SAMPLE_COUNT + OTHER_ZONE_SAMPLE_COUNT - far_count
        )
        return near[:near_count] + far[:far_count]

    def _add_cache_holders(
        self,
        work: ModelWork,
        sample: list[EngineState],
        engines: list[EngineState],
    ) -> list[EngineState]:
        """Add the engines that keep most of a prompt."""
        keepers = [
            engine
            for engine in engines
            if engine.prefix_cache.count_cached_tokens(work.parts)
            > count_shared_tokens(work)
        ]
        keepers.sort(
            key=lambda engine: engine.prefix_cache.count_cached_tokens(
                work.parts
            ),
            reverse=True,
        )
        others = [engine for engine in sample if engine not in keepers]
        return keepers[:MAX_CACHE_HOLDERS] + others

    def _place_unsplit(
        self, work: ModelWork, generators: list[EngineState]
    ) -> Placement:
        tokens = estimate_kv_tokens(work)
        predicted = [
            self._board.predict_first_token_ms(
                engine, count_prefill_tokens(work, engine)
            )
            + self._board.predict_decode_wait_ms(engine, tokens)
            for engine in generators
        ]
        best_ms = min(predicted)
        best = generators[predicted.index(best_ms)]
        return Placement(
            prefill_engine=None,
            decode_engine=best.name,
            first_token_ms=best_ms,
            wait_ms=self._board.predict_prefill_wait_ms(best),
            prefill_ms=best_ms,
            prefill_tokens=count_prefill_tokens(work, best),
        )

    def _place_split(
        self,
        work: ModelWork,
        readers: list[EngineState],
        generators: list[EngineState],
    ) -> Placement:
        reading = min(
            (self._predict_prefill(work, reader) for reader in readers),
            key=_prefill_ms,
        )
        waits = [
            self._predict_decode_wait_ms(work, engine, reading.zone)
            for engine in generators
        ]
        wait_ms = min(waits)
        generator = generators[waits.index(wait_ms)].name
        return Placement(
            prefill_engine=reading.engine,
            decode_engine=generator,
            first_token_ms=reading.prefill_ms + HANDOFF_MS + wait_ms,
            wait_ms=reading.wait_ms + wait_ms,
            prefill_ms=reading.prefill_ms,
            prefill_tokens=reading.prefill_tokens,
        )

    def _predict_prefill(
        self, work: ModelWork, engine: EngineState
    ) -> '_PrefillPrediction':
        prefill_tokens = count_prefill_tokens(work, engine)
        prefill_ms = self._board.predict_first_token_ms(engine, prefill_tokens)
        if engine.zone != self._board.zone:
            prefill_ms += CROSS_ZONE_MS
        wait_ms = self._board.predict_prefill_wait_ms(engine)
        return _PrefillPrediction(
            engine.name, engine.zone, wait_ms, prefill_ms, prefill_tokens
        )

    def _predict_decode_wait_ms(
        self, work: ModelWork, engine: EngineState, zone: str
    ) -> float:
        """
        Return the wait at a generator.

        :param zone: availability zone of the engine that reads the prompt
        """
        wait_ms = self._board.predict_decode_wait_ms(
            engine, estimate_kv_tokens(work)
        )
        return wait_ms + CROSS_ZONE_MS * (engine.zone != zone)


class _PrefillPrediction(msgspec.Struct, frozen=True):
    engine: str
    zone: str
    wait_ms: float
    prefill_ms: float
    prefill_tokens: int


def _prefill_ms(reading: _PrefillPrediction) -> float:
    return reading.prefill_ms


def select_stream_engines(generators: list[EngineState]) -> list[EngineState]:
    """
    Return the generators that are kept free of long prompts.

    All instances choose the same ones. Steady engines come first, as a stream
    breaks off where a reclaimable engine is taken away.
    """
    ranked = sorted(
        generators,
        key=lambda engine: (engine.is_cheap, fast_hash(engine.name)),
    )
    return ranked[: max(1, round(STREAM_ENGINE_SHARE * len(ranked)))]


def estimate_kv_tokens(work: ModelWork) -> int:
    """Return the tokens that a run holds in its engine's memory."""
    output = work.likely_output_tokens or DEFAULT_OUTPUT_TOKENS
    return work.prompt_tokens + output // 2


def compute_engine_urgency(work: ModelWork, rank: int) -> int:
    """
    Return how urgent a request is to its engine, 0 for the most urgent.

    Engines preempt the least urgent when their memory is full. A short prompt
    frees next to nothing and its stream would stall, so it goes first.
    """
    if work.prompt_tokens < MIN_HANDOFF_TOKENS:
        return 0
    return max(1, rank)


def estimate_engine_ms(work: ModelWork) -> float:
    """Return how long a request keeps an engine busy, roughly."""
    output = work.likely_output_tokens or work.most_output_tokens
    return (
        count_uncached_tokens(work) / DEFAULT_PREFILL_TOKENS_PER_MS
        + output * OUTPUT_TOKEN_MS
    )


def count_shared_tokens(work: ModelWork) -> int:
    """Return the tokens of a prompt's first part, which most requests share."""
    return work.parts[0].tokens if len(work.parts) > 1 else 0


def count_uncached_tokens(work: ModelWork) -> int:
    """
    Return the prompt tokens that any engine has to read.

    The first part is shared by so many requests that all engines hold it.
    """
    return max(1, work.prompt_tokens - count_shared_tokens(work))


def count_prefill_tokens(work: ModelWork, engine: EngineState) -> int:
    """Return the prompt tokens that one engine has to read."""
    kept = engine.prefix_cache.count_cached_tokens(work.parts)
    return max(1, work.prompt_tokens - max(kept, count_shared_tokens(work)))
