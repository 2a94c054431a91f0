from random import Random

from cicadahoist.policy.admission import FairQueue
from cicadahoist.policy.cost import Cost
from cicadahoist.policy.limits import LimitShares
from cicadahoist.policy.load import TargetLoads
from cicadahoist.policy.prefix import PrefixIndex
from cicadahoist.policy.routing import ROUTERS
from cicadahoist.policy.tickets import RouteRequest, Ticket
from cicadahoist.table import Rule, Target

POOL = 'engines'


def make_targets(count, **given):
    return [
        Target(
            name=f'engine-{number}',
            pool=POOL,
            url='http://127.0.0.1:1',
            zone='abc'[number % 3],
            **given,
        )
        for number in range(count)
    ]


def make_loads(targets, now_ms=0):
    loads = TargetLoads()
    loads.sync(targets, now_ms)
    return loads


def make_ticket(
    request_id, *, workspace='small', now_ms=0, prefill=100, decode=50, **rule
):
    row = Rule(workspace=workspace, route='chat', **rule)
    return Ticket.from_rule(
        request_id, POOL, row, Cost(prefill, decode), now_ms
    )


def make_attempt(attempt_id, *, prefill=100, decode=50, **given):
    return RouteRequest(
        attempt_id=attempt_id,
        workspace='small',
        route='chat',
        cost=Cost(prefill, decode),
        **given,
    )


def make_router(loads, name='predicted', zone='a'):
    return ROUTERS.get(name)(loads, PrefixIndex(), zone, Random(1))


def make_queue(loads):
    return FairQueue(loads, LimitShares('entry-1'))
