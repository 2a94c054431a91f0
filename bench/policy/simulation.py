"""Discrete-event simulation of engines, entries, faults and role changes."""

import heapq
from functools import partial
from itertools import count

from bench.policy.engine import Engine
from bench.policy.entry import POOL, Entry
from bench.policy.workload import (
    DURATION_MS,
    SCENARIOS,
    ZONES,
    generate_requests,
)
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

FAULT_AT_MS = 60_000
SECOND_FAULT_DELAY_MS = 20_000
RECLAIM_NOTICE_MS = 3000
RESTART_MS = 30_000
RECLAIM_OUTAGE_MS = 60_000
ROLE_CHANGE_MS = 4000
TAIL_MS = 60_000
NETWORK_DELAY_MS = 20
BROADCAST_DELAY_MS = 300


class Simulation:
    """One run of a scenario with a fault, a seed and a variant."""

    def __init__(self, scenario, fault, seed, variant):
        self.now_ms = 0
        self.fault = fault
        self.targets = [
            Target(name=f'e{n}', pool=POOL, url='', zone=ZONES[n % 3])
            for n in range(SCENARIOS[scenario][1])
        ]
        self.engines = {t.name: Engine(t) for t in self.targets}
        self.events = []
        self.event_numbers = count()
        self.changing_targets = set()
        self.role_change_count = 0
        self.crash_count = 0
        self.quarantined_digests = set()
        self.entries = [Entry(self, zone, variant) for zone in ZONES]
        self.planner = ROLE_PLANNERS.get(variant.roles)()
        self.requests = generate_requests(scenario, fault, seed)

    def schedule(self, delay_ms, action, *args):
        """Run an action after a delay; events of one time keep their order."""
        event = (self.now_ms + delay_ms, next(self.event_numbers), action, args)
        heapq.heappush(self.events, event)

    def schedule_periodic(self, period_ms, action):
        action()
        self.schedule(period_ms, self.schedule_periodic, period_ms, action)

    def run(self):
        for number, request in enumerate(self.requests):
            entry = self.entries[number % len(self.entries)]
            self.schedule(request.arrival_ms, entry.handle_arrival, request)
        is_stale = self.fault == 'stale'
        lag_ms, period_ms = (10_000, 5000) if is_stale else (1000, 500)
        for engine in self.engines.values():
            self.schedule_periodic(
                1000, partial(self.broadcast_report, engine, lag_ms)
            )
        for entry in self.entries:
            self.schedule_periodic(
                period_ms, partial(self.broadcast_view, entry)
            )
        self.schedule_periodic(1000, self.run_control)
        self.schedule_fault()
        while self.events and self.events[0][0] < DURATION_MS + TAIL_MS:
            at_ms, _, action, args = heapq.heappop(self.events)
            self.now_ms = int(at_ms)
            action(*args)
        return self

    def submit(self, request):
        engine = self.engines[request.target]
        if engine.is_alive:
            engine.add(request)
            if not engine.is_busy:
                self.start_step(engine)
        return engine.is_alive

    def start_step(self, engine):
        step_ms = engine.begin_step()
        engine.is_busy = bool(step_ms)
        if step_ms:
            self.schedule(step_ms, self.end_step, engine, engine.prefill_chunk)

    def end_step(self, engine, chunk):
        """End a step; a step that a crash cut off has another chunk."""
        if chunk is not engine.prefill_chunk or not engine.is_alive:
            return
        served = engine.end_step()
        if any(attempt.request.is_poison for attempt in served):
            self.crash(engine)
            return
        for attempt in served:
            attempt.request.entry.record_token(attempt.request)
        self.start_step(engine)

    def schedule_fault(self):
        for number, engine in enumerate(self.engines.values()):
            if self.fault == 'crash' and number in {0, 3}:
                delay_ms = FAULT_AT_MS + SECOND_FAULT_DELAY_MS * (number == 3)
                self.schedule(delay_ms, self.crash, engine)
            if self.fault == 'zone' and engine.target.zone == 'a':
                self.schedule(FAULT_AT_MS, self.set_draining, engine, True)
                self.schedule(
                    FAULT_AT_MS + RECLAIM_NOTICE_MS, self.crash, engine, True
                )

    def set_draining(self, engine, is_draining):
        """Set at all entries whether an engine is draining."""
        for entry in self.entries:
            entry.loads.set_draining(
                engine.target.name, self.now_ms, active=is_draining
            )

    def crash(self, engine, is_reclaimed=False):
        if not engine.is_alive:
            return
        self.crash_count += 1
        engine.is_alive = engine.is_busy = False
        engine.reset()
        for entry in self.entries:
            name = engine.target.name
            self.schedule(
                NETWORK_DELAY_MS, entry.handle_target_crash, name, is_reclaimed
            )
        self.schedule(
            RECLAIM_OUTAGE_MS if is_reclaimed else RESTART_MS,
            self.mark_ready,
            engine,
        )

    def mark_ready(self, engine, role='mixed'):
        engine.is_alive = True
        engine.role = role
        self.changing_targets.discard(engine.target.name)
        self.set_draining(engine, False)

    def schedule_at_peers(self, sender, delay_ms, action):
        """Run an action at all entries other than the sender after a delay."""
        for entry in self.entries:
            if entry is not sender:
                self.schedule(delay_ms, action, entry)

    def broadcast_report(self, engine, lag_ms):
        if not engine.is_alive:
            return
        name = engine.target.name
        load = ReportedLoad(
            age_ms=lag_ms,
            role=engine.role,
            running=len(engine.running),
            queued=sum(map(len, engine.waiting)),
            prefill_tokens=sum(
                max(0, attempt.prefill_tokens_left)
                for attempt in engine.list_attempts()
            ),
        )
        self.schedule_at_peers(
            None,
            lag_ms,
            lambda e: e.loads.apply_report(name, load, self.now_ms),
        )

    def broadcast_view(self, sender):
        view = sender.loads.build_view()
        self.schedule_at_peers(
            sender,
            NETWORK_DELAY_MS,
            lambda e: e.loads.apply_peer_view(sender.name, view, self.now_ms),
        )

    def broadcast(self, sender, message):
        self.schedule_at_peers(
            sender,
            BROADCAST_DELAY_MS,
            lambda e: e.quarantine.apply(message, self.now_ms),
        )

    def run_control(self):
        """Plan role changes from the demand of all entries and start them."""
        parts = [e.meter.measure(POOL, self.now_ms) for e in self.entries]
        demand = PoolDemand(
            pool=POOL,
            **{
                name: sum(getattr(part, name) for part in parts)
                for name in PoolDemand.__struct_fields__[1:]
            },
        )
        targets = [
            self.build_target_view(engine) for engine in self.engines.values()
        ]
        view = FleetView(targets=targets, demands=[demand])
        for change in self.planner.plan(view, self.now_ms):
            engine = self.engines[change.target]
            self.role_change_count += 1
            self.changing_targets.add(change.target)
            self.set_draining(engine, True)
            self.change_role_when_empty(engine, change.role.value)
        for entry in self.entries:
            entry.tick()

    def build_target_view(self, engine):
        phase = TargetPhase.ready
        if engine.target.name in self.changing_targets:
            phase = TargetPhase.changing
        return TargetView(
            name=engine.target.name,
            pool=POOL,
            zone=engine.target.zone,
            role=Role(engine.role),
            phase=phase if engine.is_alive else TargetPhase.leaving,
            open_requests=len(engine.list_attempts()),
        )

    def change_role_when_empty(self, engine, role, is_changed=False):
        if is_changed and engine.is_alive:
            self.mark_ready(engine, role)
        elif engine.is_alive:
            wait_ms = 100 if engine.list_attempts() else ROLE_CHANGE_MS
            is_empty = not engine.list_attempts()
            self.schedule(
                wait_ms, self.change_role_when_empty, engine, role, is_empty
            )
