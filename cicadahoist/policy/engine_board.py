"""Load of engines in prompt tokens, and the time to a first token."""

from collections.abc import Iterable

import msgspec
from msgspec.structs import replace

from cicadahoist.policy.answer_watch import AnswerWatch
from cicadahoist.policy.health import TargetHealth
from cicadahoist.policy.part_cache import PartCache
from cicadahoist.policy.peer_loads import InFlightLoad, PeerLoads
from cicadahoist.policy.prediction_bias import PredictionBias
from cicadahoist.requests import PromptPart

# Prompt tokens that an engine reads in a ms, until its own speed is known:
# the slowest of the deployments' sheets.
DEFAULT_PREFILL_TOKENS_PER_MS = 310.0
# Decode engines read prompts between the tokens of running requests.
DECODE_PREFILL_SHARE = 0.5
# Time from sending to the first token beside reading and waiting.
OVERHEAD_MS = 4.0
SLOWNESS_GAIN = 0.2
MAX_SLOWNESS = 20.0
MIN_SLOWNESS = 0.5
# Readings below this are dominated by overhead and tell no speed.
MIN_LEARNED_PREFILL_MS = 8.0
# Time of one step, empty and for each 1,000 tokens that it attends to: the
# figures of the deployments' sheets.
DECODE_STEP_MS = 0.7
DECODE_STEP_MS_PER_K_TOKENS = 0.003
TOKENS_PER_K = 1000
# Steps until the first event of a short answer leaves.
FIRST_EVENT_STEPS = 6
# Steps of a short answer, after which its slot and memory are free.
SHORT_ANSWER_STEPS = 80
# Memory goes by blocks, and parts that are cached yield only in time.
USABLE_MEMORY_SHARE = 0.9
PREFILL = 'prefill'
DECODE = 'decode'


class RoleClosure(msgspec.Struct, frozen=True, array_like=True):
    """
    An engine that gets no new work, as its role is being changed.

    It ends as the engine is listed with another role, whenever an instance
    learns of that, and is void where it is told later.

    :param role: the role that the engine leaves
    :param span_ms: until when, or for how long where peers are told
    """

    role: str
    expires_ms: int


class EngineState:
    """
    One engine as this instance sees it.

    :param slots: requests that it runs at once
    :param cache_tokens: tokens that its memory holds, 0 for unknown
    :param born_ms: when it started, 0 for unknown
    """

    __slots__ = (
        'born_ms',
        'cache_tokens',
        'health',
        'is_cheap',
        'name',
        'own_load',
        'prefix_cache',
        'role',
        'slots',
        'slowness',
        'zone',
    )

    def __init__(
        self,
        name: str,
        zone: str,
        role: str,
        slots: int,
        *,
        cache_tokens: int = 0,
        is_cheap: bool = False,
        born_ms: int = 0,
    ) -> None:
        self.born_ms = born_ms
        self.name = name
        self.zone = zone
        self.role = role
        self.slots = slots
        self.is_cheap = is_cheap
        self.cache_tokens = cache_tokens
        self.prefix_cache = PartCache.from_memory(cache_tokens)
        self.own_load = InFlightLoad()
        self.slowness = 1.0
        self.health = TargetHealth()

    @property
    def prefill_tokens_per_ms(self) -> float:
        """Prompt tokens that it reads in a ms."""
        share = DECODE_PREFILL_SHARE if self.role == DECODE else 1
        return DEFAULT_PREFILL_TOKENS_PER_MS * share / self.slowness

    def observe_prefill(self, predicted_ms: float, took_ms: float) -> None:
        """Learn from the time that a prompt took against its prediction."""
        if predicted_ms < MIN_LEARNED_PREFILL_MS:
            return
        seen = self.slowness * took_ms / predicted_ms
        change = SLOWNESS_GAIN * (seen - self.slowness)
        self.slowness = min(
            MAX_SLOWNESS, max(MIN_SLOWNESS, self.slowness + change)
        )


