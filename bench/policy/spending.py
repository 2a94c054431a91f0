"""Fluid model of two days in steps of a minute, for orders and releases."""

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
DAY = 24 * 60
DAYS = 4
FIRST_SCORED = DAY
ARRIVAL_MIN = 3
LEDGER_AT = 22 * 60
LEDGER_DUE = 30 * 60
PRICES = Prices()
LEDGER_BY_DEPLOYMENT = {'tayside': 24.0, 'pilbara': 6.0}
PEAK_BY_DEPLOYMENT = {'tayside': 2.2, 'pilbara': 5.0}


def strict_at(minute, peak, rng):
    """Return the engines that strict work needs."""
    hour = minute % DAY / 60
    base = 0.3
    if 7 <= hour < 18:
        base = 0.55 * peak
    if 6.5 <= hour < 9:
        base = peak * min(1, (hour - 6.5) / 0.5)
    return max(0.2, base * rng.uniform(0.9, 1.1))


class Days:
    """Targets, orders, outages of cheap targets, and their cost."""

    def __init__(self, deployment, seed):
        self.rng = Random(f'{deployment}/{seed}')
        self.peak = PEAK_BY_DEPLOYMENT[deployment]
        self.ledger = LEDGER_BY_DEPLOYMENT[deployment]
        self.targets = []
        self.number = 0
        self.backlog = 0.0
        self.gone_until = dict.fromkeys(ZONES, -1)
        self.cost = self.bound = 0.0
        self.short = self.late = 0.0
        self.batch_cheap = self.batch_done = 0.0

    def view(self, minute, strict):
        due = LEDGER_DUE - (minute - LEDGER_AT) % DAY
        hours_left = max(0.25, (due % DAY) / 60)
        batch = self.backlog / hours_left
        return FleetView(
            targets=[target for target, _ in self.targets],
            demands=[
                PoolDemand(
                    pool='engines', strict_engines=strict, batch_engines=batch
                )
            ],
            zones=list(ZONES),
            cheap_unavailable=self.unavailable(minute),
            day_ms=minute % DAY * MINUTE_MS,
        )

    def unavailable(self, minute):
        return frozenset(z for z in ZONES if self.gone_until[z] > minute)

    def order(self, order, minute):
        self.number += 1
        price = PRICES.cheap if order.reclaimable else PRICES.dedicated
        target = TargetView(
            name=f't{self.number}',
            pool=order.pool,
            zone=order.zone,
            reclaimable=order.reclaimable,
            price=price,
            phase=TargetPhase.ordered,
        )
        self.targets.append((target, minute + ARRIVAL_MIN))

    def apply(self, plans, minute):
        for plan in plans:
            if isinstance(plan, TargetOrder):
                self.order(plan, minute)
            else:
                self.targets = [
                    one for one in self.targets if one[0].name != plan.target
                ]

    def reclaim(self, minute):
        """Take all cheap targets of a zone away about three times a day."""
        if self.rng.random() < 3 / DAY:
            zone = self.rng.choice(ZONES)
            self.gone_until[zone] = minute + self.rng.randint(10, 180)
            self.targets = [
                one
                for one in self.targets
                if one[0].zone != zone or not one[0].reclaimable
            ]

    def arrive(self, minute):
        self.targets = [
            (ready(target) if at <= minute else target, at)
            for target, at in self.targets
        ]

    def work(self, minute, strict, scored):
        running = [t for t, _ in self.targets if t.phase is TargetPhase.ready]
        cheap = sum(target.reclaimable for target in running)
        spare = len(running) - strict
        done = min(self.backlog, max(0, spare) / 60)
        self.backlog -= done
        if minute % DAY == LEDGER_DUE % DAY:
            self.late += self.backlog * scored
            self.backlog = 0.0
        if not scored:
            return
        self.short += max(0, -spare) / 60
        self.cost += sum(t.price for t, _ in self.targets) / 60_000
        self.batch_done += done
        self.batch_cheap += done * min(1, cheap / max(1, spare))
        zones = [z for z in ZONES if z not in self.unavailable(minute)]
        least = math.ceil(strict)
        best = find_cheapest_fleet(least, least, zones, PRICES)
        held = best.dedicated + 0.35 * (best.total - best.dedicated)
        self.bound += held / 60
        self.bound += max(0, done - (best.total - strict) / 60) * 0.35

    def run(self, planner):
        for minute in range(DAYS * DAY):
            scored = minute >= FIRST_SCORED
            if minute % DAY == LEDGER_AT:
                self.backlog += self.ledger
            strict = strict_at(minute, self.peak, self.rng)
            self.reclaim(minute)
            self.arrive(minute)
            view = self.view(minute, strict)
            self.apply(planner.plan(view, minute * MINUTE_MS), minute)
            self.work(minute, strict, scored)
        return self


def ready(target):
    return TargetView(
        name=target.name,
        pool=target.pool,
        zone=target.zone,
        reclaimable=target.reclaimable,
        price=target.price,
    )


class DedicatedOnly(SpendingPlanner):
    """Baseline: the same planner without cheap targets."""

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
    for deployment in PEAK_BY_DEPLOYMENT:
        for name, kind in (
            ('policy', SpendingPlanner),
            ('dedicated only', DedicatedOnly),
        ):
            runs = [Days(deployment, seed).run(kind()) for seed in seeds]
            cost = sum(r.cost for r in runs) / sum(r.bound for r in runs)
            short = sum(run.short for run in runs) / len(runs)
            late = sum(run.late for run in runs) / len(runs)
            cheap = sum(run.batch_cheap for run in runs) / max(
                1, sum(run.batch_done for run in runs)
            )
            print(
                f'| {deployment} | {name} | {cost:.2f} | {short:.2f} '
                f'| {late:.2f} | {cheap:.0%} |'
            )
