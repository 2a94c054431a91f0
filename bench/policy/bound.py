"""Upper bounds on goodput, fairness and role changes with perfect knowledge."""

import bisect
from collections import Counter

from bench.policy.engine import (
    BLOCK_TOKENS,
    CHUNK_TOKENS_BY_ROLE,
    DECODE_MS_PER_REQUEST,
    PREFILL_MS_PER_TOKEN,
    STEP_BASE_MS,
)
from bench.policy.simulation import (
    FAULT_AT_MS,
    RECLAIM_NOTICE_MS,
    RECLAIM_OUTAGE_MS,
    RESTART_MS,
    SECOND_FAULT_DELAY_MS,
)
from bench.policy.workload import (
    DURATION_MS,
    FIRST_TOKEN_GOAL_MS,
    SCENARIOS,
    TOKEN_GAP_GOAL_MS,
)
from cicadahoist.policy.capacity import DEFAULT_SPEEDS, Assignment, compute_fill
from cicadahoist.policy.fleet import PoolDemand
from cicadahoist.policy.roles import CHANGE_LOSS_MS, FULL

LONGEST_STEP_MS = (
    STEP_BASE_MS + PREFILL_MS_PER_TOKEN * CHUNK_TOKENS_BY_ROLE['prefill']
)
URGENT_USABLE_SHARE = 1 - STEP_BASE_MS / TOKEN_GAP_GOAL_MS
BATCH_USABLE_SHARE = 1 - STEP_BASE_MS / LONGEST_STEP_MS
PLAN_PERIOD_MS = 1000


def compute_engine_ms(request):
    """
    Return the least engine time that a request needs, in ms.

    A step that decodes urgent requests may last no longer than the goal for
    the gap between tokens, so the fixed cost of a step takes a larger share.
    """
    prompt = request.prompt_tokens - BLOCK_TOKENS * len(request.blocks)
    work_ms = (
        PREFILL_MS_PER_TOKEN * prompt
        + DECODE_MS_PER_REQUEST * request.output_tokens
    )
    return work_ms / (
        URGENT_USABLE_SHARE if request.is_urgent else BATCH_USABLE_SHARE
    )


def compute_due_ms(request):
    """Return the latest time at which a good request ends."""
    if not request.is_urgent:
        return request.arrival_ms + request.rule.deadline_ms
    return (
        request.arrival_ms
        + FIRST_TOKEN_GOAL_MS
        + TOKEN_GAP_GOAL_MS * (request.output_tokens - 1)
    )


def count_engines_at(scenario, fault, at_ms):
    """Return how many engines run at a time under a fault."""
    engines = SCENARIOS[scenario][1]
    since_ms = at_ms - FAULT_AT_MS
    if fault == 'crash':
        for start_ms in (0, SECOND_FAULT_DELAY_MS):
            engines -= start_ms <= since_ms < start_ms + RESTART_MS
    if (
        fault == 'zone'
        and RECLAIM_NOTICE_MS
        <= since_ms
        < RECLAIM_NOTICE_MS + RECLAIM_OUTAGE_MS
    ):
        engines -= -(-SCENARIOS[scenario][1] // 3)
    return engines


def split_into_jobs(request):
    """
    Return the jobs of a request, each as due time, name, work and request.

    An urgent request has two: prefill until the goal for the first token,
    and decode until the last token is due.
    """
    whole_ms = compute_engine_ms(request)
    jobs = [[compute_due_ms(request), request.name, whole_ms, request]]
    if request.is_urgent:
        share = (
            PREFILL_MS_PER_TOKEN
            * request.prompt_tokens
            / URGENT_USABLE_SHARE
            / whole_ms
        )
        jobs[0][2] = whole_ms * (1 - share)
        first_ms = request.arrival_ms + FIRST_TOKEN_GOAL_MS
        jobs.append([first_ms, request.name, whole_ms * share, request])
    return jobs


class PooledMachine:
    """All engines pooled in one machine that serves earliest deadline first."""

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

    def add(self, request, now_ms, engine_count):
        """
        Queue a request, then drop the largest jobs until none is late.

        Only jobs up to the first late one are candidates: dropping a later
        job frees no time for it.
        """
        for job in split_into_jobs(request):
            bisect.insort(self.jobs, job, key=lambda one: one[:2])
        late_count = self.count_until_first_late(now_ms, engine_count)
        while late_count:
            largest = max(self.jobs[:late_count], key=lambda one: one[2])
            self.dropped.append(largest[3])
            self.jobs = [job for job in self.jobs if job[1] != largest[1]]
            late_count = self.count_until_first_late(now_ms, engine_count)

    def count_until_first_late(self, now_ms, engine_count):
        """Return the position of the first late job from 1, or 0 for none."""
        ahead_ms = 0
        for number, job in enumerate(self.jobs, 1):
            ahead_ms += job[2]
            if ahead_ms > engine_count * (job[0] - now_ms) + 1e-6:
                return number
        return 0


def find_servable_requests(scenario, fault, requests):
    """Return the requests that the pooled machine finishes in time."""
    pool = PooledMachine()
    now_ms = 0
    for request in requests:
        engine_count = count_engines_at(scenario, fault, now_ms)
        if not request.is_poison:
            pool.serve(engine_count * (request.arrival_ms - now_ms))
            now_ms = request.arrival_ms
            pool.add(request, now_ms, engine_count)
    lost = {request.name for request in pool.dropped}
    return [r for r in requests if r.name not in lost and not r.is_poison]


def compute_fair_counts(requests, served):
    """
    Return the fair count of good requests by workspace.

    The servable work is split by max-min fairness. A workspace gets at most
    what it requests, and at most what the bound serves of it.
    """
    best = Counter(request.workspace for request in served)
    wanted = Counter()
    offered = Counter()
    for request in requests:
        if not request.is_poison:
            wanted[request.workspace] += compute_engine_ms(request)
            offered[request.workspace] += 1
    remaining_ms = sum(compute_engine_ms(request) for request in served)
    fair = {}
    ordered = sorted(wanted, key=wanted.get)
    for number, name in enumerate(ordered):
        part = min(wanted[name], remaining_ms / (len(ordered) - number))
        remaining_ms -= part
        fair[name] = min(best[name], offered[name] * part / wanted[name])
    return fair


def compute_least_role_changes(engines, demands, start):
    """
    Return the role changes of the plan with the least loss.

    Dynamic programming over all assignments of roles; the loss is the time
    lost by changes plus that lost by overfull roles.
    """
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
            * PLAN_PERIOD_MS
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


def measure_true_demand(requests, at_ms):
    """
    Return the true demand around a time.

    Urgent requests count over the ten seconds around it; deferred ones are
    spread evenly from arrival to due time.
    """
    prefill = decode = batch_prefill = batch_decode = 0.0
    for request in requests:
        if request.is_urgent:
            share = abs(request.arrival_ms - at_ms) < 5000
            prefill += share * request.prompt_tokens / 10_000
            decode += share * request.output_tokens / 10_000
        elif request.arrival_ms <= at_ms < compute_due_ms(request):
            batch_prefill += request.prompt_tokens / request.rule.deadline_ms
            batch_decode += request.output_tokens / request.rule.deadline_ms
    return PoolDemand(
        pool='',
        prefill_per_ms=prefill + batch_prefill,
        decode_per_ms=decode + batch_decode,
        urgent_prefill_per_ms=prefill,
        urgent_decode_per_ms=decode,
    )


def measure_true_demands(requests):
    """Return the true demand at each two seconds of the run."""
    return [
        measure_true_demand(requests, at) for at in range(0, DURATION_MS, 2000)
    ]
