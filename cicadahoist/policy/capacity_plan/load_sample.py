"""Load in flight at all engines of a service at one moment."""

from collections.abc import Iterable

import msgspec

from cicadahoist.policy.engine_board import (
    DECODE,
    DECODE_PREFILL_SHARE,
    EngineBoard,
)


class LoadSample(msgspec.Struct, frozen=True, kw_only=True):
    """
    Load in flight at all engines of a service.

    :param busy_prefill_count: engines with prompts before or in their prefill;
        those that decode count by the share of their time for prefill
    :param prefill_work_ms: time that one engine needs for these prompts
    :param run_count: slots taken by runs, those that wait included
    :param kv_tokens: KV cache tokens of these runs
    """

    busy_prefill_count: float = 0
    prefill_work_ms: float = 0
    run_count: float = 0
    kv_tokens: float = 0

    @classmethod
    def of_board(cls, board: EngineBoard, names: Iterable[str]) -> 'LoadSample':
        """
        Return the load of this instance and its peers.

        :param names: engines, those that get no new work included
        """
        busy_count = 0.0
        work_ms = 0.0
        run_count = 0
        kv_tokens = 0
        for engine in filter(None, map(board.get, names)):
            share = DECODE_PREFILL_SHARE if engine.role == DECODE else 1
            tokens = board.count_prefill_tokens(engine)
            busy_count += share * (tokens > 0)
            work_ms += share * tokens / engine.prefill_tokens_per_ms
            run_count += board.count_runs(engine)
            kv_tokens += board.count_kv_tokens(engine)
        return cls(
            busy_prefill_count=busy_count,
            prefill_work_ms=work_ms,
            run_count=run_count,
            kv_tokens=kv_tokens,
        )

    def scale(self, factor: float) -> 'LoadSample':
        """Return the sample as if a multiple of the load were in flight."""
        return LoadSample(
            busy_prefill_count=factor * self.busy_prefill_count,
            prefill_work_ms=factor * self.prefill_work_ms,
            run_count=factor * self.run_count,
            kv_tokens=factor * self.kv_tokens,
        )

    @property
    def is_empty(self) -> bool:
        """Whether nothing is in flight."""
        return not (self.busy_prefill_count or self.run_count)
