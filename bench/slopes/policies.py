"""Costs of admission and routing for one request."""

from itertools import count
from random import Random

from bench.slopes.series import (
    SERIES,
    TARGETS,
    WORKSPACES,
    Series,
    cpu_us,
    heap_bytes,
    measure,
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
TARGETS_FOR_ADMISSION = 75


def _targets(number: int) -> list[Target]:
    return [
        Target(name=f'engine-{index}', pool=POOL, url='', zone=f'z{index % 26}')
        for index in range(number)
    ]


def _loads(targets: list[Target]) -> TargetLoads:
    loads = TargetLoads()
    loads.sync(targets, 0)
    return loads


def _choice_us(number: int) -> float:
    targets = _targets(number)
    loads = _loads(targets)
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

    return cpu_us(route)


def _tick_us(number: int) -> float:
    loads = _loads(_targets(number))
    return cpu_us(lambda: loads.tick(0))


def _loads_bytes(number: int) -> float:
    targets = _targets(number)
    return heap_bytes(lambda: _loads(targets))


def _tickets(workspaces: int) -> list[Ticket]:
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


def _admission_us(workspaces: int) -> float:
    """Admit one request of each workspace while all of them queue."""
    tickets = _tickets(workspaces)
    loads = _loads(_targets(TARGETS_FOR_ADMISSION))

    def admit_all() -> None:
        queue = FairQueue(loads, LimitShares('entry-1'))
        for ticket in tickets:
            if queue.offer(ticket, 0).is_err():
                raise RuntimeError('the queue refused a request')
        left = len(tickets)
        while left:
            for ticket in queue.pop_ready(0):
                queue.record_end(ticket, 0)
                left -= 1

    return cpu_us(admit_all) / workspaces


@SERIES.register('policy')
def policy_series() -> list[Series]:
    """Return the costs of a request against targets and workspaces."""
    return [
        measure(
            'route one request',
            'targets in the pool',
            'us',
            TARGETS,
            _choice_us,
            75,
        ),
        measure(
            'sum up loads, once a second', 'targets', 'us', TARGETS, _tick_us
        ),
        measure('loads in memory', 'targets', 'bytes', TARGETS, _loads_bytes),
        measure(
            'admit and finish one request',
            'workspaces queued',
            'us',
            WORKSPACES,
            _admission_us,
        ),
    ]
