"""Queue model of an engine that batches continuously."""

from collections import deque

import msgspec

BASE_MS = 12.0
PREFILL_MS = 0.1
DECODE_MS = 0.35
CHUNK_BY_ROLE = {'mixed': 384, 'prefill': 2048, 'decode': 96}
MAX_RUNNING = 128
CACHE_BLOCKS = 600
BLOCK_TOKENS = 256


class Work(msgspec.Struct, eq=False):
    """One attempt on an engine."""

    request: object
    left: int
    emitted: int = 0


class Engine:
    """Runs steps that each hold a chunk of prefill and a token a request."""

    def __init__(self, target):
        self.target = target
        self.role = 'mixed'
        self.alive = True
        self.busy = False
        self.crash()

    def crash(self):
        self.waiting = (deque(), deque())
        self.running = []
        self.cache = {}
        self.chunk = []

    def works(self):
        return [*self.waiting[0], *self.waiting[1], *self.running]

    def add(self, request):
        left = request.prompt + request.emitted
        for block in request.blocks:
            if block not in self.cache:
                break
            left -= BLOCK_TOKENS
        work = Work(request, max(1, left), request.emitted)
        self.waiting[not request.urgent].append(work)

    def begin_step(self):
        """Choose what the next step does; return its length in ms."""
        size = budget = CHUNK_BY_ROLE[self.role]
        self.chunk = []
        for work in self.works()[: len(self.works()) - len(self.running)]:
            room = MAX_RUNNING - len(self.running) - len(self.chunk)
            if not budget or not room:
                break
            part = min(budget, work.left)
            budget -= part
            self.chunk.append((work, part))
        if not self.chunk and not self.running:
            return 0
        prefill_ms = PREFILL_MS * (size - budget)
        return BASE_MS + prefill_ms + DECODE_MS * len(self.running)

    def end_step(self):
        """Return the works that got a token in the step."""
        for work, part in self.chunk:
            work.left -= part
            if work.left <= 0:
                self.waiting[not work.request.urgent].remove(work)
                self.running.append(work)
                self.cache.update(dict.fromkeys(work.request.blocks))
        while len(self.cache) > CACHE_BLOCKS:
            self.cache.pop(next(iter(self.cache)))
        served = list(self.running)
        for work in served:
            work.emitted += 1
        self.running = [
            work for work in served if work.emitted < work.request.output
        ]
        return served
