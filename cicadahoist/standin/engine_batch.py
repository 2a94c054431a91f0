"""Continuous batching in the engine stand-in."""

from bisect import insort
from collections.abc import Callable
from enum import Enum

import msgspec

PREFILL_SHARE_BY_ROLE = {  # noqa: WPS407
    'mixed': 0.5,
    'prefill': 1.0,
    'decode': 0.1,
}


class EngineLimits(msgspec.Struct, frozen=True, kw_only=True):
    """
    Capacity of an engine.

    :param step_ms: duration of one step in ms
    :param token_budget: tokens that one step processes, prefill and decode
    :param max_running: maximum number of requests in the batch
    :param kv_total: size of the KV cache in tokens
    """

    step_ms: int = 10
    token_budget: int = 2048
    max_running: int = 512
    kv_total: int = 1_000_000


class JobState(Enum):
    """State of a job."""

    queued = 'queued'
    running = 'running'
    finished = 'finished'
    cancelled = 'cancelled'


class Job:
    """
    Request in the queue or batch of an engine.

    :param attempt: identifier of the request, set by the caller
    :param digest: hash that determines the output tokens
    :param prompt_tokens: length of the prompt
    :param prefill_left_tokens: prompt tokens that still need prefill
    :param emitted_tokens: number of output tokens so far, resumed ones
        included
    :param max_output_tokens: number of output tokens of the whole answer
    :param priority: scheduling priority, 0 is the most urgent
    :param emit: callback for each output token
    """

    __slots__ = (
        'arrival_number',
        'attempt',
        'digest',
        'emit',
        'emitted_tokens',
        'max_output_tokens',
        'prefill_left_tokens',
        'priority',
        'prompt_tokens',
        'state',
    )

    def __init__(
        self,
        attempt: str,
        digest: int,
        prompt_tokens: int,
        prefill_left_tokens: int,
        *,
        emitted_tokens: int,
        max_output_tokens: int,
        priority: int,
        emit: Callable[['Job'], None],
    ) -> None:
        self.attempt = attempt
        self.digest = digest
        self.prompt_tokens = prompt_tokens
        self.prefill_left_tokens = prefill_left_tokens
        self.emitted_tokens = emitted_tokens
        self.max_output_tokens = max_output_tokens
        self.priority = priority
        self.emit = emit
        self.state = JobState.queued
        self.arrival_number = 0

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key of scheduling: by priority, then by arrival."""
        return (self.priority, self.arrival_number)

    @property
    def kv_tokens(self) -> int:
        """KV cache that prompt and whole answer occupy, in tokens."""
        return self.prompt_tokens + self.max_output_tokens


class Batch:
    """
    Queue and running batch of an engine.

    :param limits: capacity of the engine
    """

    __slots__ = (
        '_decoding',
        '_job_count',
        '_limits',
        '_prefilling',
        '_queue',
        'kv_used',
        'prefilled_tokens',
        'role',
    )

    def __init__(self, limits: EngineLimits) -> None:
        self.role = 'mixed'
        self.kv_used = 0
        self.prefilled_tokens = 0
        self._limits = limits
        self._job_count = 0
        self._queue: list[Job] = []
        self._prefilling: list[Job] = []
        self._decoding: list[Job] = []

    def add(self, job: Job) -> None:
        """Queue a job."""
        self._job_count += 1
        job.arrival_number = self._job_count
        insort(self._queue, job, key=_rank)

    def list_jobs(self) -> list[Job]:
        """Return all queued and running jobs."""
        return [*self._queue, *self._prefilling, *self._decoding]

    def is_empty(self) -> bool:
        """Return whether no job is queued or running."""
        return not (self._queue or self._prefilling or self._decoding)

    def count_running(self) -> int:
        """Return the number of jobs in the running batch."""
        return len(self._prefilling) + len(self._decoding)

    def count_queued(self) -> int:
        """Return the number of queued jobs."""
        return len(self._queue)

    def end(self, job: Job, state: JobState) -> None:
        """Remove a job and release its KV cache; an ended one is ignored."""
        if job.state in _ENDED:
            return
        if job.state is JobState.running:
            self.kv_used -= job.kv_tokens
        job.state = state
        for jobs in (self._queue, self._prefilling, self._decoding):
            if job in jobs:
                jobs.remove(job)

    def step(self) -> None:
        """
        Run one step: admit jobs, then spend the token budget.

        Decoding takes one token per job; prefill gets the rest, bounded by the
        share of the role while jobs decode.
        """
        self._admit()
        budget = self._limits.token_budget
        decoding = self._decoding[:budget]
        self._prefill(budget - len(decoding))
        for job in decoding:
            self._decode(job)

    def _admit(self) -> None:
        while self._queue and self.count_running() < self._limits.max_running:
            job = self._queue[0]
            if self.kv_used + job.kv_tokens > self._limits.kv_total:
                return
            self._queue.pop(0)
            self.kv_used += job.kv_tokens
            job.state = JobState.running
            insort(self._prefilling, job, key=_rank)

    def _prefill(self, budget: int) -> None:
        remaining = budget
        if self._decoding:
            share = PREFILL_SHARE_BY_ROLE[self.role]
            remaining = min(remaining, round(self._limits.token_budget * share))
        while self._prefilling:
            job = self._prefilling[0]
            processed = min(remaining, job.prefill_left_tokens)
            job.prefill_left_tokens -= processed
            remaining -= processed
            self.prefilled_tokens += processed
            if job.prefill_left_tokens:
                return
            self._prefilling.pop(0)
            insort(self._decoding, job, key=_rank)

    def _decode(self, job: Job) -> None:
        if job.state is not JobState.running:
            return
        job.emitted_tokens += 1
        if job.emitted_tokens >= job.max_output_tokens:
            self.end(job, JobState.finished)
        job.emit(job)


_ENDED = frozenset((JobState.finished, JobState.cancelled))


def _rank(job: Job) -> tuple[int, int]:
    return job.rank
