"""Placement of prompts under the loads that deployments see."""

from cicadahoist.policy.engine_board import (
    DECODE,
    PREFILL,
    EngineBoard,
    EngineState,
    RoleClosure,
)
from cicadahoist.policy.patience import compute_patience_ms, is_worth_accepting
from cicadahoist.policy.peer_loads import InFlightLoad, PeerLoad
from cicadahoist.policy.placement import (
    SAME_ZONE_SAMPLE_COUNT,
    Placer,
    compute_engine_urgency,
    count_uncached_tokens,
    select_stream_engines,
)
from cicadahoist.requests import ModelWork, PromptPart

CACHE = 232_000


def long_prompt(document='doc-1', own=2900, name='own'):
    parts = (
        PromptPart('guide', 2500),
        PromptPart(document, 3800),
        PromptPart(name, own),
    )
    total = sum(part.tokens for part in parts)
    return ModelWork(
        model='m', prompt_tokens=total, max_output_tokens=312, parts=parts
    )


def short_prompt():
    return ModelWork(model='m', prompt_tokens=220, max_output_tokens=312)


def board(prefill_count=3, decode_count=2):
    board = EngineBoard('zone-a')
    board.sync(
        [
            *(engine(f'p{n}', PREFILL) for n in range(prefill_count)),
            *(engine(f'd{n}', DECODE) for n in range(decode_count)),
        ]
    )
    return board


def engine(name, role, zone='zone-a'):
    return EngineState(name, zone, role, 32, cache_tokens=CACHE)


def place(board, work, now_ms=0, tried=frozenset(), sample_key=None):
    return Placer(board).place(work, now_ms, tried, sample_key)


def test_burst_of_long_prompts_spreads_over_all_prefill_engines():
    fleet = board(prefill_count=4)
    chosen = []
    for number in range(16):
        placement = place(
            fleet, long_prompt(f'doc-{number}'), sample_key=f'r{number}'
        )
        engine_name = placement.prefill_engine or placement.decode_engine
        fleet.get(
            engine_name
        ).own_load.prefill_tokens += placement.prefill_tokens
        chosen.append(engine_name)
    assert {chosen.count(f'p{n}') for n in range(4)} <= {2, 3, 4}


def test_load_of_a_peer_expires_when_it_sends_none():
    fleet = board(prefill_count=2)
    fleet.peer_loads.apply('peer', PeerLoad({'p0': InFlightLoad(60_000)}, 0))
    assert place(fleet, long_prompt()).prefill_engine == 'p1'
    fleet.peer_loads.apply(
        'other', PeerLoad({'p1': InFlightLoad(90_000)}, 1000)
    )
    fleet.peer_loads.drop_expired(2000)
    assert place(fleet, long_prompt()).prefill_engine == 'p0'


def test_new_load_of_a_peer_replaces_its_earlier_one():
    fleet = board(prefill_count=2)
    p0 = fleet.get('p0')
    fleet.peer_loads.apply(
        'peer', PeerLoad({'p0': InFlightLoad(60_000, 2, 18_000)}, 0)
    )
    fleet.peer_loads.apply(
        'other', PeerLoad({'p0': InFlightLoad(500, 1, 700)}, 0)
    )
    fleet.peer_loads.apply(
        'peer', PeerLoad({'p0': InFlightLoad(1000, 1, 9000)}, 10)
    )
    assert (
        fleet.count_prefill_tokens(p0),
        fleet.count_runs(p0),
        fleet.count_kv_tokens(p0),
    ) == (1500, 2, 9700)
    fleet.peer_loads.apply('peer', PeerLoad({}, 20))
    fleet.peer_loads.apply('other', PeerLoad({}, 20))
    assert (
        fleet.count_prefill_tokens(p0),
        fleet.count_runs(p0),
        fleet.count_kv_tokens(p0),
    ) == (0, 0, 0)


def test_prompt_goes_to_the_engine_that_caches_its_prefix():
    fleet = board(prefill_count=8)
    fleet.record_prefill('p6', long_prompt('doc-7', name='other').parts)
    fleet.get('p6').own_load.prefill_tokens = 2000
    placements = [
        place(fleet, long_prompt('doc-7'), sample_key=f'r{number}')
        for number in range(20)
    ]
    assert {placement.prefill_engine for placement in placements} == {'p6'}
    assert {placement.prefill_tokens for placement in placements} == {2900}


def test_busy_engine_with_cached_prefix_is_not_chosen():
    fleet = board(prefill_count=8)
    fleet.record_prefill('p6', long_prompt('doc-7', name='other').parts)
    fleet.get('p6').own_load.prefill_tokens = 20_000
    assert place(fleet, long_prompt('doc-7')).prefill_engine != 'p6'


def test_instances_with_the_same_view_spread_over_engines():
    """
    Guard against herding: 66 instances share a view that is some ms old.

    Without sampling, all of them would choose the least loaded engine.
    """
    fleet = board(prefill_count=8)
    for number in range(8):
        fleet.get(f'p{number}').own_load.prefill_tokens = 1000 * number
    chosen = [
        place(
            fleet, long_prompt(f'doc-{number}'), sample_key=f'r{number}'
        ).prefill_engine
        for number in range(660)
    ]
    busiest = max(chosen.count(name) for name in set(chosen))
    # The least loaded engine is in this share of the samples of two or three.
    assert busiest <= 660 * (SAME_ZONE_SAMPLE_COUNT + 1.2) / 8
    assert len(set(chosen)) >= 6


