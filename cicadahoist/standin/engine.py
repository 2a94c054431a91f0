"""State of the engine stand-in."""

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
    name_blocks,
)
from cicadahoist.standin.engine_orders import OrderBook
from cicadahoist.standin.tokens import prompt_digest

MAX_ATTEMPTS = 20_000
BYTES_PER_TOKEN = 4


class EngineOptions(msgspec.Struct, frozen=True, kw_only=True):
    """
    Options of an engine.

    :param models: models that are loaded at the start
    :param fencing: whether orders with a stale fencing token are refused
    :param cache_blocks: capacity of the prefix cache in blocks
    :param load_lag_ms: age in ms at which a load report is replaced
    :param event_lag_ms: time in ms until a cache event is published
    :param event_gap: every n-th cache event is never published, 0 for none
    :param role_change_ms: time in ms that the engine is unavailable during a
        change of role
    :param weight_load_ms: time in ms to load a model, adapter or version
    :param limits: capacity of the batch
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
    Engine that generates deterministic tokens in timed steps.

    :param options: options of the engine
    :param clock: clock for steps, load reports and orders
    """

    __slots__ = (
        '_batch',
        '_clock',
        '_jobs_by_attempt',
        '_load_report',
        '_load_report_ms',
        '_timer',
        'cache',
        'cut_job_count',
        'fetch_weights',
        'handles',
        'options',
        'orders',
        'request_count_by_attempt',
        'stalled_until_ms',
    )

    def __init__(self, options: EngineOptions, clock: Clock) -> None:
        self.options = options
        self.fetch_weights: Callable[[EngineOrder], Deferred[None]] = (
            _skip_fetch
        )
        self.orders = OrderBook(list(options.models), fencing=options.fencing)
        self.cache = PrefixCache(
            options.cache_blocks, options.event_lag_ms, options.event_gap
        )
        self.handles = KvHandles()
        self.request_count_by_attempt: Counter[str] = Counter()
        self.cut_job_count = 0
        self.stalled_until_ms: float = 0
        self._clock = clock
        self._batch = Batch(options.limits)
        self._jobs_by_attempt: OrderedDict[str, Job] = OrderedDict()
        self._timer: Timer | None = None
        self._load_report = self._measure_load()
        self._load_report_ms = clock.now_ms()

    @property
    def prefilled_tokens(self) -> int:
        """Prompt tokens that prefill processed, cached ones excluded."""
        return self._batch.prefilled_tokens

    def start_job(
        self,
        body: CompletionBody,
        attempt: str,
        priority: int,
        emit: Callable[[Job], None],
    ) -> Job:
        """
        Queue a request.

        :param body: body of the request
        :param attempt: identifier of the request
        :param priority: scheduling priority, 0 is the most urgent
        :param emit: called with the job after each output token
        :return: the job, already finished if no output token is left
        """
        prompt = body.prompt_text
        blocks = name_blocks(prompt)
        prompt_tokens = max(1, len(prompt.encode()) // BYTES_PER_TOKEN)
        digest = prompt_digest(body.model, prompt)
        cached_tokens = self.cache.count_cached_tokens(blocks)
        if body.kv_handle and self.handles.find(body.kv_handle) == digest:
            cached_tokens = prompt_tokens + body.resume_from
        job = Job(
            attempt,
            digest,
            prompt_tokens,
            max(0, prompt_tokens + body.resume_from - cached_tokens),
            emitted_tokens=body.resume_from,
            max_output_tokens=body.max_output_tokens,
            priority=priority,
            emit=emit,
        )
        self.request_count_by_attempt[attempt] += 1
        self._remember_job(job)
        if job.emitted_tokens >= job.max_output_tokens:
            job.state = JobState.finished
            return job
        self.cache.store(blocks, self._clock.now_ms())
        self._batch.add(job)
        self._schedule_step()
        return job

    def cancel(self, attempt: str) -> None:
        """Cancel a request if it is still open."""
        job = self._jobs_by_attempt.get(attempt)
        if job is not None:
            self._batch.end(job, JobState.cancelled)

    def read_state(self, attempt: str) -> AttemptState:
        """Return the state of a request, ``absent`` if it is unknown."""
        job = self._jobs_by_attempt.get(attempt)
        if job is None:
            return AttemptState('absent')
        return AttemptState(job.state.value, job.emitted_tokens)

    def export_kv(self, attempt: str) -> str:
        """Return a handle to the KV cache of a request, empty if unknown."""
        job = self._jobs_by_attempt.get(attempt)
        if job is None:
            return ''
        handle = f'{self.options.name}-{attempt}'
        self.handles.store(handle, job.digest)
        return handle

    def report_load(self) -> EngineLoad:
        """Return the current load report, which lags behind the load."""
        now_ms = self._clock.now_ms()
        age_ms = now_ms - self._load_report_ms
        report = msgspec.structs.replace(self._load_report, age_ms=age_ms)
        if age_ms >= self.options.load_lag_ms:
            self._load_report = self._measure_load()
            self._load_report_ms = now_ms
        return report

    def list_cache_events(self, after: int) -> CacheEvents:
        """Return the published cache events after a sequence number."""
        return self.cache.list_events(after, self._clock.now_ms())

    def list_open_jobs(self) -> list[Job]:
        """Return the queued and running requests."""
        return self._batch.list_jobs()

    def execute_order(self, order: EngineOrder) -> list[Job]:
        """
        Execute an order.

        :return: the requests that a change of role aborts
        """
        self.orders.begin(order)
        if order.kind == 'drain':
            return []
        if order.kind != 'role':
            self._clock.call_later(
                self.options.weight_load_ms, self._fetch_weights, order
            )
            return []
        self._clock.call_later(self.options.role_change_ms, self._finish_order)
        self.cache.clear(self._clock.now_ms())
        cut = self._batch.list_jobs()
        self.cut_job_count += len(cut)
        return cut

    def _fetch_weights(self, order: EngineOrder) -> None:
        fetched = self.fetch_weights(order)
        fetched.addBoth(lambda _: self._finish_order())

    def _finish_order(self) -> None:
        self.orders.finish()
        self._batch.role = self.orders.role

    def _remember_job(self, job: Job) -> None:
        self._jobs_by_attempt[job.attempt] = job
        if len(self._jobs_by_attempt) > MAX_ATTEMPTS:
            self._jobs_by_attempt.popitem(last=False)

    def _measure_load(self) -> EngineLoad:
        jobs = self._batch.list_jobs()
        return EngineLoad(
            age_ms=0,
            role=self.orders.role,
            running=self._batch.count_running(),
            queued=self._batch.count_queued(),
            prefill_tokens=sum(job.prefill_left_tokens for job in jobs),
            decode_tokens=sum(
                job.max_output_tokens - job.emitted_tokens for job in jobs
            ),
            kv_used=self._batch.kv_used,
            kv_total=self.options.limits.kv_total,
            models=self.orders.models,
            draining=self.orders.is_draining,
        )

    def _schedule_step(self) -> None:
        if self._timer is None:
            self._timer = self._clock.call_later(
                self.options.limits.step_ms, self._step, self._clock.now_ms()
            )

    def _step(self, started_ms: int) -> None:
        self._timer = None
        if self._clock.now_ms() >= self.stalled_until_ms:
            self._batch.step()
        if not self._batch.is_empty():
            late_ms = self._clock.now_ms() - started_ms
            step_ms = self.options.limits.step_ms
            due_ms = started_ms + step_ms
            self._timer = self._clock.call_later(
                step_ms - max(0, late_ms - step_ms), self._step, due_ms
            )


def _skip_fetch(order: EngineOrder) -> 'Deferred[None]':
    return succeed(None)
