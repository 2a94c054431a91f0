"""
Tests of what instances learn about engines whose speed they do not know.

The load is that of a deployment with long prompt parts which only some requests
share, on engines that are six times slower than the default. The tests guard
against an engine that attracts all requests because it rejects them at once (a
black hole), against one that does so because it is new, and against parts that
are read again at one engine after the other (prefix affinity).
"""

import random

from cicadahoist.policy.engine_board import (
    DECODE,
    LARGE_FLEET_MIN_SLOWNESS,
    OVERHEAD_MS,
    PREFILL,
    EngineBoard,
    EngineState,
)
from cicadahoist.policy.median_ratio import MedianRatio
from cicadahoist.policy.placement import Placer
from cicadahoist.policy.rejection_backoff import (
    FIRST_BACKOFF_MS,
    MAX_BACKOFF_MS,
    RejectionBackoffs,
)
from cicadahoist.policy.typical_slowness import TypicalSlowness
from cicadahoist.requests import ModelWork, PromptPart

CACHE = 526_000
TOKENS_PER_MS = 50.7
SLOWNESS = 310 / TOKENS_PER_MS
PART_TOKENS = 13_300
OWN_TOKENS = 3720


def create_board(prefill_count=6, decode_count=3):
    board = EngineBoard('zone-a')
    board.sync(
        [
            *(create_engine(f'p{n}', PREFILL) for n in range(prefill_count)),
            *(create_engine(f'd{n}', DECODE) for n in range(decode_count)),
        ]
    )
    return board


def create_engine(name, role):
    return EngineState(name, 'zone-a', role, 64, cache_tokens=CACHE)


def digest_prompt(part, number):
    parts = (
        PromptPart(f'case-{part}', PART_TOKENS),
        PromptPart(f'own-{number}', OWN_TOKENS),
    )
    return ModelWork(
        model='m',
        prompt_tokens=PART_TOKENS + OWN_TOKENS,
        max_output_tokens=20,
        parts=parts,
    )


class World:
    """One instance before slow engines whose caches and queues are known."""

    def __init__(self, seed, part_count):
        self.rng = random.Random(seed)
        self.board = create_board()
        self.part_count = part_count
        self.cached_by_engine = {f'p{n}': set() for n in range(6)}
        self.idle_ms_by_engine = dict.fromkeys(self.cached_by_engine, 0)
        self.pending = []
        self.read_again = 0
        self.read_parts = set()

    def play(self, count, gap_ms):
        for number in range(count):
            now_ms = number * gap_ms
            self._end_prefills(now_ms)
            self._send(now_ms, number)

    def _end_prefills(self, now_ms):
        for end in sorted(self.pending, key=lambda entry: entry[0]):
            ended_ms, engine, placement, sent_ms = end
            if ended_ms <= now_ms:
                self.pending.remove(end)
                engine.own_load.prefill_tokens -= placement.prefill_tokens
                engine.observe_prefill(
                    placement.prefill_ms,
                    ended_ms - sent_ms,
                    placement.prefill_slowness,
                )

    def _send(self, now_ms, number):
        part = self.rng.randrange(self.part_count)
        work = digest_prompt(part, number)
        placement = Placer(self.board).place(
            work, now_ms, sample_key=f'r{number}'
        )
        name = placement.prefill_engine
        if name is None:
            return
        tokens = OWN_TOKENS
        if part not in self.cached_by_engine[name]:
            tokens += PART_TOKENS
            self.read_again += part in self.read_parts
            self.read_parts.add(part)
            self.cached_by_engine[name].add(part)
        engine = self.board.get(name)
        engine.own_load.prefill_tokens += placement.prefill_tokens
        engine.prefix_cache.record_prompt(work.parts)
        begin_ms = max(now_ms, self.idle_ms_by_engine[name])
        ended_ms = begin_ms + tokens / TOKENS_PER_MS + 4
        self.idle_ms_by_engine[name] = ended_ms
        self.pending.append((ended_ms, engine, placement, now_ms))


def test_most_parts_are_read_at_one_engine():
    for seed in range(5):
        world = World(seed, part_count=40)
        world.play(400, 90)
        # Without affinity each part is read at nearly each of six engines.
        assert world.read_again <= 40


def test_times_of_slow_engines_are_predicted_after_some_requests():
    world = World(1, part_count=40)
    world.play(60, 120)
    for name in world.cached_by_engine:
        slowness = world.board.get(name).slowness
        assert 0.5 * SLOWNESS < slowness < 2 * SLOWNESS


def test_a_new_engine_does_not_seem_faster_than_the_others():
    board = create_board(prefill_count=3)
    for name in ('p0', 'p1', 'p2'):
        for _ in range(10):
            engine = board.get(name)
            engine.observe_prefill(100 / SLOWNESS * engine.slowness, 100)
    known = [board.get(name) for name in ('p0', 'p1', 'p2', 'd0', 'd1', 'd2')]
    board.sync([*known, create_engine('p3', PREFILL)])
    assert 0.8 * SLOWNESS < board.get('p3').slowness < SLOWNESS


def test_one_slow_engine_does_not_make_unmeasured_ones_as_slow():
    typical = TypicalSlowness()
    typical.record('p0', 1.0)
    typical.record('p1', 1.1)
    typical.record('p2', 20.0)
    assert typical.ratio < 1.1