def test_requests_stay_in_their_zone_until_it_is_overloaded():
    fleet = EngineBoard('zone-a')
    fleet.sync(
        [engine(f'p{n}', PREFILL) for n in range(4)]
        + [engine(f'q{n}', PREFILL, 'zone-b') for n in range(8)]
        + [engine('d0', DECODE)]
    )
    chosen = [
        place(fleet, long_prompt(f'doc-{n}'), sample_key=f'r{n}').prefill_engine
        for n in range(100)
    ]
    assert all(name.startswith('p') for name in chosen)
    for number in range(4):
        fleet.get(f'p{number}').own_load.prefill_tokens = 50_000
    assert place(fleet, long_prompt()).prefill_engine.startswith('q')


def test_zone_without_prefill_engines_uses_those_of_other_zones():
    fleet = EngineBoard('zone-a')
    fleet.sync(
        [engine(f'q{n}', PREFILL, 'zone-b') for n in range(8)]
        + [engine('d0', DECODE)]
    )
    chosen = {
        place(fleet, long_prompt(f'doc-{n}'), sample_key=f'r{n}').prefill_engine
        for n in range(100)
    }
    assert len(chosen) == 8


def test_short_prompt_does_not_queue_behind_long_ones():
    fleet = board()
    for name in ('p0', 'p1', 'p2'):
        fleet.get(name).own_load.prefill_tokens = 500_000
    placement = place(fleet, short_prompt())
    assert placement.prefill_engine is None
    assert placement.first_token_ms < 20


def test_prediction_includes_the_wait_at_full_decode_engines():
    fleet = board(decode_count=1)
    free_ms = place(fleet, long_prompt()).first_token_ms
    fleet.get('d0').own_load.kv_tokens = CACHE
    assert place(fleet, long_prompt()).first_token_ms > free_ms
    fleet.get('d0').own_load.kv_tokens = 0
    fleet.get('d0').own_load.run_count = 64
    assert place(fleet, long_prompt()).first_token_ms > free_ms


def test_streams_go_to_the_decode_engine_with_free_slots():
    fleet = board()
    fleet.get('d0').own_load.run_count = 32
    fleet.get('d0').own_load.kv_tokens = 200_000
    assert place(fleet, short_prompt()).decode_engine == 'd1'


def test_slow_engine_is_avoided():
    fleet = board(prefill_count=2)
    for _ in range(20):
        fleet.get('p0').observe_prefill(30, 150)
    assert fleet.get('p0').slowness > 3
    assert place(fleet, long_prompt()).prefill_engine == 'p1'


def test_slowness_falls_when_an_engine_recovers():
    slow = engine('p0', PREFILL)
    for _ in range(20):
        slow.observe_prefill(30, 150)
    for _ in range(40):
        slow.observe_prefill(150, 30)
    assert slow.slowness < 1.5


def test_crashed_prefill_engine_is_ejected_and_readmitted():
    fleet = board(prefill_count=2)
    fleet.get('p0').health.record_crash(0)
    fleet.get('p0').health.record_crash(0)
    assert place(fleet, long_prompt(), 1).prefill_engine == 'p1'
    names = {
        place(fleet, long_prompt(), 60_000, sample_key=f'r{n}').prefill_engine
        for n in range(20)
    }
    assert names == {'p0', 'p1'}


def test_ejected_engines_are_used_if_all_are_ejected():
    fleet = board(prefill_count=1)
    for _ in range(3):
        fleet.get('p0').health.record_crash(0)
    assert place(fleet, long_prompt(), 1).prefill_engine == 'p0'


def test_decode_engines_run_prefill_if_no_prefill_engine_is_left():
    placement = place(board(prefill_count=0), long_prompt())
    assert placement.prefill_engine is None
    assert place(board(decode_count=0), long_prompt()) is None


def test_remaining_engines_serve_after_others_are_gone():
    fleet = board(prefill_count=4)
    fleet.sync([engine('p2', PREFILL), engine('p3', PREFILL, 'zone-b')])
    assert place(fleet, long_prompt()) is None
    fleet.sync([engine('p2', PREFILL), engine('d5', DECODE)])
    assert place(fleet, long_prompt()).prefill_engine == 'p2'


def test_engine_that_changes_its_role_gets_no_work():
    fleet = board(prefill_count=2)
    fleet.close_role('p0', PREFILL, 5000)
    assert place(fleet, long_prompt(), 4999).prefill_engine == 'p1'
    assert fleet.list_closures(4000) == {'p0': RoleClosure(PREFILL, 1000)}
    fleet.close_role('p1', PREFILL, 9000)
    assert place(fleet, long_prompt(), 6000).prefill_engine == 'p0'


