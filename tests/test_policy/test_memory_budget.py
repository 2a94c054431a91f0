"""
Tests of the memory that an instance spends on its callers.

They guard against a process that runs out of memory, and against bytes that are
counted for ever.
"""

from cicadahoist.clock import Clock
from cicadahoist.policy.caller_admission.memory_budget import (
    PROCESS_BYTES,
    SMALL_BYTES,
    STALL_MS,
    MemoryBudget,
)
from cicadahoist.rules import CallerLimits

BOUND_BYTES = 8_000_000
MACHINES_MB = (110, 160, 200, 300, 552)


def make_budget(bound_bytes=BOUND_BYTES):
    clock = Clock.manual()
    clock.advance(10_000)
    return clock, MemoryBudget(clock.now_ms, bound_bytes)


def hold(budget, count):
    """Return a holder of bytes, none if there is no room."""
    held = budget.open()
    return held if held.try_grow(count) else None


def test_large_bodies_leave_room_for_small_ones():
    _, budget = make_budget()
    large = [hold(budget, 1_000_000) for _ in range(10)]
    assert sum(held is not None for held in large) == 6
    small = [hold(budget, SMALL_BYTES) for _ in range(30)]
    assert all(small)


def test_all_bytes_together_stay_within_the_bound():
    _, budget = make_budget()
    while hold(budget, SMALL_BYTES):
        continue
    assert budget.held_bytes <= BOUND_BYTES


def test_bytes_are_given_back_by_their_last_holder():
    _, budget = make_budget()
    held = hold(budget, 5_000_000)
    held.share()
    held.release()
    assert budget.held_bytes == 5_000_000
    held.release()
    assert budget.held_bytes == 0


def test_one_body_has_room_where_nothing_else_is_held():
    # Guards against a legal body that no instance takes in calm.
    _, budget = make_budget(1000)
    held = hold(budget, 4_000_000)
    assert held is not None
    assert hold(budget, 4_000_000) is None
    held.release()
    assert hold(budget, 4_000_000) is not None


def test_a_stalled_caller_yields_and_a_slow_one_does_not():
    clock, budget = make_budget()
    dropped = []
    stalled, slow = (hold(budget, 3_000_000) for _ in range(2))
    for held in (stalled, slow):
        held.wait_for_caller(
            lambda held=held: (dropped.append(held), held.release())
        )
    clock.advance(STALL_MS)
    slow.record_progress()
    assert hold(budget, 3_000_000) is not None
    assert dropped == [stalled]
    assert hold(budget, 3_000_000) is None


def test_a_stalled_caller_keeps_its_bytes_while_there_is_room():
    clock, budget = make_budget()
    dropped = []
    hold(budget, 1_000_000).wait_for_caller(lambda: dropped.append(1))
    clock.advance(60_000)
    assert hold(budget, 1_000_000) is not None
    assert not dropped


def test_a_slow_caller_with_a_small_body_keeps_its_bytes():
    # Guards against a bound that hangs on the speed of ordinary callers.
    clock, budget = make_budget()
    dropped = []
    hold(budget, 800).wait_for_caller(lambda: dropped.append('small'))
    large = hold(budget, 6_000_000 - 800)
    large.wait_for_caller(lambda: (dropped.append('large'), large.release()))
    clock.advance(STALL_MS)
    assert hold(budget, 1_000_000) is not None
    assert dropped == ['large']


def test_a_request_that_is_served_is_not_dropped():
    clock, budget = make_budget()
    held = hold(budget, 6_000_000)
    held.wait_for_caller(held.release)
    held.end_wait()
    clock.advance(STALL_MS)
    assert hold(budget, 6_000_000) is None
    assert budget.held_bytes == 6_000_000


def test_machines_of_all_sizes_have_room_for_a_body_beside_another():
    for memory_mb in MACHINES_MB:
        budget = MemoryBudget.from_memory_mb(lambda: 0, memory_mb)
        hold(budget, 1)
        assert hold(budget, CallerLimits().body_bytes) is not None


def test_what_is_held_and_copied_fits_into_the_machine():
    for memory_mb in MACHINES_MB[1:]:
        budget = MemoryBudget.from_memory_mb(lambda: 0, memory_mb)
        while hold(budget, SMALL_BYTES):
            continue
        used_bytes = PROCESS_BYTES + 2 * budget.held_bytes
        assert used_bytes <= memory_mb * 1_048_576


def test_without_a_limit_there_is_no_bound():
    budget = MemoryBudget.from_memory_mb(lambda: 0, None)
    assert all(hold(budget, 4_000_000) for _ in range(500))
