"""An entry of the bench: the real policy modules around a request."""

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
NO_TARGET_MS = 200


class Entry:
    """Admits, routes and retries; ``sim`` carries attempts and time."""

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
        self.wake_ms = None

    def arrive(self, request):
        now = self.sim.now
        if self.quarantine.compute_refusal_ms(request.digest, now):
            request.refused = 'quarantined'
            return
        cached = self.prefixes.find_cached_tokens(request.blocks)
        longest = max(cached.values(), default=0)
        cost = self.costs.estimate(
            *request.pair, request.prompt, longest, max_tokens=0
        )
        ticket = Ticket.from_rule(
            request.name, POOL, request.rule, cost, request.at_ms
        )
        request.ticket = ticket
        answer = self.queue.offer(ticket, now)
        if answer.is_err():
            self.refuse(request, answer.unwrap_err())
            return
        if request.urgent:
            self.meter.record_arrival(cost, now)
        else:
            self.meter.add_deferred(request.name, cost, ticket.due_ms)
        self.open_by_name[request.name] = request
        self.budgets.record_first_attempt(request.route, now)
        self.pump()

    def refuse(self, request, refused):
        request.refused = refused.reason.code
        self.open_by_name.pop(request.name, None)
        self.meter.remove_deferred(request.name)
        again_ms = self.sim.now + refused.retry_after_ms
        if not request.urgent and again_ms < request.ticket.due_ms:
            self.sim.after(refused.retry_after_ms, self.arrive, request)

    def pump(self):
        now = self.sim.now
        for late in self.queue.pop_expired(now):
            request = self.open_by_name[late.ticket.request_id]
            self.refuse(request, late.refused)
        while tickets := self.queue.pop_ready(now):
            for ticket in tickets:
                self.send(self.open_by_name[ticket.request_id])
        wake_ms = self.queue.compute_next_wake_ms(now)
        if wake_ms and (self.wake_ms is None or wake_ms < self.wake_ms):
            self.wake_ms = wake_ms
            self.sim.after(wake_ms - now, self.wake)

    def wake(self):
        self.wake_ms = None
        self.pump()

    def send(self, request):
        now = self.sim.now
        if now > request.ticket.due_ms:
            self.end(request, 'timed-out')
            return
        if self.quarantine.compute_refusal_ms(request.digest, now):
            self.end(request, 'quarantined')
            return
        cost = request.ticket.cost
        if request.emitted:
            left = max(1, cost.decode_tokens - request.emitted)
            cost = Cost(request.prompt + request.emitted, left)
        avoided = self.quarantine.find_excluded_targets(request.digest, now)
        wanted = RouteRequest(
            attempt_id=f'{request.name}.{request.attempts}',
            workspace=request.workspace,
            route=request.spec.route,
            cost=cost,
            priority=request.rule.priority,
            blocks=request.blocks,
            excluded_targets=request.tried | avoided,
        )
        target = self.router.choose(wanted, self.sim.targets, now)
        if target is None:
            request.tried = frozenset()
            self.sim.after(NO_TARGET_MS, self.send, request)
        elif self.quarantine.is_suspect(request.digest):
            claim = self.quarantine.claim(request.digest, target.name, now)
            if claim is None:
                self.sim.after(NO_TARGET_MS, self.send, request)
                return
            self.sim.tell(self, claim)
            hold_ms = self.quarantine.compute_claim_wait_ms(request.digest, now)
            self.sim.after(hold_ms, self.start_suspect, request, wanted, target)
        else:
            self.start(request, wanted, target)

    def start_suspect(self, request, wanted, target):
        digest, now = request.digest, self.sim.now
        if self.quarantine.compute_refusal_ms(digest, now):
            self.end(request, 'quarantined')
        elif self.quarantine.may_start(digest, now):
            self.start(request, wanted, target)
        else:
            self.release(request)
            self.sim.after(NO_TARGET_MS, self.send, request)

    def start(self, request, wanted, target):
        self.loads.record_sent(target.name, wanted, self.sim.now)
        self.prefixes.record_stored(target.name, request.blocks)
        request.attempts += 1
        request.attempt, request.target = wanted.attempt_id, target.name
        request.entry = self
        if not self.sim.submit(request):
            self.lost(request, not_run=True)

    def token(self, request):
        now = self.sim.now
        request.emitted += 1
        self.loads.record_first_token(request.attempt, now)
        if request.first_ms is None:
            request.first_ms = now
        if request.emitted < request.output:
            return
        request.end_ms = now
        request.target = ''
        self.loads.record_end(
            request.attempt, now, output_tokens=request.output
        )
        self.costs.observe(*request.pair, request.prompt, request.output)
        self.release(request, whole=True)
        self.end(request, '')

    def end(self, request, refused):
        request.refused = refused
        self.open_by_name.pop(request.name)
        self.meter.remove_deferred(request.name)
        self.queue.record_end(request.ticket, self.sim.now)
        self.pump()

    def target_died(self, target, reclaimed):
        hit = [r for r in self.open_by_name.values() if r.target == target]
        self.loads.record_crash(target, self.sim.now)
        digests = sorted({request.digest for request in hit})
        if not reclaimed:
            now = self.sim.now
            for blame in self.quarantine.record_target_crash(
                target, digests, now
            ):
                self.sim.tell(self, blame)
        for request in hit:
            self.lost(request, not_run=False)

    def lost(self, request, *, not_run):
        now = self.sim.now
        request.tried |= {request.target}
        request.target = ''
        self.loads.record_end(request.attempt, now, failed=True)
        self.release(request)
        delay_ms = self.budgets.plan_retry_ms(
            request.route, request.attempts, now, not_run=not_run
        )
        if delay_ms is None:
            self.end(request, 'target-failed')
        else:
            self.sim.after(delay_ms, self.send, request)

    def release(self, request, *, whole=False):
        message = self.quarantine.release(
            request.digest, self.sim.now, is_complete=whole
        )
        if message is not None:
            self.sim.tell(self, message)

    def tick(self):
        self.loads.tick(self.sim.now)
        for found in self.quarantine.tick(self.sim.now):
            self.sim.quarantined.add(found.digest)
            self.sim.tell(self, found)
        self.pump()
