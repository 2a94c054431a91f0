"""Event loop of the bench: engines, entries, faults and role changes."""

import heapq
from functools import partial
from itertools import count

from bench.policy.engine import Engine
from bench.policy.entry import POOL, Entry
from bench.policy.workload import DURATION_MS, SCENARIOS, ZONES, requests_of
from cicadahoist.policy.fleet import (
    FleetView,
    PoolDemand,
    Role,
    TargetPhase,
    TargetView,
)
from cicadahoist.policy.load import ReportedLoad
from cicadahoist.policy.roles import ROLE_PLANNERS
from cicadahoist.table import Target

FAULT_MS = 60_000
SECOND_FAULT_MS = 20_000
NOTICE_MS = 3000
RESTART_MS = 30_000
RECLAIMED_MS = 60_000
CHANGE_MS = 4000
TAIL_MS = 60_000
LAG_MS = 20
TELL_MS = 300


class Simulation:
    """One run of a scenario."""

    def __init__(self, scenario, fault, seed, variant):
        self.now = 0
        self.fault = fault
        self.targets = [
            Target(name=f'e{n}', pool=POOL, url='', zone=ZONES[n % 3])
            for n in range(SCENARIOS[scenario][1])
        ]
        self.engines = {t.name: Engine(t) for t in self.targets}
        self.events = []
        self.numbers = count()
        self.changing = set()
        self.role_changes = 0
        self.crashes = 0
        self.quarantined = set()
        self.entries = [Entry(self, zone, variant) for zone in ZONES]
        self.planner = ROLE_PLANNERS.get(variant.roles)()
        self.requests = requests_of(scenario, fault, seed)

    def after(self, delay_ms, action, *args):
        entry = (self.now + delay_ms, next(self.numbers), action, args)
        heapq.heappush(self.events, entry)

    def every(self, period_ms, action):
        action()
        self.after(period_ms, self.every, period_ms, action)

    def run(self):
        for number, request in enumerate(self.requests):
            entry = self.entries[number % len(self.entries)]
            self.after(request.at_ms, entry.arrive, request)
        stale = self.fault == 'stale'
        lag_ms, period_ms = (10_000, 5000) if stale else (1000, 500)
        for engine in self.engines.values():
            self.every(1000, partial(self.report, engine, lag_ms))
        for entry in self.entries:
            self.every(period_ms, partial(self.exchange, entry))
        self.every(1000, self.control)
        self.schedule_fault()
        while self.events and self.events[0][0] < DURATION_MS + TAIL_MS:
            at_ms, _, action, args = heapq.heappop(self.events)
            self.now = int(at_ms)
            action(*args)
        return self

    def submit(self, request):
        engine = self.engines[request.target]
        if engine.alive:
            engine.add(request)
            if not engine.busy:
                self.begin(engine)
        return engine.alive

    def begin(self, engine):
        step_ms = engine.begin_step()
        engine.busy = bool(step_ms)
        if step_ms:
            self.after(step_ms, self.end_step, engine, engine.chunk)

    def end_step(self, engine, chunk):
        if chunk is not engine.chunk or not engine.alive:
            return
        served = engine.end_step()
        if any(work.request.poison for work in served):
            self.crash(engine)
            return
        for work in served:
            work.request.entry.token(work.request)
        self.begin(engine)

    def schedule_fault(self):
        for number, engine in enumerate(self.engines.values()):
            if self.fault == 'crash' and number in {0, 3}:
                delay_ms = FAULT_MS + SECOND_FAULT_MS * (number == 3)
                self.after(delay_ms, self.crash, engine)
            if self.fault == 'zone' and engine.target.zone == 'a':
                self.after(FAULT_MS, self.drain, engine, True)
                self.after(FAULT_MS + NOTICE_MS, self.crash, engine, True)

    def drain(self, engine, active):
        for entry in self.entries:
            entry.loads.set_draining(
                engine.target.name, self.now, active=active
            )

    def crash(self, engine, reclaimed=False):
        if not engine.alive:
            return
        self.crashes += 1
        engine.alive = engine.busy = False
        engine.crash()
        for entry in self.entries:
            name = engine.target.name
            self.after(LAG_MS, entry.target_died, name, reclaimed)
        self.after(
            RECLAIMED_MS if reclaimed else RESTART_MS, self.ready, engine
        )

    def ready(self, engine, role='mixed'):
        engine.alive = True
        engine.role = role
        self.changing.discard(engine.target.name)
        self.drain(engine, False)

    def to_others(self, sender, delay_ms, action):
        for entry in self.entries:
            if entry is not sender:
                self.after(delay_ms, action, entry)

    def report(self, engine, lag_ms):
        if not engine.alive:
            return
        name = engine.target.name
        load = ReportedLoad(
            age_ms=lag_ms,
            role=engine.role,
            running=len(engine.running),
            queued=sum(map(len, engine.waiting)),
            prefill_tokens=sum(max(0, work.left) for work in engine.works()),
        )
        self.to_others(
            None, lag_ms, lambda e: e.loads.apply_report(name, load, self.now)
        )

    def exchange(self, sender):
        view = sender.loads.build_view()
        self.to_others(
            sender,
            LAG_MS,
            lambda e: e.loads.apply_peer_view(sender.name, view, self.now),
        )

    def tell(self, sender, message):
        self.to_others(
            sender, TELL_MS, lambda e: e.quarantine.apply(message, self.now)
        )

    def control(self):
        parts = [e.meter.measure(POOL, self.now) for e in self.entries]
        demand = PoolDemand(
            pool=POOL,
            **{
                name: sum(getattr(part, name) for part in parts)
                for name in PoolDemand.__struct_fields__[1:]
            },
        )
        targets = [self.view_of(engine) for engine in self.engines.values()]
        view = FleetView(targets=targets, demands=[demand])
        for change in self.planner.plan(view, self.now):
            engine = self.engines[change.target]
            self.role_changes += 1
            self.changing.add(change.target)
            self.drain(engine, True)
            self.await_empty(engine, change.role.value)
        for entry in self.entries:
            entry.tick()

    def view_of(self, engine):
        phase = TargetPhase.ready
        if engine.target.name in self.changing:
            phase = TargetPhase.changing
        return TargetView(
            name=engine.target.name,
            pool=POOL,
            zone=engine.target.zone,
            role=Role(engine.role),
            phase=phase if engine.alive else TargetPhase.leaving,
            open_requests=len(engine.works()),
        )

    def await_empty(self, engine, role, changed=False):
        if changed and engine.alive:
            self.ready(engine, role)
        elif engine.alive:
            wait_ms = 100 if engine.works() else CHANGE_MS
            empty = not engine.works()
            self.after(wait_ms, self.await_empty, engine, role, empty)
