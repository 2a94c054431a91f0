from random import Random

import pytest

from cicadahoist.policy.fleet import (
    FleetView,
    ModelDemand,
    PoolDemand,
    Role,
    TargetPhase,
    TargetView,
)
from cicadahoist.policy.roles import ROLE_PLANNERS
from cicadahoist.policy.spending import (
    Prices,
    SpendingPlanner,
    TargetOrder,
    TargetRelease,
    find_cheapest_fleet,
)
from cicadahoist.policy.weights import WeightPlanner

ZONES = ['a', 'b', 'c']
PREFILL_HEAVY = PoolDemand(pool='p', prefill_per_ms=48, decode_per_ms=1)
DECODE_HEAVY = PoolDemand(pool='p', prefill_per_ms=4, decode_per_ms=14)


def engines(roles, **given):
    return [
        TargetView(
            name=f'e{n}', pool='p', zone='abc'[n % 3], role=role, **given
        )
        for n, role in enumerate(roles)
    ]


def run_roles(planner, demands, period_ms=1000):
    roles = [Role.mixed] * 6
    changes = 0
    for step, demand in enumerate(demands):
        view = FleetView(targets=engines(roles), demands=[demand])
        for change in planner.plan(view, step * period_ms):
            roles[int(change.target[1:])] = change.role
            changes += 1
    return roles, changes


def test_roles_follow_a_stable_mix():
    roles, changes = run_roles(
        ROLE_PLANNERS.get('planned')(), [PREFILL_HEAVY] * 600
    )
    assert Role.prefill in roles
    assert 1 <= changes <= 5


def test_swings_of_a_few_seconds_are_left_to_routing():
    swings = ([PREFILL_HEAVY] * 5 + [DECODE_HEAVY] * 5) * 100
    _, planned = run_roles(ROLE_PLANNERS.get('planned')(), swings)
    _, greedy = run_roles(ROLE_PLANNERS.get('greedy')(), swings)
    assert planned <= 4
    assert greedy >= 100


def test_one_engine_changes_at_a_time():
    targets = engines([Role.mixed] * 5)
    targets += engines([Role.mixed], phase=TargetPhase.changing)
    planner = ROLE_PLANNERS.get('planned')()
    for now_ms in range(0, 300_000, 1000):
        view = FleetView(targets=targets, demands=[PREFILL_HEAVY])
        assert planner.plan(view, now_ms) == []


@pytest.mark.parametrize('seed', range(20))
def test_cheapest_fleet_survives_the_loss_of_a_zone(seed):
    rng = Random(seed)
    strict = rng.randint(1, 12)
    total = strict + rng.randint(0, 6)
    zones = rng.sample(ZONES, rng.randint(0, 3))
    fleet = find_cheapest_fleet(strict, total, zones, Prices())
    assert fleet.total >= total
    assert fleet.without_worst_zone >= strict
    assert fleet.dedicated >= 1


def make_view(targets, strict, **given):
    demand = PoolDemand(pool='p', strict_engines=strict)
    return FleetView(targets=targets, demands=[demand], zones=ZONES, **given)


def test_orders_dedicated_targets_if_no_cheap_one_is_available():
    view = make_view([], 3.5, cheap_unavailable=frozenset(ZONES))
    orders = SpendingPlanner().plan(view, 0)
    assert len(orders) == 4
    assert not any(order.reclaimable for order in orders)


def test_orders_ahead_of_a_peak_of_the_day_before():
    planner = SpendingPlanner()
    for minute in range(24 * 60):
        strict = 5 if 420 <= minute < 540 else 0.8
        at_ms = minute * 60_000
        planner.plan(make_view([], strict, day_ms=at_ms), at_ms)
    at_ms = (24 * 60 + 418) * 60_000
    orders = planner.plan(make_view([], 0.8, day_ms=at_ms), at_ms)
    assert len(orders) >= 6


def test_releases_late_and_one_at_a_time():
    planner = SpendingPlanner()
    targets = engines([Role.mixed] * 6)
    released = []
    for minute in range(30):
        plans = planner.plan(make_view(targets, 0.5), minute * 60_000)
        releases = [plan for plan in plans if isinstance(plan, TargetRelease)]
        assert len(releases) <= 1
        released.extend(minute for _ in releases)
    assert released
    assert released[0] >= 5


def test_does_not_release_while_an_order_is_pending():
    planner = SpendingPlanner()
    targets = engines([Role.mixed] * 6)
    targets += engines([Role.mixed], phase=TargetPhase.ordered)
    for minute in range(60):
        plans = planner.plan(make_view(targets, 0.5), minute * 60_000)
        assert not any(isinstance(plan, TargetRelease) for plan in plans)


def test_repeated_plans_do_not_order_twice():
    planner = SpendingPlanner()
    targets = []
    for step in range(5):
        for order in planner.plan(make_view(targets, 3), step * 1000):
            assert isinstance(order, TargetOrder)
            targets.append(
                TargetView(
                    name=f't{len(targets)}',
                    pool='p',
                    zone=order.zone,
                    reclaimable=order.reclaimable,
                    phase=TargetPhase.ordered,
                )
            )
        if step == 0:
            first_order_count = len(targets)
    assert len(targets) == first_order_count


def make_demand(model, per_s, size_mb=10_000):
    return ModelDemand(
        pool='p', model=model, size_mb=size_mb, missed_per_s=per_s
    )


def test_first_copies_and_most_missed_models_load_first():
    targets = engines([Role.mixed] * 3, models=frozenset({'held'}))
    targets += engines([Role.mixed])
    view = FleetView(
        targets=targets,
        demands=[],
        models=[
            make_demand('held', 9),
            make_demand('rare', 1),
            make_demand('often', 5),
        ],
    )
    loads = WeightPlanner().plan(view, 0)
    assert [load.model for load in loads] == ['often', 'rare']


def test_loads_stay_under_the_rate_limit():
    planner = WeightPlanner(mb_per_ms=1)
    loaded_mb = 0
    for second in range(100):
        view = FleetView(
            targets=engines([Role.mixed] * 30),
            demands=[],
            models=[make_demand(f'm{n}', 1, 4000) for n in range(24)],
        )
        loaded_mb += 4000 * len(planner.plan(view, second * 1000))
    assert loaded_mb <= 20_000 + 99_000
    assert loaded_mb >= 90_000
