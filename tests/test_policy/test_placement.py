"""Where prompts go under the loads that the deployments see."""

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
        model='m', prompt_tokens=total, most_output_tokens=312, parts=parts
    )


def question():
    return ModelWork(model='m', prompt_tokens=220, most_output_tokens=312)


def board(readers=3, generators=2):
    board = EngineBoard('zone-a')
    board.sync(
        [
            *(engine(f'p{n}', PREFILL) for n in range(readers)),
            *(engine(f'd{n}', DECODE) for n in range(generators)),
        ]
    )
    return board


def engine(name, role, zone='zone-a'):
    return EngineState(name, zone, role, 32, cache_tokens=CACHE)


def place(board, work, now_ms=0, tried=frozenset(), draw=None):
    return Placer(board).place(work, now_ms, tried, draw)


def test_burst_of_long_prompts_spreads_over_all_readers():
    fleet = board(readers=4)
    chosen = []
    for number in range(16):
        placement = place(
            fleet, long_prompt(f'doc-{number}'), draw=f'r{number}'
        )
        busy = placement.prefill_engine or placement.decode_engine
        fleet.get(busy).own_load.prefill_tokens += placement.prefill_tokens
        chosen.append(busy)
    assert {chosen.count(f'p{n}') for n in range(4)} <= {2, 3, 4}


def test_load_of_peers_counts_until_they_fall_silent():
    fleet = board(readers=2)
    fleet.peer_loads.apply('peer', PeerLoad({'p0': InFlightLoad(60_000)}, 0))
    assert place(fleet, long_prompt()).prefill_engine == 'p1'
    fleet.peer_loads.apply(
        'other', PeerLoad({'p1': InFlightLoad(90_000)}, 1000)
    )
    fleet.peer_loads.drop_expired(2000)
    assert place(fleet, long_prompt()).prefill_engine == 'p0'


def test_the_load_of_a_peer_replaces_what_it_said_before():
    fleet = board(readers=2)
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


def test_a_ledger_of_the_same_site_goes_to_the_engine_that_keeps_it():
    fleet = board(readers=8)
    fleet.record_prefill('p6', long_prompt('doc-7', name='other').parts)
    fleet.get('p6').own_load.prefill_tokens = 2000
    placements = [
        place(fleet, long_prompt('doc-7'), draw=f'r{number}')
        for number in range(20)
    ]
    assert {placement.prefill_engine for placement in placements} == {'p6'}
    assert {placement.prefill_tokens for placement in placements} == {2900}


def test_a_busy_keeper_of_a_prompt_is_left():
    fleet = board(readers=8)
    fleet.record_prefill('p6', long_prompt('doc-7', name='other').parts)
    fleet.get('p6').own_load.prefill_tokens = 20_000
    assert place(fleet, long_prompt('doc-7')).prefill_engine != 'p6'


def test_instances_that_see_the_same_loads_do_not_rush_to_one_engine():
    """Pattern: 66 instances whose view of the loads is some ms old."""
    fleet = board(readers=8)
    for number in range(8):
        fleet.get(f'p{number}').own_load.prefill_tokens = 1000 * number
    chosen = [
        place(
            fleet, long_prompt(f'doc-{number}'), draw=f'r{number}'
        ).prefill_engine
        for number in range(660)
    ]
    busiest = max(chosen.count(name) for name in set(chosen))
    # The least loaded one is in so many of the samples of two or three.
    assert busiest <= 660 * (SAME_ZONE_SAMPLE_COUNT + 1.2) / 8
    assert len(set(chosen)) >= 6


def test_requests_stay_in_their_zone_while_it_serves_them():
    fleet = EngineBoard('zone-a')
    fleet.sync(
        [engine(f'p{n}', PREFILL) for n in range(4)]
        + [engine(f'q{n}', PREFILL, 'zone-b') for n in range(8)]
        + [engine('d0', DECODE)]
    )
    chosen = [
        place(fleet, long_prompt(f'doc-{n}'), draw=f'r{n}').prefill_engine
        for n in range(100)
    ]
    assert all(name.startswith('p') for name in chosen)
    for number in range(4):
        fleet.get(f'p{number}').own_load.prefill_tokens = 50_000
    assert place(fleet, long_prompt()).prefill_engine.startswith('q')


