"""Engine stand-in: the state of one engine."""

from collections import Counter, OrderedDict
from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred, succeed

from cicadahoist.clock import Clock, Timer
from cicadahoist.outside.engine_messages import (
    AttemptState,
    CacheEvents,
    EngineLoad,
    EngineOrder,
)
from cicadahoist.standin.engine_answers import CompletionBody
from cicadahoist.standin.engine_batch import Batch, EngineLimits, Job, JobState
from cicadahoist.standin.engine_cache import (
    KvHandles,
    PrefixCache,
    block_names,
)
from cicadahoist.standin.engine_orders import OrderBook
from cicadahoist.standin.tokens import prompt_digest

ATTEMPTS_KEPT = 20_000
BYTES_PER_TOKEN = 4


class EngineOptions(msgspec.Struct, frozen=True, kw_only=True):
    """
    Behaviour of one engine.

    :param fencing: whether orders with an old fencing number are refused
    :param load_lag_ms: age that a load report reaches
    :param event_lag_ms: time until a cache event is published
    :param event_gap: every n-th cache event is never published, 0 for none
    :param role_change_ms: how long a change of role takes the engine away
    :param weight_load_ms: how long loading a model, adapter or version takes
    """

    name: str = 'engine-1'
    models: tuple[str, ...] = ('demo-model',)
    fencing: bool = True
    cache_blocks: int = 4096
    load_lag_ms: int = 500
    event_lag_ms: int = 300
    event_gap: int = 50
    role_change_ms: int = 3000
    weight_load_ms: int = 1000
    limits: EngineLimits = EngineLimits()


class Engine:
    """
    One engine.

    :param options: behaviour
    :param clock: times steps, reports and changes
    """

    __slots__ = (
        '_batch',
        '_clock',
        '_jobs_by_attempt',
        '_report',
        '_report_ms',
        '_timer',
        'attempts',
        'cache',
        'cut_by_order',
        'fetch_weights',
        'handles',
        'options',
        'orders',
        'stalled',
    )

    def __init__(self, options: EngineOptions, clock: Clock) -> None:
        self.options = options
        self.fetch_weights: Callable[[EngineOrder], Deferred[None]] = _no_fetch
        self.orders = OrderBook(list(options.models), fencing=options.fencing)
        self.cache = PrefixCache(
            options.cache_blocks, options.event_lag_ms, options.event_gap
        )
        self.handles = KvHandles()
        self.attempts: Counter[str] = Counter()
        self.cut_by_order = 0
        self.stalled = False
        self._clock = clock
        self._batch = Batch(options.limits)
        self._jobs_by_attempt: OrderedDict[str, Job] = OrderedDict()
        self._timer: Timer | None = None
        self._report = self._snapshot()
        self._report_ms = clock.now_ms()

    @property
    def prefilled_tokens(self) -> int:
        """Prompt tokens that were processed and not found in a cache."""
        return self._batch.prefilled_tokens

    def start(
        self,
        body: CompletionBody,
        attempt: str,
        priority: int,
        emit: Callable[[Job], None],
    ) -> Job:
        """Queue a request; ``emit`` gets each of its output tokens."""
        prompt = body.text
        blocks = block_names(prompt)
        tokens = max(1, len(prompt.encode()) // BYTES_PER_TOKEN)
        digest = prompt_digest(body.model, prompt)
        cached = self.cache.cached_tokens(blocks)
        if body.kv_handle and self.handles.find(body.kv_handle) == digest:
            cached = tokens + body.resume_from
        job = Job(
            attempt,
            digest,
            tokens,
            max(0, tokens + body.resume_from - cached),
            emitted=body.resume_from,
            limit=body.limit,
            priority=priority,
            emit=emit,
        )
        self.attempts[attempt] += 1
        self._keep(job)
        if job.emitted >= job.limit:
            job.state = JobState.finished
            return job
        self.cache.store(blocks, self._clock.now_ms())
        self._batch.add(job)
        self._wake()
        return job

    def cancel(self, attempt: str) -> None:
        """Cancel a request if it is still open."""
        job = self._jobs_by_attempt.get(attempt)
        if job is not None:
            self._batch.end(job, JobState.cancelled)

    def read_state(self, attempt: str) -> AttemptState:
        """Return what is known of a request."""
        job = self._jobs_by_attempt.get(attempt)
        if job is None:
            return AttemptState('absent')
        return AttemptState(job.state.value, job.emitted)

    def export(self, attempt: str) -> str:
        """Return a handle to the KV cache of a request, empty for none."""
        job = self._jobs_by_attempt.get(attempt)
        if job is None:
            return ''
        handle = f'{self.options.name}-{attempt}'
        self.handles.keep(handle, job.digest)
        return handle

    def load(self) -> EngineLoad:
        """Return the lagged load report."""
        now_ms = self._clock.now_ms()
        age_ms = now_ms - self._report_ms
        report = msgspec.structs.replace(self._report, age_ms=age_ms)
        if age_ms >= self.options.load_lag_ms:
            self._report = self._snapshot()
            self._report_ms = now_ms
        return report

    def cache_events(self, after: int) -> CacheEvents:
        """Return the published cache events after a sequence number."""
        return self.cache.events(after, self._clock.now_ms())

    def list_open_jobs(self) -> list[Job]:
        """Return the requests that have not ended."""
        return self._batch.jobs()

    def order(self, order: EngineOrder) -> list[Job]:
        """
        Carry an order out.

        :return: the requests that it cuts
        """
        self.orders.take(order)
        if order.kind == 'drain':
            return []
        if order.kind != 'role':
            self._clock.call_later(
                self.options.weight_load_ms, self._fetch, order
            )
            return []
        self._clock.call_later(self.options.role_change_ms, self._finish)
        self.cache.clear(self._clock.now_ms())
        cut = self._batch.jobs()
        self.cut_by_order += len(cut)
        return cut

    def _fetch(self, order: EngineOrder) -> None:
        fetched = self.fetch_weights(order)
        fetched.addBoth(lambda _: self._finish())

    def _finish(self) -> None:
        self.orders.finish()
        self._batch.role = self.orders.role

    def _keep(self, job: Job) -> None:
        self._jobs_by_attempt[job.attempt] = job
        if len(self._jobs_by_attempt) > ATTEMPTS_KEPT:
            self._jobs_by_attempt.popitem(last=False)

    def _snapshot(self) -> EngineLoad:
        jobs = self._batch.jobs()
        return EngineLoad(
            age_ms=0,
            role=self.orders.role,
            running=self._batch.running(),
            queued=self._batch.queued(),
            prefill_tokens=sum(job.prefill_left for job in jobs),
            decode_tokens=sum(job.limit - job.emitted for job in jobs),
            kv_used=self._batch.kv_used,
            kv_total=self.options.limits.kv_total,
            models=self.orders.models,
            draining=self.orders.draining,
        )

    def _wake(self) -> None:
        if self._timer is None:
            self._timer = self._clock.call_later(
                self.options.limits.step_ms, self._step, self._clock.now_ms()
            )

    def _step(self, begun_ms: int) -> None:
        self._timer = None
        if not self.stalled:
            self._batch.step()
        if not self._batch.is_empty():
            late_ms = self._clock.now_ms() - begun_ms
            step_ms = self.options.limits.step_ms
            due_ms = begun_ms + step_ms
            self._timer = self._clock.call_later(
                step_ms - max(0, late_ms - step_ms), self._step, due_ms
            )


def _no_fetch(order: EngineOrder) -> 'Deferred[None]':
    return succeed(None)
