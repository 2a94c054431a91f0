from cicadahoist.policy.load import ReportedLoad
from cicadahoist.policy.speed import TargetSpeed
from tests.test_policy.helpers import make_attempt, make_loads, make_targets


def test_concurrent_answers_shrink_the_slots_once():
    speed = TargetSpeed()
    before = speed.slots
    for number in range(20):
        speed.observe_decode(50, 1000, 5000 + number, 20)
    assert before * 0.85 < speed.slots < before
    speed.observe_decode(50, 6000, 10_000, 20)
    assert speed.slots < before * 0.85


def test_only_new_targets_have_a_slow_start():
    loads = make_loads(make_targets(2))
    loads.sync(make_targets(3), 1000)
    old_target, _, new_target = (
        loads.get_state(f'engine-{n}') for n in range(3)
    )
    assert old_target.compute_usable_share(1000) == 1
    assert new_target.compute_usable_share(1000) < 0.5
    assert new_target.compute_usable_share(60_000) == 1


def test_load_of_a_peer_expires_when_it_sends_none():
    targets = make_targets(1)
    peer = make_loads(targets)
    for number in range(5):
        peer.record_sent('engine-0', make_attempt(f'a{number}'), 0)
    loads = make_loads(targets)
    loads.apply_peer_view('peer', peer.build_view(), 0)
    loads.apply_peer_view('peer', peer.build_view(), 500)
    assert loads.get_state('engine-0').open_requests == 5
    assert (
        loads.get_state('engine-0').count_backlog_tokens(is_urgent=False) == 500
    )
    assert loads.get_state('engine-0').count_backlog_tokens(is_urgent=True) == 0
    loads.tick(60_000)
    assert loads.get_state('engine-0').open_requests == 0


def test_crashed_target_is_ejected_for_a_time():
    loads = make_loads(make_targets(2))
    loads.record_crash('engine-0', 0)
    assert loads.get_totals('engines').targets == 1
    loads.tick(60_000)
    assert loads.get_totals('engines').targets == 2


def test_report_adds_only_load_that_is_not_known():
    loads = make_loads(make_targets(1))
    for number in range(3):
        loads.record_sent('engine-0', make_attempt(f'a{number}'), 0)
    loads.apply_report('engine-0', ReportedLoad(age_ms=500, running=3), 500)
    assert loads.get_state('engine-0').open_requests == 3
    loads.apply_report('engine-0', ReportedLoad(age_ms=500, running=9), 1000)
    assert loads.get_state('engine-0').open_requests == 9


def test_pool_capacity_follows_each_change():
    loads = make_loads(make_targets(3))
    for number in range(30):
        loads.record_sent(
            f'engine-{number % 3}', make_attempt(f'a{number}'), number
        )
    for number in range(0, 30, 2):
        loads.record_first_token(f'a{number}', 100 + number)
        loads.record_end(f'a{number}', 3000 + number, output_tokens=50)
    incremental = loads.get_totals('engines')
    free, slots = incremental.free, incremental.slots
    loads.tick(4000)
    recomputed = loads.get_totals('engines')
    assert abs(recomputed.free - free) < 1e-6
    assert abs(recomputed.slots - slots) < 1e-6
