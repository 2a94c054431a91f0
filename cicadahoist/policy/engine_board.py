"""
Load of the engines of a service, and predicted times to the first token.

Load is counted in prompt tokens before their prefill, requests and KV cache
tokens, of this instance and its peers.
"""

from collections.abc import Iterable

import msgspec
from msgspec.structs import replace

from cicadahoist.policy.answer_watch import AnswerWatch
from cicadahoist.policy.health import TargetHealth
from cicadahoist.policy.median_ratio import MedianRatio
from cicadahoist.policy.part_cache import PartCache
from cicadahoist.policy.peer_loads import InFlightLoad, PeerLoads
from cicadahoist.policy.prediction_bias import PredictionBias
from cicadahoist.policy.rejection_backoff import RejectionBackoffs
from cicadahoist.policy.target_pauses import TargetLife, TargetPauses
from cicadahoist.policy.typical_slowness import TypicalSlowness
from cicadahoist.requests import PromptPart

# Prefill rate of an engine with slowness 1. How much slower the engines of a
# deployment are is learned.
DEFAULT_PREFILL_TOKENS_PER_MS = 310.0
# Decode engines run prefill between the decode steps of running requests.
DECODE_PREFILL_SHARE = 0.5
# Time from sending to the first token apart from prefill and waiting.
OVERHEAD_MS = 4.0
SLOWNESS_GAIN = 0.2
MAX_SLOWNESS = 20.0
MIN_SLOWNESS = 0.5
# Engines of large fleets prefill up to 1,584 tokens a ms. With the bound above,
# those of 726 count as equally fast.
LARGE_FLEET_MIN_SLOWNESS = 0.1
# Shorter prefills are mostly overhead and say nothing about the speed.
MIN_LEARNED_PREFILL_MS = 8.0
# Time of one decode step without tokens, and per 1,000 tokens of KV cache that
# it attends to, of an engine with slowness 1.
DECODE_STEP_MS = 0.7
DECODE_STEP_MS_PER_K_TOKENS = 0.003
TOKENS_PER_K = 1000
# Decode steps until the engine sends the first event of a short answer.
FIRST_EVENT_STEPS = 6
# Decode steps of a short answer, which then frees its slot and memory.
SHORT_ANSWER_STEPS = 80
# Memory is allocated in blocks, and cached prompt parts are evicted with delay.
USABLE_MEMORY_SHARE = 0.9
PREFILL = 'prefill'
DECODE = 'decode'


class RoleClosure(msgspec.Struct, frozen=True, array_like=True):
    """
    Exclusion of an engine from new work while its role is changed.

    It applies only while the engine is listed with the role that it leaves. So
    it ends when an instance learns of the new role, and a closure that a peer
    sends after that has no effect.

    :param role: the role that the engine leaves
    :param expires_ms: time at which it expires; in messages to peers, the time
        that remains
    """

    role: str
    expires_ms: int


class EngineState:
    """
    One engine: its sizes, speed, health and load of this instance.

    :param role: ``PREFILL`` or ``DECODE``
    :param slots: maximum of concurrent requests
    :param cache_tokens: capacity of its KV cache, 0 if unknown
    :param is_cheap: whether it is reclaimable
    :param started_ms: time of its start, 0 if unknown
    :param version: version of its software, empty if unknown
    """

    __slots__ = (
        'cache_tokens',
        'health',
        'is_cheap',
        '_slowness',
        'name',
        'own_load',
        'prefix_cache',
        'role',
        'slots',
        'started_ms',
        'typical_slowness',
        'version',
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
        started_ms: int = 0,
        version: str = '',
    ) -> None:
        self.version = version
        self.started_ms = started_ms
        self.name = name
        self.zone = zone
        self.role = role
        self.slots = slots
        self.is_cheap = is_cheap
        self.cache_tokens = cache_tokens
        self.prefix_cache = PartCache.from_memory(cache_tokens)
        self.own_load = InFlightLoad()
        # Learned from the prefills of this engine, none before the first one.
        self._slowness: float | None = None
        # Learned from the prefills of all engines of the service.
        self.typical_slowness = TypicalSlowness()
        self.health = TargetHealth()

    @property
    def life(self) -> TargetLife:
        """The process of the engine."""
        return TargetLife(self.name, self.started_ms)

    @property
    def slowness(self) -> float:
        """How many times slower it prefills than the default rate."""
        return self._slowness or self.typical_slowness.ratio

    @property
    def prefill_tokens_per_ms(self) -> float:
        """Prefill rate in the present role."""
        share = DECODE_PREFILL_SHARE if self.role == DECODE else 1
        return DEFAULT_PREFILL_TOKENS_PER_MS * share / self.slowness

    def observe_prefill(
        self,
        predicted_ms: float,
        took_ms: float,
        slowness: float | None = None,
        min_slowness: float = MIN_SLOWNESS,
    ) -> None:
        """
        Adapt the slowness to the time that a prefill took.

        :param predicted_ms: predicted time
        :param took_ms: measured time
        :param slowness: slowness with which it was predicted, none for the
            present one; it may have been learned since then
        :param min_slowness: lowest slowness that is learned
        """
        if predicted_ms < MIN_LEARNED_PREFILL_MS:
            return
        measured = (slowness or self.slowness) * took_ms / predicted_ms
        # The first measurement of an engine replaces the typical slowness.
        gain = SLOWNESS_GAIN if self._slowness else 1
        slowness = self.slowness + gain * (measured - self.slowness)
        self._slowness = min(MAX_SLOWNESS, max(min_slowness, slowness))
        self.typical_slowness.record(self.name, self._slowness)

    def forget_slowness(self) -> None:
        """Assume the typical slowness of the service."""
        self._slowness = None


