"""
Placement of requests: which engines run the prefill and the decode.

A long prompt may be split: one engine runs the prefill and hands its KV cache
over to another one, which decodes.
"""

from collections.abc import Callable
from functools import partial

import msgspec

from cicadahoist.ids import fast_hash
from cicadahoist.policy.balancing.engine_sample import EngineSample
from cicadahoist.policy.engine_board import (
    DECODE,
    DEFAULT_PREFILL_TOKENS_PER_MS,
    PREFILL,
    EngineBoard,
    EngineState,
)
from cicadahoist.requests import ModelWork

Sample = Callable[[list[EngineState]], list[EngineState]]

NONE_TRIED: frozenset[str] = frozenset()
NONE_BARRED: frozenset[str] = frozenset()
# For shorter prompts, prefill on the decode engine is faster than a handoff.
MIN_HANDOFF_TOKENS = 600
# Time to transfer a prompt's KV cache and to start on the decode engine.
HANDOFF_MS = 4.0
CROSS_ZONE_MS = 1.5
# Engines that are compared for one request. Loads are some ms out of date: if
# all instances compared all engines, they would choose the same one at once.
SAME_ZONE_SAMPLE_COUNT = 2
OTHER_ZONE_SAMPLE_COUNT = 1
# Engines that cache parts of the prompt are compared in addition.
MAX_CACHE_HOLDERS = 2
# A long prompt is left unsplit only if its first token is earlier by more than
# this.
MIN_DECODE_ONLY_GAIN_MS = 40.0
# Share of the decode engines that get no long prompts: prefill of one slows
# each decode step down, so that streams pause for longer than callers accept.
STREAM_ENGINE_SHARE = 0.67
DEFAULT_OUTPUT_TOKENS = 100
# Share of a decode step for one of about ten running requests.
OUTPUT_TOKEN_MS = 0.1


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """
    Engines for one request.

    :param prefill_engine: engine that runs the prefill, none if the decode
        engine does
    :param decode_engine: engine that runs the decode
    :param first_token_ms: predicted time to the first token
    :param wait_ms: part of it that is spent waiting for other requests
    :param prefill_ms: predicted time until the end of the prefill
    :param prefill_tokens: prompt tokens that are not cached at the engine
    :param prefill_slowness: slowness of the prefill engine in the prediction
    :param handoff_ms: predicted time from the end of the prefill to the first
        token, 0 without a prefill engine
    """

    prefill_engine: str | None
    decode_engine: str
    first_token_ms: float
    wait_ms: float
    prefill_ms: float
    prefill_tokens: int
    prefill_slowness: float = 1
    handoff_ms: float = 0