def test_a_zone_without_readers_uses_those_of_the_others():
    fleet = EngineBoard('zone-a')
    fleet.sync(
        [engine(f'q{n}', PREFILL, 'zone-b') for n in range(8)]
        + [engine('d0', DECODE)]
    )
    chosen = {
        place(fleet, long_prompt(f'doc-{n}'), draw=f'r{n}').prefill_engine
        for n in range(100)
    }
    assert len(chosen) == 8


def test_helpline_beside_a_burst_of_ledgers_is_not_behind_it():
    fleet = board()
    for name in ('p0', 'p1', 'p2'):
        fleet.get(name).own_load.prefill_tokens = 500_000
    placement = place(fleet, question())
    assert placement.prefill_engine is None
    assert placement.first_token_ms < 20


def test_generators_full_of_streams_are_predicted():
    fleet = board(generators=1)
    free_ms = place(fleet, long_prompt()).first_token_ms
    fleet.get('d0').own_load.kv_tokens = CACHE
    assert place(fleet, long_prompt()).first_token_ms > free_ms
    fleet.get('d0').own_load.kv_tokens = 0
    fleet.get('d0').own_load.run_count = 64
    assert place(fleet, long_prompt()).first_token_ms > free_ms


def test_streams_go_to_the_generator_with_room():
    fleet = board()
    fleet.get('d0').own_load.run_count = 32
    fleet.get('d0').own_load.kv_tokens = 200_000
    assert place(fleet, question()).decode_engine == 'd1'


def test_a_slow_engine_gets_less():
    fleet = board(readers=2)
    for _ in range(20):
        fleet.get('p0').observe_prefill(30, 150)
    assert fleet.get('p0').slowness > 3
    assert place(fleet, long_prompt()).prefill_engine == 'p1'


def test_a_slow_engine_is_found_fast_again_when_it_recovers():
    slow = engine('p0', PREFILL)
    for _ in range(20):
        slow.observe_prefill(30, 150)
    for _ in range(40):
        slow.observe_prefill(150, 30)
    assert slow.slowness < 1.5


def test_a_dead_reader_is_left_out_and_let_back():
    fleet = board(readers=2)
    fleet.get('p0').health.record_crash(0)
    fleet.get('p0').health.record_crash(0)
    assert place(fleet, long_prompt(), 1).prefill_engine == 'p1'
    names = {
        place(fleet, long_prompt(), 60_000, draw=f'r{n}').prefill_engine
        for n in range(20)
    }
    assert names == {'p0', 'p1'}


def test_if_all_readers_fail_they_are_tried_rather_than_none():
    fleet = board(readers=1)
    for _ in range(3):
        fleet.get('p0').health.record_crash(0)
    assert place(fleet, long_prompt(), 1).prefill_engine == 'p0'


def test_without_readers_generators_read_themselves():
    placement = place(board(readers=0), long_prompt())
    assert placement.prefill_engine is None
    assert place(board(generators=0), long_prompt()) is None


def test_half_a_zone_gone_leaves_work_to_the_others():
    fleet = board(readers=4)
    fleet.sync([engine('p2', PREFILL), engine('p3', PREFILL, 'zone-b')])
    assert place(fleet, long_prompt()) is None
    fleet.sync([engine('p2', PREFILL), engine('d5', DECODE)])
    assert place(fleet, long_prompt()).prefill_engine == 'p2'


def test_an_engine_that_changes_its_role_gets_nothing():
    fleet = board(readers=2)
    fleet.close_role('p0', PREFILL, 5000)
    assert place(fleet, long_prompt(), 4999).prefill_engine == 'p1'
    assert fleet.list_closures(4000) == {'p0': RoleClosure(PREFILL, 1000)}
    fleet.close_role('p1', PREFILL, 9000)
    assert place(fleet, long_prompt(), 6000).prefill_engine == 'p0'


def test_a_listed_new_role_opens_an_engine_again():
    fleet = board(readers=2)
    fleet.close_role('p0', PREFILL, 50_000)
    fleet.sync([engine('p0', DECODE), engine('p1', PREFILL)])
    assert place(fleet, question(), 1).decode_engine == 'p0'


def test_short_prompts_are_never_preempted_for_long_ones():
    assert compute_engine_urgency(question(), 5) == 0
    assert compute_engine_urgency(long_prompt(), 0) == 1


def test_the_part_that_all_share_is_not_work():
    assert count_uncached_tokens(long_prompt()) == 3800 + 2900


