"""Processor time of one decision against the size of the fleet."""

import time
from collections import deque
from random import Random

from cicadahoist.policy.admission import FairQueue
from cicadahoist.policy.cost import CostModel
from cicadahoist.policy.limits import LimitShares
from cicadahoist.policy.load import TargetLoads
from cicadahoist.policy.prefix import PrefixIndex
from cicadahoist.policy.routing import ROUTERS
from cicadahoist.policy.tickets import RouteRequest, Ticket
from cicadahoist.table import Rule, Target

FLEET_SIZES = ((7, 8), (7, 2900), (70, 8), (70, 2900), (1800, 8), (1800, 2900))
MEASURED_DECISIONS = 4000
WARM_UP_DECISIONS = 500
OPEN_REQUESTS_PER_TARGET = 8


def make_ticket(number, rules, costs, rng):
    rule = rules[rng.randrange(len(rules))]
    cost = costs.estimate(rule.workspace, rule.route, 400, 0, 0)
    return Ticket.from_rule(f'r{number}', 'pool', rule, cost, number)


def decide(number, parts, open_tickets):
    """Admit and route one request and end an older one."""
    rules, costs, queue, router, loads, targets, rng = parts
    ticket = make_ticket(number, rules, costs, rng)
    queue.offer(ticket, number)
    for taken in queue.pop_ready(number):
        request = RouteRequest(
            attempt_id=taken.request_id,
            workspace=taken.rule.workspace,
            route=taken.rule.route,
            cost=taken.cost,
            blocks=(number % 50, 1000 + number % 50),
        )
        target = router.choose(request, targets, number)
        loads.record_sent(target.name, request, number)
        open_tickets.append(taken)
        loads.record_first_token(taken.request_id, number)
    while len(open_tickets) > OPEN_REQUESTS_PER_TARGET * len(targets):
        ended = open_tickets.popleft()
        loads.record_end(ended.request_id, number, output_tokens=50)
        queue.record_end(ended, number)
        costs.observe(ended.rule.workspace, ended.rule.route, 400, 50)


def measure_decision_us(target_count, workspace_count):
    """Return the processor time of one decision in microseconds."""
    targets = [
        Target(name=f't{n}', pool='pool', url='', zone='abc'[n % 3])
        for n in range(target_count)
    ]
    loads = TargetLoads()
    loads.sync(targets, 0)
    rng = Random(1)
    router = ROUTERS.get('predicted')(loads, PrefixIndex(), 'a', rng)
    rules = [
        Rule(workspace=f'w{n}', route='chat', first_token_ms=60_000)
        for n in range(workspace_count)
    ]
    parts = (
        rules,
        CostModel(),
        FairQueue(loads, LimitShares('entry')),
        router,
        loads,
        targets,
        rng,
    )
    open_tickets = deque()
    warm_up_count = WARM_UP_DECISIONS + OPEN_REQUESTS_PER_TARGET * target_count
    for number in range(warm_up_count):
        decide(number, parts, open_tickets)
    assert len(open_tickets) == OPEN_REQUESTS_PER_TARGET * target_count
    started_s = time.process_time()
    for number in range(warm_up_count, warm_up_count + MEASURED_DECISIONS):
        decide(number, parts, open_tickets)
    return (time.process_time() - started_s) / MEASURED_DECISIONS * 1e6


def print_decisions():
    print('\n| targets | workspaces | us a decision (processor time) |')
    print('|---|---|---|')
    for targets, workspaces in FLEET_SIZES:
        cost = measure_decision_us(targets, workspaces)
        print(f'| {targets} | {workspaces} | {cost:.0f} |')