class Placer:
    """
    Chooses engines by the predicted time to the first token.

    :param board: engines of the service and their load
    :param level_sample: draws engines where the slots of the service are few,
        none where they are not
    """

    __slots__ = ('_board', '_level_sample')

    def __init__(
        self, board: EngineBoard, level_sample: EngineSample | None = None
    ) -> None:
        self._board = board
        self._level_sample = level_sample

    def place(
        self,
        work: ModelWork,
        now_ms: int,
        tried: frozenset[str] = NONE_TRIED,
        sample_key: str | None = None,
        version: str | None = None,
        barred: frozenset[str] = NONE_BARRED,
        *,
        avoids_full: bool = False,
    ) -> Placement | None:
        """
        Return the engines for a request, or none if no decode engine is left.

        Prefill and decode run at one software version: what two versions write
        does not fit together.

        :param tried: engines to exclude
        :param sample_key: text that differs between requests and draws the
            sample of engines to compare, none to compare all
        :param version: software version at which the request has to run, none
            for any
        :param barred: software versions at which it may not run
        :param avoids_full: whether decode engines without a free slot get long
            prompts only if all are full
        """
        sample = partial(self._sample, sample_key, now_ms)
        versions = self._board.versions if version is None else [version]
        placements = [
            placement
            for version in versions
            if version not in barred
            and (
                placement := self._place_at(
                    version,
                    work,
                    now_ms,
                    tried,
                    sample,
                    avoids_full=avoids_full,
                )
            )
        ]
        return min(placements, key=_first_token_ms, default=None)

    def _place_at(
        self,
        version: str,
        work: ModelWork,
        now_ms: int,
        tried: frozenset[str],
        sample: Sample,
        *,
        avoids_full: bool,
    ) -> Placement | None:
        prefill_engines = self._list_untried(PREFILL, version, now_ms, tried)
        decode_engines = self._list_untried(DECODE, version, now_ms, tried)
        if not decode_engines:
            return None
        stream_engines = select_stream_engines(decode_engines)
        other_engines = [
            engine for engine in decode_engines if engine not in stream_engines
        ]
        if work.prompt_tokens < MIN_HANDOFF_TOKENS:
            return self._place_short(
                work, stream_engines, other_engines, sample
            )
        if avoids_full:
            # A slot that a stream holds is free only after seconds.
            decode_engines = self._filter_free(decode_engines) or decode_engines
        return self._add_bias(
            self._place_long(
                work, prefill_engines, decode_engines, other_engines, sample
            )
        )

    def _add_bias(self, placement: Placement) -> Placement:
        """Add the median error of past predictions to a prediction."""
        first_ms = (
            placement.first_token_ms + self._board.prediction_bias.median_ms
        )
        return msgspec.structs.replace(placement, first_token_ms=first_ms)

    def _place_long(
        self,
        work: ModelWork,
        prefill_engines: list[EngineState],
        decode_engines: list[EngineState],
        other_engines: list[EngineState],
        sample: Sample,
    ) -> Placement:
        """
        Place a long prompt, whose answer is usually short.

        :param other_engines: decode engines outside the stream engines
        """
        if not prefill_engines:
            return self._place_unsplit(work, sample(decode_engines))
        compared = self._add_cache_holders(
            work, sample(prefill_engines), prefill_engines
        )
        split = self._place_split(work, compared, sample(decode_engines))
        if not other_engines:
            return split
        unsplit = self._place_unsplit(work, sample(other_engines))
        if (
            split.first_token_ms
            <= unsplit.first_token_ms + MIN_DECODE_ONLY_GAIN_MS
        ):
            return split
        return unsplit

    def _list_untried(
        self, role: str, version: str, now_ms: int, tried: frozenset[str]
    ) -> list[EngineState]:
        engines = self._board.list_available(role, version, now_ms)
        untried = [engine for engine in engines if engine.name not in tried]
        if untried or self._level_sample is None:
            return untried
        # A rejection says that the slots were taken then; some are free soon.
        engines = self._board.list_available(
            role, version, now_ms, has_backoffs=False
        )
        return [engine for engine in engines if engine.name not in tried]

    def _place_short(
        self,
        work: ModelWork,
        stream_engines: list[EngineState],
        other_engines: list[EngineState],
        sample: Sample,
    ) -> Placement:
        """Place a short prompt, whose answer is usually a long stream."""
        free_engines = self._filter_free(stream_engines)
        if not free_engines:
            # Streams hold their slots for seconds, so a request that waits for
            # one is late.
            free_engines = self._filter_free(other_engines) or stream_engines
        return self._place_unsplit(work, sample(free_engines))

    def _filter_free(self, engines: list[EngineState]) -> list[EngineState]:
        return [
            engine
            for engine in engines
            if self._board.count_runs(engine) < engine.slots
        ]

    def _sample(
        self, sample_key: str | None, now_ms: int, engines: list[EngineState]
    ) -> list[EngineState]:
        """
        Return a sample of engines, most of them in the own zone.

        Where slots are few, it is one engine, drawn by shares that level the
        load.
        """
        if sample_key is None:
            return engines
        if self._level_sample is not None:
            return [self._level_sample.draw(engines, sample_key, now_ms)]
        ranked = sorted(
            engines, key=lambda engine: fast_hash(sample_key + engine.name)
        )
        same_zone = [
            engine for engine in ranked if engine.zone == self._board.zone
        ]
        other_zone = [
            engine for engine in ranked if engine.zone != self._board.zone
        ]
        same_zone_count = min(len(same_zone), SAME_ZONE_SAMPLE_COUNT)
        other_zone_count = min(
            len(other_zone),
            SAME_ZONE_SAMPLE_COUNT + OTHER_ZONE_SAMPLE_COUNT - same_zone_count,
        )
        same_zone_count = (
            SAME_ZONE_SAMPLE_COUNT + OTHER_ZONE_SAMPLE_COUNT - other_zone_count
        )
        return same_zone[:same_zone_count] + other_zone[:other_zone_count]

    def _add_cache_holders(
        self,
        work: ModelWork,
        sample: list[EngineState],
        engines: list[EngineState],
    ) -> list[EngineState]:
        """Put the engines that cache most of a prompt before the sample."""
        sampled_tokens = max(
            engine.prefix_cache.count_cached_tokens(work.parts)
            for engine in sample
        )
        holders = [
            engine
            for engine in engines
            if engine.prefix_cache.count_cached_tokens(work.parts)
            > sampled_tokens
        ]
        holders.sort(
            key=lambda engine: engine.prefix_cache.count_cached_tokens(
                work.parts
            ),
            reverse=True,
        )
        rest = [engine for engine in sample if engine not in holders]
        return holders[:MAX_CACHE_HOLDERS] + rest

    def _place_unsplit(
        self, work: ModelWork, decode_engines: list[EngineState]
    ) -> Placement:
        tokens = estimate_kv_tokens(work)
        predicted = [
            self._board.predict_first_token_ms(
                engine, count_prefill_tokens(work, engine)
            )
            + self._board.predict_decode_wait_ms(engine, tokens)
            for engine in decode_engines
        ]
        best_ms = min(predicted)
        best = decode_engines[predicted.index(best_ms)]
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
        prefill_engines: list[EngineState],
        decode_engines: list[EngineState],
    ) -> Placement:
        prefill = min(
            (self._predict_prefill(work, engine) for engine in prefill_engines),
            key=_prefill_ms,
        )
        waits = [
            self._predict_decode_wait_ms(work, engine, prefill.zone)
            for engine in decode_engines
        ]
        wait_ms = min(waits)
        decode_engine = decode_engines[waits.index(wait_ms)].name
        return Placement(
            prefill_engine=prefill.engine,
            decode_engine=decode_engine,
            first_token_ms=prefill.prefill_ms + HANDOFF_MS + wait_ms,
            wait_ms=prefill.wait_ms + wait_ms,
            prefill_ms=prefill.prefill_ms,
            prefill_tokens=prefill.prefill_tokens,
            prefill_slowness=prefill.slowness,
            handoff_ms=HANDOFF_MS + wait_ms,
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
            engine.name,
            engine.zone,
            wait_ms,
            prefill_ms,
            prefill_tokens,
            engine.slowness,
        )

    def _predict_decode_wait_ms(
        self, work: ModelWork, engine: EngineState, zone: str
    ) -> float:
        """
        Return the wait at a decode engine, the transfer between zones included.

        :param zone: availability zone of the prefill engine
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
    slowness: float


def _first_token_ms(placement: Placement) -> float:
    return placement.first_token_ms


def _prefill_ms(prefill: _PrefillPrediction) -> float:
    return prefill.prefill_ms


def select_stream_engines(
    decode_engines: list[EngineState],
) -> list[EngineState]:
    """
    Return the decode engines that get no long prompts.

    All instances select the same ones. Engines that are not reclaimable come
    first, because a stream breaks when its engine is reclaimed.
    """
    ranked = sorted(
        decode_engines,
        key=lambda engine: (engine.is_cheap, fast_hash(engine.name)),
    )
    return ranked[: max(1, round(STREAM_ENGINE_SHARE * len(ranked)))]


def estimate_kv_tokens(work: ModelWork) -> int:
    """Return the KV cache tokens of a request, half of its output included."""
    output = work.estimated_output_tokens or DEFAULT_OUTPUT_TOKENS
    return work.prompt_tokens + output // 2


def compute_engine_urgency(work: ModelWork, rank: int) -> int:
    """
    Return the urgency that is sent to the engine, 0 for the most urgent.

    An engine with full memory preempts the least urgent requests. Preempting a
    short prompt frees next to no memory and stalls its stream, so that short
    prompts are the most urgent.

    :param rank: urgency by priority, 0 for the most urgent
    """
    if work.prompt_tokens < MIN_HANDOFF_TOKENS:
        return 0
    return max(1, rank)


def estimate_engine_ms(work: ModelWork) -> float:
    """Return an estimate of how long a request keeps an engine busy."""
    output = work.estimated_output_tokens or work.max_output_tokens
    return (
        count_uncached_tokens(work) / DEFAULT_PREFILL_TOKENS_PER_MS
        + output * OUTPUT_TOKEN_MS
    )


def count_shared_tokens(work: ModelWork) -> int:
    """Return the tokens of the first prompt part, which most requests share."""
    return work.parts[0].tokens if len(work.parts) > 1 else 0


def count_uncached_tokens(work: ModelWork) -> int:
    """
    Return the prompt tokens that are read where requests meet their parts.

    The first part is one that other requests share.
    """
    return max(1, work.prompt_tokens - count_shared_tokens(work))


def count_prefill_tokens(work: ModelWork, engine: EngineState) -> int:
    """Return the prompt tokens that an engine does not have cached."""
    cached_tokens = engine.prefix_cache.count_cached_tokens(work.parts)
    return max(1, work.prompt_tokens - cached_tokens)