def test_listing_with_the_new_role_ends_a_closure():
    fleet = board(prefill_count=2)
    fleet.close_role('p0', PREFILL, 50_000)
    fleet.sync([engine('p0', DECODE), engine('p1', PREFILL)])
    assert place(fleet, short_prompt(), 1).decode_engine == 'p0'


def test_short_prompts_are_more_urgent_than_long_ones():
    assert compute_engine_urgency(short_prompt(), 5) == 0
    assert compute_engine_urgency(long_prompt(), 0) == 1


def test_shared_first_part_counts_as_cached():
    assert count_uncached_tokens(long_prompt()) == 3800 + 2900


def test_new_requests_may_wait_longer_than_retried_ones():
    fresh = compute_patience_ms(1990, 2000, 150)
    late = compute_patience_ms(1300, 2000, 150)
    assert fresh > late
    assert fresh >= 150 - (2000 - 1990)
    assert compute_patience_ms(14_990, 15_000, 120) > 120


def test_patience_does_not_exceed_the_remaining_time():
    assert compute_patience_ms(50, 60, 150) <= 50


def place_mixed_burst(decode_count):
    """
    Place long and short prompts in turn while all prefill engines are full.

    :return: decode engines that run prefill of long prompts, and those of short
        prompts
    """
    fleet = board(prefill_count=3, decode_count=decode_count)
    for name in ('p0', 'p1', 'p2'):
        fleet.get(name).own_load.prefill_tokens = 300_000
    long_engines, short_engines = set(), set()
    for number in range(30):
        placement = place(fleet, long_prompt(), sample_key=f'r{number}')
        if placement.prefill_engine is None:
            long_engines.add(placement.decode_engine)
            fleet.get(placement.decode_engine).own_load.prefill_tokens += 500
        short_placement = place(fleet, short_prompt(), sample_key=f'q{number}')
        short_engines.add(short_placement.decode_engine)
    return long_engines, short_engines


def test_long_prompts_stay_off_stream_engines():
    """
    Guard against paused streams during a burst of long prompts.

    Prefill of a long prompt on a decode engine pauses its streams, and their
    callers get their tokens late.
    """
    long_engines, short_engines = place_mixed_burst(decode_count=3)
    assert len(short_engines) == 2
    assert len(long_engines) == 1
    assert not long_engines & short_engines


def test_single_decode_engine_runs_no_prefill_of_long_prompts():
    long_engines, short_engines = place_mixed_burst(decode_count=1)
    assert (long_engines, short_engines) == (set(), {'d0'})


def test_streams_prefer_engines_that_are_not_reclaimable():
    engines = [engine(f'd{number}', DECODE) for number in range(6)]
    for cheap in engines[:3]:
        cheap.is_cheap = True
    names = {found.name for found in select_stream_engines(engines)}
    assert names > {'d3', 'd4', 'd5'}


def test_streams_beyond_the_slots_use_other_engines():
    fleet = board(decode_count=3)
    streaming = select_stream_engines([fleet.get(f'd{n}') for n in range(3)])
    names = {engine.name for engine in streaming}
    assert place(fleet, short_prompt()).decode_engine in names
    for full in streaming:
        full.own_load.run_count = full.slots
    assert place(fleet, short_prompt()).decode_engine not in names


def test_very_long_prompt_is_accepted_where_no_queue_is():
    """Guard against starvation of the largest tenth of the prompts."""
    placement = place(board(), long_prompt(own=60_000))
    patience = compute_patience_ms(1990, 2000, 150)
    assert placement.first_token_ms > patience
    assert accepted(placement, patience)


def test_late_requests_are_refused_under_load():
    fleet = board()
    for name in ('p0', 'p1', 'p2', 'd0', 'd1'):
        fleet.get(name).own_load.prefill_tokens = 60_000
    placement = place(fleet, long_prompt())
    assert not accepted(placement, compute_patience_ms(1990, 2000, 150))


def test_request_that_cannot_start_before_its_deadline_is_refused():
    placement = place(board(), long_prompt(own=60_000))
    assert not accepted(placement, 150, left_ms=100)


def accepted(placement, patience, left_ms=1990):
    return is_worth_accepting(
        placement.first_token_ms, placement.wait_ms, patience, left_ms
    )


def test_placement_without_sample_finds_the_only_free_engine():
    fleet = board(prefill_count=12)
    for number in range(11):
        fleet.get(f'p{number}').own_load.prefill_tokens = 100_000
    sampled = [
        place(fleet, long_prompt(), sample_key=f'r{number}').prefill_engine
        for number in range(40)
    ]
    assert sampled.count('p11') < 40
    assert place(fleet, long_prompt()).prefill_engine == 'p11'


def test_late_closure_from_a_peer_does_not_close_the_new_role():
    """Instances learn of a new role some 100 ms after each other."""
    fleet = board(prefill_count=2)
    fleet.close_role('p0', PREFILL, 50_000)
    fleet.sync([engine('p0', DECODE), engine('p1', PREFILL)])
    # A peer that has not learned of the new role yet repeats the closure.
    fleet.close_role('p0', PREFILL, 50_000)
    assert place(fleet, short_prompt(), 1).decode_engine == 'p0'
    assert not fleet.list_closures(1)
