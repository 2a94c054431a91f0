"""Plans of targets and roles as reclaimable targets come and go."""

import pytest

from cicadahoist.policy.demand_rate import DemandRate
from cicadahoist.policy.fleet_plan import (
    FleetPlan,
    ZoneFleet,
    count_wanted_targets,
)
from cicadahoist.policy.role_plan import EngineView, plan_roles
from cicadahoist.rules import OrderLimits

ZONES = ('a', 'b', 'c')
PRICES = {'a': 1.0, 'b': 0.8, 'c': 1.25}


def limits(cheap_price=0.15, most=4):
    return OrderLimits(
        min_targets=1,
        max_targets=most,
        boot_ms=4000,
        cheap_price_ratio=cheap_price,
        price_by_zone=PRICES,
    )


def fleet(zone, steady=0, cheap=0, ready=None):
    return ZoneFleet(
        zone=zone,
        steady_count=steady,
        cheap_count=cheap,
        ready_cheap_count=cheap if ready is None else ready,
    )


def plan_zones(fleets, wanted=12, is_idle=False, **terms):
    fleet_plan = FleetPlan(limits(**terms), fleets, wanted, is_idle=is_idle)
    return {
        plan.zone: (plan.steady_count, plan.cheap_count)
        for plan in fleet_plan.plan_zones()
    }


def test_cheap_engines_replace_steady_ones_before_traffic():
    fleets = [fleet(zone, steady=2) for zone in ZONES]
    assert plan_zones(fleets, is_idle=True) == {
        'a': (1, 3),
        'b': (1, 3),
        'c': (1, 3),
    }


def test_one_steady_engine_stays_in_the_cheapest_zone():
    fleets = [fleet(zone, steady=1, cheap=3) for zone in ZONES]
    assert plan_zones(fleets) == {'a': (0, 4), 'b': (1, 3), 'c': (0, 4)}


def test_steady_engines_are_kept_under_load_until_cheap_ones_serve():
    fleets = [fleet(zone, steady=2, cheap=2, ready=0) for zone in ZONES]
    assert all(steady == 2 for steady, _ in plan_zones(fleets).values())


def test_a_reclaimed_zone_gets_stand_ins_and_room_for_cheap_ones():
    fleets = [
        fleet('a', steady=0, cheap=4),
        fleet('b', steady=1, cheap=3),
        fleet('c', steady=0, cheap=0),
    ]
    plans = plan_zones(fleets)
    assert plans['c'] == (3, 1) or plans['c'] == (2, 2)
    assert plans['a'] == (0, 4)
    assert plans['b'] == (1, 3)


def test_stand_ins_stay_until_cheap_engines_serve_again():
    booting = [
        fleet('a', cheap=4),
        fleet('b', steady=1, cheap=3),
        fleet('c', steady=2, cheap=2, ready=0),
    ]
    assert plan_zones(booting)['c'][0] == 2
    serving = [*booting[:2], fleet('c', steady=2, cheap=2)]
    assert plan_zones(serving)['c'] == (0, 4)


def test_plan_is_stable_once_carried_out():
    state = {zone: (2, 0) for zone in ZONES}
    seen = []
    for _ in range(6):
        fleets = [
            fleet(zone, steady=steady, cheap=cheap)
            for zone, (steady, cheap) in state.items()
        ]
        state = plan_zones(fleets)
        seen.append(state)
    assert seen[-1] == seen[-2]


def test_cheap_engines_near_the_steady_price_are_not_ordered():
    fleets = [fleet(zone, steady=2) for zone in ZONES]
    assert plan_zones(fleets, cheap_price=0.9) == {
        zone: (2, 0) for zone in ZONES
    }


@pytest.mark.parametrize('steady', range(5))
@pytest.mark.parametrize('ready', range(5))
def test_plans_stay_within_the_bounds_of_a_zone(steady, ready):
    fleets = [
        fleet(zone, steady=steady, cheap=4, ready=ready) for zone in ZONES
    ]
    for is_idle in (True, False):
        for steady_count, cheap_count in plan_zones(
            fleets, is_idle=is_idle
        ).values():
            assert steady_count >= 0
            assert cheap_count >= 0
            assert 1 <= steady_count + cheap_count <= 4


def test_demand_above_the_start_wants_more_engines():
    assert count_wanted_targets(limits(most=30), 3, 11, 2) == 22
    assert count_wanted_targets(limits(most=30), 3, 11, 9) == 36
    assert count_wanted_targets(limits(), 3, 11, 9) == 12


def test_demand_covers_all_instances_and_expires():
    rate = DemandRate()
    rate.instance_count = 9
    assert rate.is_idle(0)
    for now_ms in range(0, 15_000, 100):
        rate.record_arrival(20, now_ms)
    assert 1.6 < rate.estimate_busy_engines(15_000) < 2.0
    assert not rate.is_idle(16_000)
    assert rate.estimate_busy_engines(40_000) == 0
    assert rate.is_idle(40_000)


def view(name, zone, role, **fields):
    return EngineView(name=name, zone=zone, role=role, **fields)


def test_each_zone_gets_one_decode_engine_and_prefill_engines():
    engines = [
        view(f'{zone}{number}', zone, 'decode')
        for zone in ZONES
        for number in range(4)
    ]
    changes = plan_roles(engines, is_idle=True)
    assert len(changes) == 9
    assert {change.role for change in changes} == {'prefill'}


def test_zone_without_decode_engine_gets_one_first():
    engines = [
        view('a1', 'a', 'prefill', is_cheap=True),
        view('a2', 'a', 'prefill'),
        view('b1', 'b', 'decode'),
        view('b2', 'b', 'decode'),
    ]
    changes = plan_roles(engines, is_idle=False)
    assert [(change.engine, change.role) for change in changes] == [
        ('a2', 'decode')
    ]


def test_roles_that_fit_the_plan_do_not_change():
    engines = [
        view('a1', 'a', 'decode'),
        view('a2', 'a', 'prefill'),
        view('a3', 'a', 'prefill'),
    ]
    assert not plan_roles(engines, is_idle=False)


def test_few_engines_change_role_at_a_time_under_load():
    engines = [view(f'a{n}', 'a', 'decode') for n in range(8)]
    assert len(plan_roles(engines, is_idle=False)) == 2
    engines[7] = view('a7', 'a', 'decode', is_changing=True)
    assert len(plan_roles(engines, is_idle=False)) == 1


def test_role_change_under_way_is_not_ordered_again():
    engines = [
        view('a1', 'a', 'decode'),
        view('a2', 'a', 'decode', is_changing=True),
    ]
    assert not plan_roles(engines, is_idle=True)
