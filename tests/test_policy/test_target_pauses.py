"""
Tests of the pauses that targets ask for.

They guard against requests that reach a target within its pause, pauses that
hold for a later process, and pauses without end. The load: a full engine that
turns away one caller after the other.
"""

from cicadahoist.policy.target_pauses import (
    MAX_PAUSE_MS,
    TargetLife,
    TargetPauses,
)

LIFE = TargetLife('t1', 1000)


def test_a_pause_ends_after_its_length():
    pauses = TargetPauses()
    pauses.record(LIFE, 800, 100)
    assert pauses.is_paused(LIFE, 899)
    assert not pauses.is_paused(LIFE, 900)


def test_of_two_answers_that_race_the_later_end_counts():
    pauses = TargetPauses()
    pauses.record(LIFE, 3000, 100)
    assert pauses.record(LIFE, 500, 110) == 2990
    assert pauses.is_paused(LIFE, 3099)


def test_a_huge_pause_is_bounded():
    pauses = TargetPauses()
    assert pauses.record(LIFE, 10**15, 0) == MAX_PAUSE_MS


def test_a_pause_holds_for_one_process_of_the_target():
    pauses = TargetPauses()
    pauses.record(LIFE, 5000, 0)
    assert not pauses.is_paused(TargetLife('t1', 2000), 10)


def test_the_wait_is_that_for_the_first_target():
    pauses = TargetPauses()
    other = TargetLife('t2', 0)
    pauses.record(LIFE, 5000, 0)
    assert pauses.compute_wait_ms([LIFE, other], 0) is None
    pauses.record(other, 2000, 0)
    assert pauses.compute_wait_ms([LIFE, other], 500) == 1500
    assert pauses.compute_wait_ms([], 500) is None


def test_expired_pauses_are_dropped():
    pauses = TargetPauses()
    for number in range(100):
        pauses.record(TargetLife(f't{number}', 0), 10, number * 20)
    assert len(pauses._end_ms_by_life) == 1
