"""Bounds with perfect knowledge."""

import bisect
from collections import Counter

from bench.policy.engine import (
    BASE_MS,
    BLOCK_TOKENS,
    CHUNK_BY_ROLE,
    DECODE_MS,
    PREFILL_MS,
)
from bench.policy.simulation import (
    FAULT_MS,
    NOTICE_MS,
    RECLAIMED_MS,
    RESTART_MS,
    SECOND_FAULT_MS,
)
from bench.policy.workload import (
    DURATION_MS,
    FIRST_TOKEN_MS,
    GAP_MS,
    SCENARIOS,
)
from cicadahoist.policy.capacity import DEFAULT_SPEEDS, Assignment, compute_fill
from cicadahoist.policy.fleet import PoolDemand
from cicadahoist.policy.roles import CHANGE_LOSS_MS, FULL

LONGEST_STEP_MS = BASE_MS + PREFILL_MS * CHUNK_BY_ROLE['prefill']
URGENT_USABLE = 1 - BASE_MS / GAP_MS
BATCH_USABLE = 1 - BASE_MS / LONGEST_STEP_MS
PERIOD_MS = 1000


def engine_ms(request):
    """
    Return the engine time that a request needs at least.

    Steps that hold urgent answers last no longer than the goal between
    tokens, so the fixed part of a step weighs more there.
    """
    prompt = request.prompt - BLOCK_TOKENS * len(request.blocks)
    work_ms = PREFILL_MS * prompt + DECODE_MS * request.output
    return work_ms / (URGENT_USABLE if request.urgent else BATCH_USABLE)


def due_ms(request):
    if not request.urgent:
        return request.at_ms + request.rule.deadline_ms
    return request.at_ms + FIRST_TOKEN_MS + GAP_MS * (request.output - 1)


def engines_at(scenario, fault, at_ms):
    """Return how many engines live at a time."""
    engines = SCENARIOS[scenario][1]
    since_ms = at_ms - FAULT_MS
    if fault == 'crash':
        for start_ms in (0, SECOND_FAULT_MS):
            engines -= start_ms <= since_ms < start_ms + RESTART_MS
    if fault == 'zone' and NOTICE_MS <= since_ms < NOTICE_MS + RECLAIMED_MS:
        engines -= -(-SCENARIOS[scenario][1] // 3)
    return engines


def jobs_of(request):
    """Return the parts of a request as due time, name, work and request."""
    whole_ms = engine_ms(request)
    jobs = [[due_ms(request), request.name, whole_ms, request]]
    if request.urgent:
        share = PREFILL_MS * request.prompt / URGENT_USABLE / whole_ms
        jobs[0][2] = whole_ms * (1 - share)
        first_ms = request.at_ms + FIRST_TOKEN_MS
        jobs.append([first_ms, request.name, whole_ms * share, request])
    return jobs


class Pool:
    """All engines as one machine that serves the earliest deadline first."""

    def __init__(self):
        self.jobs = []
        self.dropped = []

    def serve(self, capacity_ms):
        while self.jobs and capacity_ms > 0:
            job = self.jobs[0]
            part = min(capacity_ms, job[2])
            job[2] -= part
            capacity_ms -= part
            if job[2] <= 0:
                self.jobs.pop(0)

    def add(self, request, now_ms, rate):
        for job in jobs_of(request):
            bisect.insort(self.jobs, job, key=lambda one: one[:2])
        late = self.first_late(now_ms, rate)
        while late:
            largest = max(self.jobs[:late], key=lambda one: one[2])
            self.dropped.append(largest[3])
            self.jobs = [job for job in self.jobs if job[1] != largest[1]]
            late = self.first_late(now_ms, rate)

    def first_late(self, now_ms, rate):
        ahead_ms = 0
        for number, job in enumerate(self.jobs, 1):
            ahead_ms += job[2]
            if ahead_ms > rate * (job[0] - now_ms) + 1e-6:
                return number
        return 0


def served_at_best(scenario, fault, requests):
    """Return the requests that a pooled fluid machine finishes in time."""
    pool = Pool()
    now_ms = 0
    for request in requests:
        rate = engines_at(scenario, fault, now_ms)
        if not request.poison:
            pool.serve(rate * (request.at_ms - now_ms))
            now_ms = request.at_ms
            pool.add(request, now_ms, rate)
    lost = {request.name for request in pool.dropped}
    return [r for r in requests if r.name not in lost and not r.poison]


def fair_counts(requests, served):
    """
    Return the fair number of good requests, by workspace.

    Equal parts of the work that is served at best, but no more than a
    workspace asks for or than is served of it at best.
    """
    best = Counter(request.workspace for request in served)
    wanted = Counter()
    offered = Counter()
    for request in requests:
        if not request.poison:
            wanted[request.workspace] += engine_ms(request)
            offered[request.workspace] += 1
    left = sum(engine_ms(request) for request in served)
    fair = {}
    ordered = sorted(wanted, key=wanted.get)
    for number, name in enumerate(ordered):
        part = min(wanted[name], left / (len(ordered) - number))
        left -= part
        fair[name] = min(best[name], offered[name] * part / wanted[name])
    return fair


def least_role_changes(engines, demands, start):
    """Return the role changes of the plan with the least loss."""
    choices = [
        Assignment(engines - p - d, p, d)
        for p in range(engines)
        for d in range(engines - p + 1)
    ]
    loss_ms = CHANGE_LOSS_MS / engines
    moves = [
        [one.count_moves_to(other) for other in choices] for one in choices
    ]
    best = {choices.index(start): (0.0, 0)}
    for demand in demands:
        lost = [
            min(5, max(0, compute_fill(choice, demand, DEFAULT_SPEEDS) - FULL))
            * PERIOD_MS
            for choice in choices
        ]
        best = {
            goal: min(
                (
                    cost + moves[source][goal] * loss_ms + lost[goal],
                    changes + moves[source][goal],
                )
                for source, (cost, changes) in best.items()
            )
            for goal in range(len(choices))
        }
    return min(best.values())[1]


def known_demand(requests, at_ms):
    """Return the true demand of the ten seconds around a time."""
    prefill = decode = batch_prefill = batch_decode = 0.0
    for request in requests:
        if request.urgent:
            share = abs(request.at_ms - at_ms) < 5000
            prefill += share * request.prompt / 10_000
            decode += share * request.output / 10_000
        elif request.at_ms <= at_ms < due_ms(request):
            batch_prefill += request.prompt / request.rule.deadline_ms
            batch_decode += request.output / request.rule.deadline_ms
    return PoolDemand(
        pool='',
        prefill_per_ms=prefill + batch_prefill,
        decode_per_ms=decode + batch_decode,
        urgent_prefill_per_ms=prefill,
        urgent_decode_per_ms=decode,
    )


def demands_of(requests):
    return [known_demand(requests, at) for at in range(0, DURATION_MS, 2000)]
