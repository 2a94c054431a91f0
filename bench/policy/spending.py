"""
Fluid model of target orders and releases in steps of a minute.

The spending planner runs over several days, of which the first is not scored.
"""

import math
from random import Random

from bench.policy.workload import ZONES
from cicadahoist.policy.fleet import (
    FleetView,
    PoolDemand,
    TargetPhase,
    TargetView,
)
from cicadahoist.policy.spending import (
    Prices,
    SpendingPlanner,
    TargetOrder,
    find_cheapest_fleet,
)

MINUTE_MS = 60_000
MINUTES_PER_DAY = 24 * 60
SIMULATED_DAYS = 4
FIRST_SCORED_MINUTE = MINUTES_PER_DAY
ORDER_LEAD_MINUTES = 3
LEDGER_ARRIVAL_MINUTE = 22 * 60
LEDGER_DUE_MINUTE = 30 * 60
PRICES = Prices()
LEDGER_ENGINE_HOURS_BY_DEPLOYMENT = {'tayside': 24.0, 'pilbara': 6.0}
PEAK_ENGINES_BY_DEPLOYMENT = {'tayside': 2.2, 'pilbara': 5.0}


def draw_strict_engines(minute, peak_engines, rng):
    """
    Return the engines that strict work needs in a minute.

    Low at night, about half the peak by day, with the peak in the morning.
    """
    hour = minute % MINUTES_PER_DAY / 60
    base = 0.3
    if 7 <= hour < 18:
        base = 0.55 * peak_engines
    if 6.5 <= hour < 9:
        base = peak_engines * min(1, (hour - 6.5) / 0.5)
    return max(0.2, base * rng.uniform(0.9, 1.1))


