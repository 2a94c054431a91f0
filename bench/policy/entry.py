"""Entry of the simulation: runs requests through the real policy modules."""

from random import Random

from cicadahoist.policy.admission import ADMISSIONS
from cicadahoist.policy.cost import Cost, CostModel
from cicadahoist.policy.demand import DemandMeter
from cicadahoist.policy.limits import LimitShares
from cicadahoist.policy.load import TargetLoads
from cicadahoist.policy.prefix import PrefixIndex
from cicadahoist.policy.quarantine import Quarantine
from cicadahoist.policy.retries import RetryBudgets
from cicadahoist.policy.routing import ROUTERS
from cicadahoist.policy.tickets import RouteRequest, Ticket

POOL = 'engines'
NO_TARGET_RETRY_MS = 200


class Entry:
    """
    Admits, routes and retries requests.

    :param sim: the simulation, which has the clock and runs the attempts
    """

    def __init__(self, sim, zone, variant):
        self.sim = sim
        self.name = f'entry-{zone}'
        rng = Random(self.name)
        self.loads = TargetLoads()
        self.loads.sync(sim.targets, 0)
        admission = ADMISSIONS.get(variant.admission)
        self.queue = admission(self.loads, LimitShares(self.name))
        self.prefixes = PrefixIndex()
        router = ROUTERS.get(variant.router)
        self.router = router(self.loads, self.prefixes, zone, rng)
        self.costs = CostModel()
        self.budgets = RetryBudgets(rng)
        self.quarantine = Quarantine(self.name)
        self.meter = DemandMeter()
        self.open_by_name = {}
        self.next_wake_ms = None

    def handle_arrival(self, request):
        now_ms = self.sim.now_ms
        if self.quarantine.compute_refusal_ms(request.digest, now_ms):
            request.refusal_code = 'quarantined'
            return
        cached = self.prefixes.find_cached_tokens(request.blocks)
        longest = max(cached.values(), default=0)
        cost = self.costs.estimate(
            *request.workspace_and_route,
            request.prompt_tokens,
            longest,
            max_tokens=0,
        )
        ticket = Ticket.from_rule(
            request.name, POOL, request.rule, cost, request.arrival_ms
        )
        request.ticket = ticket
        answer = self.queue.offer(ticket, now_ms)
        if answer.is_err():
            self.handle_refusal(request, answer.unwrap_err())
            return
        if request.is_urgent:
            self.meter.record_arrival(cost, now_ms)
        else:
            self.meter.add_deferred(request.name, cost, ticket.due_ms)
        self.open_by_name[request.name] = request
        self.budgets.record_first_attempt(request.route, now_ms)
        self.dispatch_ready()

    def handle_refusal(self, request, refusal):
        """Resubmit a refused deferred request if it can still be in time."""
        request.refusal_code = refusal.reason.code
        self.open_by_name.pop(request.name, None)
        self.meter.remove_deferred(request.name)
        retry_at_ms = self.sim.now_ms + refusal.retry_after_ms
        if not request.is_urgent and retry_at_ms < request.ticket.due_ms:
            self.sim.schedule(
                refusal.retry_after_ms, self.handle_arrival, request
            )

    def dispatch_ready(self):
        """Refuse expired requests, route admitted ones, plan the wake-up."""
        now_ms = self.sim.now_ms
        for late in self.queue.pop_expired(now_ms):
            request = self.open_by_name[late.ticket.request_id]
            self.handle_refusal(request, late.refused)
        while tickets := self.queue.pop_ready(now_ms):
            for ticket in tickets:
                self.route_attempt(self.open_by_name[ticket.request_id])
        wake_ms = self.queue.compute_next_wake_ms(now_ms)
        if wake_ms and (
            self.next_wake_ms is None or wake_ms < self.next_wake_ms
        ):
            self.next_wake_ms = wake_ms
            self.sim.schedule(wake_ms - now_ms, self.handle_wake)

    def handle_wake(self):
        self.next_wake_ms = None
        self.dispatch_ready()

    def route_attempt(self, request):
        now_ms = self.sim.now_ms
        if now_ms > request.ticket.due_ms:
            self.finish(request, 'timed-out')
            return
        if self.quarantine.compute_refusal_ms(request.digest, now_ms):
            self.finish(request, 'quarantined')
            return
        cost = request.ticket.cost
        if request.emitted_tokens:
            tokens_left = max(1, cost.decode_tokens - request.emitted_tokens)
            cost = Cost(
                request.prompt_tokens + request.emitted_tokens, tokens_left
            )
        excluded = self.quarantine.find_excluded_targets(request.digest, now_ms)
        attempt = RouteRequest(
            attempt_id=f'{request.name}.{request.attempt_count}',
            workspace=request.workspace,
            route=request.kind.route,
            cost=cost,
            priority=request.rule.priority,
            blocks=request.blocks,
            excluded_targets=request.tried_targets | excluded,
        )
        target = self.router.choose(attempt, self.sim.targets, now_ms)
        if target is None:
            request.tried_targets = frozenset()
            self.sim.schedule(NO_TARGET_RETRY_MS, self.route_attempt, request)
        elif self.quarantine.is_suspect(request.digest):
            claim = self.quarantine.claim(request.digest, target.name, now_ms)
            if claim is None:
                self.sim.schedule(
                    NO_TARGET_RETRY_MS, self.route_attempt, request
                )
                return
            self.sim.broadcast(self, claim)
            hold_ms = self.quarantine.compute_claim_wait_ms(
                request.digest, now_ms
            )
            self.sim.schedule(
                hold_ms, self.start_suspect, request, attempt, target
            )
        else:
            self.start_attempt(request, attempt, target)

    def start_suspect(self, request, attempt, target):
        """Start a suspect request unless a peer's claim won meanwhile."""
        digest, now_ms = request.digest, self.sim.now_ms
        if self.quarantine.compute_refusal_ms(digest, now_ms):
            self.finish(request, 'quarantined')
        elif self.quarantine.may_start(digest, now_ms):
            self.start_attempt(request, attempt, target)
        else:
            self.release_suspect(request)
            self.sim.schedule(NO_TARGET_RETRY_MS, self.route_attempt, request)

    def start_attempt(self, request, attempt, target):
        self.loads.record_sent(target.name, attempt, self.sim.now_ms)
        self.prefixes.record_stored(target.name, request.blocks)
        request.attempt_count += 1
        request.attempt_id, request.target = attempt.attempt_id, target.name
        request.entry = self
        if not self.sim.submit(request):
            self.handle_lost_attempt(request, is_not_run=True)

    def record_token(self, request):
        now_ms = self.sim.now_ms
        request.emitted_tokens += 1
        self.loads.record_first_token(request.attempt_id, now_ms)
        if request.first_token_ms is None:
            request.first_token_ms = now_ms
        if request.emitted_tokens < request.output_tokens:
            return
        request.end_ms = now_ms
        request.target = ''
        self.loads.record_end(
            request.attempt_id, now_ms, output_tokens=request.output_tokens
        )
        self.costs.observe(
            *request.workspace_and_route,
            request.prompt_tokens,
            request.output_tokens,
        )
        self.release_suspect(request, is_complete=True)
        self.finish(request, '')

    def finish(self, request, refusal_code):
        request.refusal_code = refusal_code
        self.open_by_name.pop(request.name)
        self.meter.remove_deferred(request.name)
        self.queue.record_end(request.ticket, self.sim.now_ms)
        self.dispatch_ready()

    def handle_target_crash(self, target, is_reclaimed):
        """Blame the requests on a crashed target and retry them."""
        open_requests = [
            r for r in self.open_by_name.values() if r.target == target
        ]
        self.loads.record_crash(target, self.sim.now_ms)
        digests = sorted({request.digest for request in open_requests})
        if not is_reclaimed:
            now_ms = self.sim.now_ms
            for blame in self.quarantine.record_target_crash(
                target, digests, now_ms
            ):
                self.sim.broadcast(self, blame)
        for request in open_requests:
            self.handle_lost_attempt(request, is_not_run=False)

    def handle_lost_attempt(self, request, *, is_not_run):
        now_ms = self.sim.now_ms
        request.tried_targets |= {request.target}
        request.target = ''
        self.loads.record_end(request.attempt_id, now_ms, failed=True)
        self.release_suspect(request)
        delay_ms = self.budgets.plan_retry_ms(
            request.route, request.attempt_count, now_ms, not_run=is_not_run
        )
        if delay_ms is None:
            self.finish(request, 'target-failed')
        else:
            self.sim.schedule(delay_ms, self.route_attempt, request)

    def release_suspect(self, request, *, is_complete=False):
        message = self.quarantine.release(
            request.digest, self.sim.now_ms, is_complete=is_complete
        )
        if message is not None:
            self.sim.broadcast(self, message)

    def tick(self):
        self.loads.tick(self.sim.now_ms)
        for found in self.quarantine.tick(self.sim.now_ms):
            self.sim.quarantined_digests.add(found.digest)
            self.sim.broadcast(self, found)
        self.dispatch_ready()