def test_fresh_requests_may_wait_longer_than_late_ones():
    fresh = compute_patience_ms(1990, 2000, 150)
    late = compute_patience_ms(1300, 2000, 150)
    assert fresh > late
    assert fresh >= 150 - (2000 - 1990)
    assert compute_patience_ms(14_990, 15_000, 120) > 120


def test_patience_never_exceeds_the_time_left():
    assert compute_patience_ms(50, 60, 150) <= 50


def burst_beside_helpline(generators):
    """Return where ledgers go while all readers are full, and questions."""
    fleet = board(readers=3, generators=generators)
    for name in ('p0', 'p1', 'p2'):
        fleet.get(name).own_load.prefill_tokens = 300_000
    ledgers, questions = set(), set()
    for number in range(30):
        placement = place(fleet, long_prompt(), draw=f'r{number}')
        if placement.prefill_engine is None:
            ledgers.add(placement.decode_engine)
            fleet.get(placement.decode_engine).own_load.prefill_tokens += 500
        asked = place(fleet, question(), draw=f'q{number}')
        questions.add(asked.decode_engine)
    return ledgers, questions


def test_streams_are_not_stalled_by_ledgers_when_readers_are_full():
    """Pattern: a helpline beside a burst of ledgers; pauses make it late."""
    ledgers, questions = burst_beside_helpline(generators=3)
    assert len(questions) == 2
    assert len(ledgers) == 1
    assert not ledgers & questions


def test_a_single_generator_reads_no_ledgers_beside_its_streams():
    ledgers, questions = burst_beside_helpline(generators=1)
    assert (ledgers, questions) == (set(), {'d0'})


def test_steady_engines_run_the_streams():
    engines = [engine(f'd{number}', DECODE) for number in range(6)]
    for cheap in engines[:3]:
        cheap.is_cheap = True
    names = {found.name for found in select_stream_engines(engines)}
    assert names > {'d3', 'd4', 'd5'}


def test_more_streams_than_places_spill_over():
    fleet = board(generators=3)
    streaming = select_stream_engines([fleet.get(f'd{n}') for n in range(3)])
    names = {engine.name for engine in streaming}
    assert place(fleet, question()).decode_engine in names
    for full in streaming:
        full.own_load.run_count = full.slots
    assert place(fleet, question()).decode_engine not in names


def test_a_very_long_prompt_is_accepted_where_nothing_waits():
    """Pattern: the largest tenth of the prompts must not be starved."""
    placement = place(board(), long_prompt(own=60_000))
    patience = compute_patience_ms(1990, 2000, 150)
    assert placement.first_token_ms > patience
    assert accepted(placement, patience)


def test_under_load_requests_that_would_be_late_are_refused():
    fleet = board()
    for name in ('p0', 'p1', 'p2', 'd0', 'd1'):
        fleet.get(name).own_load.prefill_tokens = 60_000
    placement = place(fleet, long_prompt())
    assert not accepted(placement, compute_patience_ms(1990, 2000, 150))


def test_what_cannot_begin_before_its_deadline_is_refused_at_once():
    placement = place(board(), long_prompt(own=60_000))
    assert not accepted(placement, 150, left_ms=100)


def accepted(placement, patience, left_ms=1990):
    return is_worth_accepting(
        placement.first_token_ms, placement.wait_ms, patience, left_ms
    )


def test_no_place_is_left_free_because_it_was_not_drawn():
    fleet = board(readers=12)
    for number in range(11):
        fleet.get(f'p{number}').own_load.prefill_tokens = 100_000
    drawn = [
        place(fleet, long_prompt(), draw=f'r{number}').prefill_engine
        for number in range(40)
    ]
    assert drawn.count('p11') < 40
    assert place(fleet, long_prompt()).prefill_engine == 'p11'


def test_a_closure_that_is_told_late_does_not_close_the_new_role():
    """Pattern: instances learn of a role some 100 ms after each other."""
    fleet = board(readers=2)
    fleet.close_role('p0', PREFILL, 50_000)
    fleet.sync([engine('p0', DECODE), engine('p1', PREFILL)])
    # A peer that has not heard of the new role yet repeats the closure.
    fleet.close_role('p0', PREFILL, 50_000)
    assert place(fleet, question(), 1).decode_engine == 'p0'
    assert not fleet.list_closures(1)