class FleetSimulation:
    """Simulates targets, orders, outages of cheap targets, and their cost."""

    def __init__(self, deployment, seed):
        self.rng = Random(f'{deployment}/{seed}')
        self.peak_engines = PEAK_ENGINES_BY_DEPLOYMENT[deployment]
        self.ledger_engine_hours = LEDGER_ENGINE_HOURS_BY_DEPLOYMENT[deployment]
        self.targets = []
        self.order_count = 0
        self.backlog_engine_hours = 0.0
        self.unavailable_until_by_zone = dict.fromkeys(ZONES, -1)
        self.cost = self.cost_bound = 0.0
        self.short_engine_hours = self.late_engine_hours = 0.0
        self.cheap_batch_engine_hours = self.batch_engine_hours = 0.0

    def build_view(self, minute, strict):
        due = (
            LEDGER_DUE_MINUTE
            - (minute - LEDGER_ARRIVAL_MINUTE) % MINUTES_PER_DAY
        )
        hours_left = max(0.25, (due % MINUTES_PER_DAY) / 60)
        batch = self.backlog_engine_hours / hours_left
        return FleetView(
            targets=[target for target, _ in self.targets],
            demands=[
                PoolDemand(
                    pool='engines', strict_engines=strict, batch_engines=batch
                )
            ],
            zones=list(ZONES),
            cheap_unavailable=self.find_unavailable_zones(minute),
            day_ms=minute % MINUTES_PER_DAY * MINUTE_MS,
        )

    def find_unavailable_zones(self, minute):
        return frozenset(
            z for z in ZONES if self.unavailable_until_by_zone[z] > minute
        )

    def add_order(self, order, minute):
        self.order_count += 1
        price = PRICES.cheap if order.reclaimable else PRICES.dedicated
        target = TargetView(
            name=f't{self.order_count}',
            pool=order.pool,
            zone=order.zone,
            reclaimable=order.reclaimable,
            price=price,
            phase=TargetPhase.ordered,
        )
        self.targets.append((target, minute + ORDER_LEAD_MINUTES))

    def apply_plans(self, plans, minute):
        for plan in plans:
            if isinstance(plan, TargetOrder):
                self.add_order(plan, minute)
            else:
                self.targets = [
                    one for one in self.targets if one[0].name != plan.target
                ]

    def reclaim_zone(self, minute):
        """Reclaim all cheap targets of a zone, on average three times a day."""
        if self.rng.random() < 3 / MINUTES_PER_DAY:
            zone = self.rng.choice(ZONES)
            self.unavailable_until_by_zone[zone] = minute + self.rng.randint(
                10, 180
            )
            self.targets = [
                one
                for one in self.targets
                if one[0].zone != zone or not one[0].reclaimable
            ]

    def mark_arrived(self, minute):
        self.targets = [
            (copy_as_ready(target) if at <= minute else target, at)
            for target, at in self.targets
        ]

    def run_minute(self, minute, strict, is_scored):
        """Serve strict work first, then the backlog; add up the cost."""
        running = [t for t, _ in self.targets if t.phase is TargetPhase.ready]
        cheap = sum(target.reclaimable for target in running)
        spare_engines = len(running) - strict
        done_engine_hours = min(
            self.backlog_engine_hours, max(0, spare_engines) / 60
        )
        self.backlog_engine_hours -= done_engine_hours
        if minute % MINUTES_PER_DAY == LEDGER_DUE_MINUTE % MINUTES_PER_DAY:
            self.late_engine_hours += self.backlog_engine_hours * is_scored
            self.backlog_engine_hours = 0.0
        if not is_scored:
            return
        self.short_engine_hours += max(0, -spare_engines) / 60
        self.cost += sum(t.price for t, _ in self.targets) / 60_000
        self.batch_engine_hours += done_engine_hours
        self.cheap_batch_engine_hours += done_engine_hours * min(
            1, cheap / max(1, spare_engines)
        )
        zones = [
            z for z in ZONES if z not in self.find_unavailable_zones(minute)
        ]
        least = math.ceil(strict)
        best = find_cheapest_fleet(least, least, zones, PRICES)
        hourly_cost = best.dedicated + 0.35 * (best.total - best.dedicated)
        self.cost_bound += hourly_cost / 60
        self.cost_bound += (
            max(0, done_engine_hours - (best.total - strict) / 60) * 0.35
        )

    def run(self, planner):
        for minute in range(SIMULATED_DAYS * MINUTES_PER_DAY):
            is_scored = minute >= FIRST_SCORED_MINUTE
            if minute % MINUTES_PER_DAY == LEDGER_ARRIVAL_MINUTE:
                self.backlog_engine_hours += self.ledger_engine_hours
            strict = draw_strict_engines(minute, self.peak_engines, self.rng)
            self.reclaim_zone(minute)
            self.mark_arrived(minute)
            view = self.build_view(minute, strict)
            self.apply_plans(planner.plan(view, minute * MINUTE_MS), minute)
            self.run_minute(minute, strict, is_scored)
        return self


def copy_as_ready(target):
    return TargetView(
        name=target.name,
        pool=target.pool,
        zone=target.zone,
        reclaimable=target.reclaimable,
        price=target.price,
    )


class DedicatedOnly(SpendingPlanner):
    """Baseline: the same planner with cheap targets unavailable everywhere."""

    def plan(self, view, now_ms):
        return super().plan(
            FleetView(
                targets=view.targets,
                demands=view.demands,
                zones=view.zones,
                cheap_unavailable=frozenset(view.zones),
                day_ms=view.day_ms,
            ),
            now_ms,
        )


def print_spending(seeds):
    print(
        '\n| deployment | planner | cost/bound | strict engine-hours short '
        '| deferred engine-hours late | deferred work on cheap targets |'
    )
    print('|---|---|---|---|---|---|')
    for deployment in PEAK_ENGINES_BY_DEPLOYMENT:
        for name, kind in (
            ('policy', SpendingPlanner),
            ('dedicated only', DedicatedOnly),
        ):
            runs = [
                FleetSimulation(deployment, seed).run(kind()) for seed in seeds
            ]
            cost = sum(r.cost for r in runs) / sum(r.cost_bound for r in runs)
            short = sum(run.short_engine_hours for run in runs) / len(runs)
            late = sum(run.late_engine_hours for run in runs) / len(runs)
            cheap = sum(run.cheap_batch_engine_hours for run in runs) / max(
                1, sum(run.batch_engine_hours for run in runs)
            )
            print(
                f'| {deployment} | {name} | {cost:.2f} | {short:.2f} '
                f'| {late:.2f} | {cheap:.0%} |'
            )