def test_typical_slowness_outlives_the_engines_it_was_measured_at():
    typical = TypicalSlowness()
    typical.record('p0', 6.0)
    typical.retain(['p1'])
    assert typical.ratio == 0.9 * 6.0
    typical.record('p1', 5.0)
    assert typical.ratio == 0.9 * 5.0


def test_a_prompt_goes_to_an_engine_that_caches_its_only_shared_part():
    board = create_board()
    board.record_prefill('p4', digest_prompt(7, 0).parts)
    chosen = {
        Placer(board)
        .place(digest_prompt(7, number), 0, sample_key=f'r{number}')
        .prefill_engine
        for number in range(1, 20)
    }
    assert chosen == {'p4'}


def test_an_engine_that_rejects_is_left_for_longer_and_longer():
    backoffs = RejectionBackoffs()
    now_ms = 0
    waits_ms = []
    for _ in range(8):
        until_ms = backoffs.record_rejection('p0', now_ms)
        waits_ms.append(until_ms - now_ms)
        now_ms = until_ms
    assert waits_ms[:3] == [50, 100, 200]
    assert waits_ms[-1] == MAX_BACKOFF_MS


def test_rejections_at_one_moment_count_once():
    backoffs = RejectionBackoffs()
    until_ms = {backoffs.record_rejection('p0', 10 + n) for n in range(20)}
    assert until_ms == {10 + FIRST_BACKOFF_MS}


def test_an_accepted_request_ends_the_row_of_rejections():
    backoffs = RejectionBackoffs()
    until_ms = backoffs.record_rejection('p0', 0)
    backoffs.record_rejection('p0', until_ms)
    backoffs.record_acceptance('p0')
    assert backoffs.record_rejection('p0', 1000) == 1000 + FIRST_BACKOFF_MS


def test_an_engine_that_rejects_at_once_is_no_black_hole():
    board = create_board()
    for name in ('p1', 'p2', 'p3', 'p4', 'p5'):
        board.get(name).own_load.prefill_tokens = 8000
    rejected_count = 0
    for number in range(500):
        now_ms = number * 10
        placement = Placer(board).place(
            digest_prompt(number, number), now_ms, sample_key=f'r{number}'
        )
        if placement.prefill_engine == 'p0':
            rejected_count += 1
            board.backoffs.record_rejection('p0', now_ms)
    # Of 500 requests in 5 s. The other engines hold the queue that they have
    # after an overload, so that each request prefers the idle engine.
    assert rejected_count <= 10


def test_a_back_off_that_a_peer_told_is_applied_and_not_passed_on():
    backoffs = RejectionBackoffs()
    backoffs.apply_peer_backoff('p0', 300)
    backoffs.apply_peer_backoff('p0', 200)
    assert backoffs.get_end_ms('p0') == 300
    assert backoffs.list_own(0) == {}


def test_own_back_offs_are_told_with_the_time_that_is_left():
    backoffs = RejectionBackoffs()
    backoffs.record_rejection('p0', 100)
    assert backoffs.list_own(120) == {'p0': 30}
    assert backoffs.list_own(150) == {}


def test_back_offs_of_engines_that_are_gone_are_forgotten():
    backoffs = RejectionBackoffs()
    backoffs.record_rejection('p0', 100)
    backoffs.apply_peer_backoff('p1', 900)
    backoffs.retain({'p2'})
    assert backoffs.get_end_ms('p0') == backoffs.get_end_ms('p1') == 0


def test_callers_hear_when_the_first_closed_engine_takes_work_again():
    board = create_board(decode_count=2)
    board.close_role('d0', DECODE, 300)
    assert board.compute_pause_ms(100) is None
    board.close_role('d1', DECODE, 250)
    assert board.compute_pause_ms(100) == 150
    board.backoffs.apply_peer_backoff('d1', 280)
    assert board.compute_pause_ms(100) == 180


def test_a_median_ratio_covers_a_factor_of_six_within_a_dozen_requests():
    median = MedianRatio()
    for _ in range(12):
        median.observe(10 * median.ratio, 60)
    assert 3 < median.ratio < 12


def test_a_median_ratio_ignores_few_outliers():
    median = MedianRatio()
    for number in range(200):
        took_ms = 5000 if number % 10 == 0 else 20
        median.observe(20 * median.ratio, took_ms)
    assert median.ratio < 1.5


def learn_speed(tokens_per_ms):
    engine = create_engine('p0', PREFILL)
    for number in range(60):
        # Most prompts have their shared parts cached.
        tokens = 9190 if number % 5 == 0 else 2890
        predicted_ms = tokens / engine.prefill_tokens_per_ms + OVERHEAD_MS
        engine.observe_prefill(
            predicted_ms,
            tokens / tokens_per_ms + OVERHEAD_MS,
            min_slowness=LARGE_FLEET_MIN_SLOWNESS,
        )
    return engine.prefill_tokens_per_ms


def test_fast_engines_of_large_fleets_are_told_from_slower_ones():
    """Guards against equal queues at engines of .55 and 1.2 of a speed."""
    assert learn_speed(1.2 * 1320) > 1.5 * learn_speed(0.55 * 1320)
