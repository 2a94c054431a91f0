from collections import Counter

import pytest

from cicadahoist.policy.routing import ROUTERS
from tests.test_policy.helpers import (
    make_attempt,
    make_loads,
    make_router,
    make_targets,
)


@pytest.mark.parametrize('name', list(ROUTERS))
def test_excludes_tried_draining_and_ejected_targets(name):
    targets = make_targets(5)
    loads = make_loads(targets)
    loads.set_draining('engine-1', 0, active=True)
    loads.record_crash('engine-2', 0)
    router = make_router(loads, name)
    chosen = set()
    for number in range(20):
        tried = frozenset({'engine-0'})
        request = make_attempt(f'a{number}', excluded_targets=tried)
        target = router.choose(request, targets, 1)
        loads.record_sent(target.name, request, 1)
        chosen.add(target.name)
    assert chosen <= {'engine-3', 'engine-4'}


@pytest.mark.parametrize('name', list(ROUTERS))
def test_returns_none_if_no_target_may_run_the_attempt(name):
    targets = make_targets(2, price=500)
    router = make_router(make_loads(targets), name)
    costly_request = make_attempt('a', price_ceiling=400)
    assert router.choose(costly_request, targets, 0) is None
    assert router.choose(make_attempt('b', cheap_only=True), targets, 0) is None
    assert router.choose(make_attempt('c'), [], 0) is None


def test_prefers_the_own_zone_until_it_is_loaded():
    targets = make_targets(6)
    loads = make_loads(targets)
    router = make_router(loads, zone='b')
    zones = Counter()
    for number in range(12):
        request = make_attempt(f'a{number}', prefill=400)
        target = router.choose(request, targets, 0)
        loads.record_sent(target.name, request, 0)
        zones[target.zone] += 1
        if number == 1:
            assert set(zones) == {'b'}
    assert set(zones) == {'a', 'b', 'c'}


def test_prefers_the_cached_prefix_up_to_a_load():
    targets = make_targets(6)
    loads = make_loads(targets)
    router = make_router(loads)
    blocks = tuple(range(8))
    router._prefixes.record_stored('engine-4', blocks)
    names = []
    for number in range(12):
        request = make_attempt(f'a{number}', prefill=2100, blocks=blocks)
        target = router.choose(request, targets, 0)
        loads.record_sent(target.name, request, 0)
        names.append(target.name)
    assert names[0] == 'engine-4'
    assert names.count('engine-4') <= 4


def test_considers_few_targets_of_a_large_pool():
    targets = make_targets(1800)
    loads = make_loads(targets)
    considered = Counter()
    original = loads.get_state

    def get_counted(name):
        considered['targets'] += 1
        return original(name)

    router = make_router(loads)
    router._candidates._loads = type('Counted', (), {'get_state': get_counted})
    attempts_by_target = Counter()
    for number in range(200):
        request = make_attempt(f'a{number}')
        target = router.choose(request, targets, 0)
        loads.record_sent(target.name, request, 0)
        attempts_by_target[target.name] += 1
    assert considered['targets'] <= 200 * 20
    assert max(attempts_by_target.values()) <= 2


def test_urgent_requests_stay_off_prefill_engines():
    targets = make_targets(3)
    loads = make_loads(targets)
    loads.get_state('engine-0').role = 'prefill'
    router = make_router(loads, zone='a')
    for number in range(10):
        request = make_attempt(f'a{number}')
        assert router.choose(request, targets, 0).name != 'engine-0'
