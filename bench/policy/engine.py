"""Queue model of an engine with continuous batching and a prefix cache."""

from collections import deque

import msgspec

STEP_BASE_MS = 12.0
PREFILL_MS_PER_TOKEN = 0.1
DECODE_MS_PER_REQUEST = 0.35
CHUNK_TOKENS_BY_ROLE = {'mixed': 384, 'prefill': 2048, 'decode': 96}
MAX_RUNNING_REQUESTS = 128
CACHE_BLOCKS = 600
BLOCK_TOKENS = 256


class Attempt(msgspec.Struct, eq=False):
    """One attempt on an engine."""

    request: object
    prefill_tokens_left: int
    emitted_tokens: int = 0


class Engine:
    """
    Runs steps of chunked prefill and decode.

    Each step processes one chunk of prefill tokens and emits one token for
    each running request. Urgent requests are prefilled before deferred ones.
    """

    def __init__(self, target):
        self.target = target
        self.role = 'mixed'
        self.is_alive = True
        self.is_busy = False
        self.reset()

    def reset(self):
        """Drop all requests and the prefix cache, as a crash does."""
        self.waiting = (deque(), deque())
        self.running = []
        self.cached_blocks = {}
        self.prefill_chunk = []

    def list_attempts(self):
        return [*self.waiting[0], *self.waiting[1], *self.running]

    def add(self, request):
        prefill_tokens = request.prompt_tokens + request.emitted_tokens
        for block in request.blocks:
            if block not in self.cached_blocks:
                break
            prefill_tokens -= BLOCK_TOKENS
        attempt = Attempt(
            request, max(1, prefill_tokens), request.emitted_tokens
        )
        self.waiting[not request.is_urgent].append(attempt)

    def begin_step(self):
        """Select the prefill of the next step; return its ms, 0 if idle."""
        chunk_tokens = budget_tokens = CHUNK_TOKENS_BY_ROLE[self.role]
        self.prefill_chunk = []
        for attempt in self.list_attempts()[
            : len(self.list_attempts()) - len(self.running)
        ]:
            free_slots = (
                MAX_RUNNING_REQUESTS
                - len(self.running)
                - len(self.prefill_chunk)
            )
            if not budget_tokens or not free_slots:
                break
            part_tokens = min(budget_tokens, attempt.prefill_tokens_left)
            budget_tokens -= part_tokens
            self.prefill_chunk.append((attempt, part_tokens))
        if not self.prefill_chunk and not self.running:
            return 0
        prefill_ms = PREFILL_MS_PER_TOKEN * (chunk_tokens - budget_tokens)
        return (
            STEP_BASE_MS
            + prefill_ms
            + DECODE_MS_PER_REQUEST * len(self.running)
        )

    def end_step(self):
        """Return the attempts that emitted a token in the step."""
        for attempt, part_tokens in self.prefill_chunk:
            attempt.prefill_tokens_left -= part_tokens
            if attempt.prefill_tokens_left <= 0:
                self.waiting[not attempt.request.is_urgent].remove(attempt)
                self.running.append(attempt)
                self.cached_blocks.update(dict.fromkeys(attempt.request.blocks))
        while len(self.cached_blocks) > CACHE_BLOCKS:
            self.cached_blocks.pop(next(iter(self.cached_blocks)))
        served = list(self.running)
        for attempt in served:
            attempt.emitted_tokens += 1
        self.running = [
            attempt
            for attempt in served
            if attempt.emitted_tokens < attempt.request.output_tokens
        ]
        return served
