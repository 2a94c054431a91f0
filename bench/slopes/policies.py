"""Costs of admission and routing of one request."""

from itertools import count
from random import Random

from bench.slopes.series import (
    SERIES,
    TARGET_COUNTS,
    WORKSPACE_COUNTS,
    Series,
    measure_cpu_us,
    measure_heap_bytes,
    measure_series,
)
from cicadahoist.policy.admission import FairQueue
from cicadahoist.policy.cost import Cost
from cicadahoist.policy.limits import LimitShares
from cicadahoist.policy.load import TargetLoads
from cicadahoist.policy.prefix import PrefixIndex
from cicadahoist.policy.routing import ROUTERS
from cicadahoist.policy.tickets import RouteRequest, Ticket
from cicadahoist.table import Rule, Target

POOL = 'engines'
COST = Cost(400, 200)
SEED = 1
ADMISSION_TARGET_COUNT = 75


def _build_targets(number: int) -> list[Target]:
    return [
        Target(name=f'engine-{index}', pool=POOL, url='', zone=f'z{index % 26}')
        for index in range(number)
    ]


def _build_loads(targets: list[Target]) -> TargetLoads:
    loads = TargetLoads()
    loads.sync(targets, 0)
    return loads


def _measure_choice_us(number: int) -> float:
    targets = _build_targets(number)
    loads = _build_loads(targets)
    router = ROUTERS.get('predicted')(loads, PrefixIndex(), 'z0', Random(SEED))
    numbers = count()

    def route() -> None:
        attempt = RouteRequest(
            attempt_id=str(next(numbers)), workspace='w', route='r', cost=COST
        )
        chosen = router.choose(attempt, targets, 0)
        loads.record_sent(chosen.name, attempt, 0)
        loads.record_first_token(attempt.attempt_id, 1)
        loads.record_end(attempt.attempt_id, 2, output_tokens=200)

    return measure_cpu_us(route)


def _measure_tick_us(number: int) -> float:
    loads = _build_loads(_build_targets(number))
    return measure_cpu_us(lambda: loads.tick(0))


def _measure_loads_bytes(number: int) -> float:
    targets = _build_targets(number)
    return measure_heap_bytes(lambda: _build_loads(targets))


def _build_tickets(workspaces: int) -> list[Ticket]:
    return [
        Ticket.from_rule(
            f'r{number}',
            POOL,
            Rule(
                workspace=f'w{number}',
                route='r',
                deadline_ms=10**9,
                first_token_ms=10**9,
            ),
            COST,
            0,
        )
        for number in range(workspaces)
    ]


def _measure_admission_us(workspaces: int) -> float:
    """Return the time of one admission with a request queued per workspace."""
    tickets = _build_tickets(workspaces)
    loads = _build_loads(_build_targets(ADMISSION_TARGET_COUNT))

    def admit_all() -> None:
        queue = FairQueue(loads, LimitShares('entry-1'))
        for ticket in tickets:
            if queue.offer(ticket, 0).is_err():
                raise RuntimeError('the queue refused a request')
        open_count = len(tickets)
        while open_count:
            for ticket in queue.pop_ready(0):
                queue.record_end(ticket, 0)
                open_count -= 1

    return measure_cpu_us(admit_all) / workspaces


@SERIES.register('policy')
def measure_policy() -> list[Series]:
    """Measure the costs of a request against targets and workspaces."""
    return [
        measure_series(
            'route one request',
            'targets in the pool',
            'us',
            TARGET_COUNTS,
            _measure_choice_us,
            75,
        ),
        measure_series(
            'sum up loads, once a second',
            'targets',
            'us',
            TARGET_COUNTS,
            _measure_tick_us,
        ),
        measure_series(
            'loads in memory',
            'targets',
            'bytes',
            TARGET_COUNTS,
            _measure_loads_bytes,
        ),
        measure_series(
            'admit and finish one request',
            'workspaces queued',
            'us',
            WORKSPACE_COUNTS,
            _measure_admission_us,
        ),
    ]