class EngineBoard:
    """
    Engines of one service with the load of this instance and its peers.

    :param zone: availability zone of this instance
    :param answers: open attempts, which show the silent engines
    :param pauses: engines that want no requests for a while
    """

    __slots__ = (
        '_answers',
        '_closure_by_engine',
        '_engines_by_name',
        '_pauses',
        '_typical_slowness',
        'backoffs',
        'decode_slowness',
        'peer_loads',
        'prediction_bias',
        'versions',
        'zone',
    )

    def __init__(
        self,
        zone: str,
        answers: AnswerWatch | None = None,
        pauses: TargetPauses | None = None,
    ) -> None:
        self.zone = zone
        # Software versions of the engines, sorted.
        self.versions: list[str] = []
        self._answers = answers or AnswerWatch()
        self._pauses = pauses or TargetPauses()
        self._engines_by_name: dict[str, EngineState] = {}
        self.peer_loads = PeerLoads()
        # Learned from long prompts only.
        self.prediction_bias = PredictionBias()
        self._typical_slowness = TypicalSlowness()
        # Learned from the time between a handoff and the first event.
        self.decode_slowness = MedianRatio()
        self.backoffs = RejectionBackoffs()
        self._closure_by_engine: dict[str, RoleClosure] = {}

    def sync(self, engines: Iterable[EngineState]) -> None:
        """Replace the list of engines, keeping the state of known ones."""
        state_by_name: dict[str, EngineState] = {}
        for listed in engines:
            known = self._engines_by_name.get(listed.name)
            if known is None or not _is_same_process(known, listed):
                # A restarted engine has lost its cache and its requests.
                listed.typical_slowness = self._typical_slowness
                state_by_name[listed.name] = listed
                continue
            if known.role != listed.role:
                known.role = listed.role
                known.forget_slowness()
            state_by_name[listed.name] = known
        self._engines_by_name = state_by_name
        self.backoffs.retain(state_by_name)
        self._typical_slowness.retain(state_by_name)
        self.versions = sorted(
            {engine.version for engine in state_by_name.values()}
        )

    def list_available(
        self,
        role: str,
        version: str,
        now_ms: int,
        *,
        has_backoffs: bool = True,
    ) -> list[EngineState]:
        """
        Return the engines of a role, unhealthy ones only if all are.

        :param version: version of their software
        :param has_backoffs: whether engines that have rejected work are left
            out for a while
        """
        backoffs = self.backoffs if has_backoffs else RejectionBackoffs()
        engines = [
            engine
            for engine in self._engines_by_name.values()
            if engine.role == role
            and engine.version == version
            and _compute_wait_ms(
                engine,
                self._closure_by_engine.get(engine.name),
                self._pauses,
                backoffs,
                now_ms,
            )
            <= 0
        ]
        return [
            engine for engine in engines if self.is_healthy(engine, now_ms)
        ] or engines

    def compute_pause_ms(self, now_ms: int) -> int | None:
        """
        Return the time until the first decode engine takes requests again.

        :return: none unless all of them pause, are closed or have rejected work
        """
        waits_ms = [
            _compute_wait_ms(
                engine,
                self._closure_by_engine.get(engine.name),
                self._pauses,
                self.backoffs,
                now_ms,
            )
            for engine in self._engines_by_name.values()
            if engine.role == DECODE
        ]
        wait_ms = min(waits_ms, default=0)
        return wait_ms if wait_ms > 0 else None

    def is_healthy(self, engine: EngineState, now_ms: int) -> bool:
        """Return whether an engine is neither ejected nor silent."""
        if not engine.health.compute_usable_share(now_ms):
            return False
        return not self._answers.is_silent(engine.name, now_ms)

    def close_role(self, engine: str, role: str, until_ms: int) -> None:
        """
        Exclude an engine from new work until it has left a role.

        :param engine: name of the engine
        :param until_ms: time at which the closure expires
        """
        self._closure_by_engine[engine] = RoleClosure(role, until_ms)

    def list_closures(self, now_ms: int) -> dict[str, RoleClosure]:
        """
        Return the closures in force, for messages to peers.

        :return: closures by engine, with the time that remains
        """
        self._closure_by_engine = {
            name: closure
            for name, closure in self._closure_by_engine.items()
            if name in self._engines_by_name
            and _is_closed(self._engines_by_name[name], closure, now_ms)
        }
        return {
            name: RoleClosure(closure.role, closure.expires_ms - now_ms)
            for name, closure in self._closure_by_engine.items()
        }

    def get(self, name: str) -> EngineState | None:
        """Return an engine, or none if it is not listed."""
        return self._engines_by_name.get(name)

    def record_prefill(self, name: str, parts: tuple[PromptPart, ...]) -> None:
        """Record that an engine runs a prefill and caches its prompt parts."""
        engine = self._engines_by_name.get(name)
        if engine is not None:
            engine.prefix_cache.record_prompt(parts)

    def snapshot_own_load(self) -> dict[str, InFlightLoad]:
        """Return a copy of the load of this instance at busy engines."""
        return {
            engine.name: replace(engine.own_load)
            for engine in self._engines_by_name.values()
            if engine.own_load.prefill_tokens or engine.own_load.run_count
        }

    def count_prefill_tokens(self, engine: EngineState) -> int:
        """Return the prompt tokens that wait for prefill at an engine."""
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
        """Return the KV cache tokens of the requests in flight at an engine."""
        return (
            engine.own_load.kv_tokens
            + self.peer_loads.get_total(engine.name).kv_tokens
        )

    def predict_decode_wait_ms(self, engine: EngineState, tokens: int) -> float:
        """
        Return the time that a request waits for slot, memory and first event.

        :param tokens: KV cache tokens that it will hold
        """
        run_count = self.count_runs(engine)
        kv_tokens = self.count_kv_tokens(engine)
        step_ms = self.decode_slowness.ratio * (
            DECODE_STEP_MS
            + DECODE_STEP_MS_PER_K_TOKENS * kv_tokens / TOKENS_PER_K
        )
        excess_share = max(0, run_count + 1 - engine.slots) / engine.slots
        if engine.cache_tokens:
            usable_tokens = engine.cache_tokens * USABLE_MEMORY_SHARE
            excess_share = max(
                excess_share,
                (kv_tokens + tokens - usable_tokens) / usable_tokens,
            )
        return step_ms * (
            FIRST_EVENT_STEPS + max(0, excess_share) * SHORT_ANSWER_STEPS
        )

    def predict_prefill_wait_ms(self, engine: EngineState) -> float:
        """Return the time until an engine has run the prefills in flight."""
        return self.count_prefill_tokens(engine) / engine.prefill_tokens_per_ms

    def predict_first_token_ms(self, engine: EngineState, tokens: int) -> float:
        """
        Return the time to the first token of a prompt that is sent now.

        :param tokens: its prompt tokens that are not cached
        """
        return (
            self.count_prefill_tokens(engine) + tokens
        ) / engine.prefill_tokens_per_ms + OVERHEAD_MS


def _is_same_process(known: EngineState, listed: EngineState) -> bool:
    return (known.started_ms, known.version) == (
        listed.started_ms,
        listed.version,
    )


def _is_closed(
    engine: EngineState, closure: RoleClosure | None, now_ms: int
) -> bool:
    if closure is None:
        return False
    return closure.role == engine.role and closure.expires_ms > now_ms


def _compute_wait_ms(
    engine: EngineState,
    closure: RoleClosure | None,
    pauses: TargetPauses,
    backoffs: RejectionBackoffs,
    now_ms: int,
) -> int:
    """Return the time until an engine takes work, 0 or less for now."""
    end_ms = backoffs.get_end_ms(engine.name)
    if closure is not None and closure.role == engine.role:
        end_ms = max(end_ms, closure.expires_ms)
    pause_ms = pauses.compute_wait_ms([engine.life], now_ms) or 0
    return max(end_ms - now_ms, pause_ms)