class EngineBoard:
    """
    Engines of one service, with the load of this instance and its peers.

    :param zone: availability zone of this instance
    :param answers: tells which engines are silent
    """

    __slots__ = (
        '_answers',
        '_closure_by_engine',
        '_engines_by_name',
        'peer_loads',
        'prediction_bias',
        'zone',
    )

    def __init__(self, zone: str, answers: AnswerWatch | None = None) -> None:
        self.zone = zone
        self._answers = answers or AnswerWatch()
        self._engines_by_name: dict[str, EngineState] = {}
        self.peer_loads = PeerLoads()
        # Of predictions for long prompts.
        self.prediction_bias = PredictionBias()
        self._closure_by_engine: dict[str, RoleClosure] = {}

    def sync(self, engines: Iterable[EngineState]) -> None:
        """Take over a list of engines, keeping what is known of each."""
        kept: dict[str, EngineState] = {}
        for listed in engines:
            known = self._engines_by_name.get(listed.name)
            if known is None or known.born_ms != listed.born_ms:
                # One that started again holds and runs nothing of before.
                kept[listed.name] = listed
                continue
            if known.role != listed.role:
                known.role = listed.role
                known.slowness = 1.0
            kept[listed.name] = known
        self._engines_by_name = kept

    def list_available(self, role: str, now_ms: int) -> list[EngineState]:
        """Return the engines of a role, suspect ones only if all are."""
        engines = [
            engine
            for engine in self._engines_by_name.values()
            if engine.role == role and not self._is_closed(engine, now_ms)
        ]
        return [
            engine for engine in engines if self._is_healthy(engine, now_ms)
        ] or engines

    def _is_closed(self, engine: EngineState, now_ms: int) -> bool:
        closure = self._closure_by_engine.get(engine.name)
        if closure is None:
            return False
        return closure.role == engine.role and closure.expires_ms > now_ms

    def _is_healthy(self, engine: EngineState, now_ms: int) -> bool:
        if not engine.health.compute_usable_share(now_ms):
            return False
        return not self._answers.is_silent(engine.name, now_ms)

    def close_role(self, engine: str, role: str, until_ms: int) -> None:
        """Send no new work to an engine that is leaving a role."""
        self._closure_by_engine[engine] = RoleClosure(role, until_ms)

    def list_closures(self, now_ms: int) -> dict[str, RoleClosure]:
        """Return the engines that are closed, and for how long."""
        self._closure_by_engine = {
            name: closure
            for name, closure in self._closure_by_engine.items()
            if name in self._engines_by_name
            and self._is_closed(self._engines_by_name[name], now_ms)
        }
        return {
            name: RoleClosure(closure.role, closure.expires_ms - now_ms)
            for name, closure in self._closure_by_engine.items()
        }

    def get(self, name: str) -> EngineState | None:
        """Return an engine, or none."""
        return self._engines_by_name.get(name)

    def record_prefill(self, name: str, parts: tuple[PromptPart, ...]) -> None:
        """Take note that an engine reads a prompt and will keep its parts."""
        engine = self._engines_by_name.get(name)
        if engine is not None:
            engine.prefix_cache.record_prompt(parts)

    def snapshot_own_load(self) -> dict[str, InFlightLoad]:
        """Return what this instance has in flight at busy engines."""
        return {
            engine.name: replace(engine.own_load)
            for engine in self._engines_by_name.values()
            if engine.own_load.prefill_tokens or engine.own_load.run_count
        }

    def count_prefill_tokens(self, engine: EngineState) -> int:
        """Return the prompt tokens in flight at an engine."""
        return (
            engine.own_load.prefill_tokens
            + self.peer_loads.get_total(engine.name).prefill_tokens
        )

    def count_runs(self, engine: EngineState) -> int:
        """Return the requests in flight at an engine."""
        return (
            engine.own_load.run_count
            + self.peer_loads.get_total(engine.name).run_count
        )

    def count_kv_tokens(self, engine: EngineState) -> int:
        """Return the tokens that runs in flight hold at an engine."""
        return (
            engine.own_load.kv_tokens
            + self.peer_loads.get_total(engine.name).kv_tokens
        )

    def predict_decode_wait_ms(self, engine: EngineState, tokens: int) -> float:
        """
        Return how long a run waits for a slot and memory, and its first step.

        :param tokens: tokens that it will hold
        """
        runs = self.count_runs(engine)
        held = self.count_kv_tokens(engine)
        step_ms = engine.slowness * (
            DECODE_STEP_MS + DECODE_STEP_MS_PER_K_TOKENS * held / TOKENS_PER_K
        )
        over = max(0, runs + 1 - engine.slots) / engine.slots
        if engine.cache_tokens:
            room = engine.cache_tokens * USABLE_MEMORY_SHARE
            over = max(over, (held + tokens - room) / room)
        return step_ms * (FIRST_EVENT_STEPS + max(0, over) * SHORT_ANSWER_STEPS)

    def predict_prefill_wait_ms(self, engine: EngineState) -> float:
        """Return the time until an engine has read what it was sent."""
        return self.count_prefill_tokens(engine) / engine.prefill_tokens_per_ms

    def predict_first_token_ms(self, engine: EngineState, tokens: int) -> float:
        """Return the time until an engine has read a prompt sent now."""
        return (
            self.count_prefill_tokens(engine) + tokens
        ) / engine.prefill_tokens_per_ms + OVERHEAD_MS
