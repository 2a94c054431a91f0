"""
Tests of a part of a prompt that crashes each engine that answers on it.

They guard against requests that share such a part, no two alike, and crash one
engine after the other (BUDGET), and against sound requests that are refused or
find no engine meanwhile (LOST).
"""

import pytest

from cicadahoist.metrics import PART_HOLDS, MetricSpec
from cicadahoist.reasons import Refusal
from tests.test_serving.crashing_engines import CRASHING_PART, CrashPlay

CONTACT_MS = 3000
# Bounds of the users' rules.
MAX_LATE_SENDS = 3
MIN_BEGUN_OF_NORMAL = 0.5
SEEDS = (1, 2)
PLACES = (0, 1, 2)
END_MS = 11_000


def play_crashing_part(seed, place, **options):
    """Play a second without the part, and then with it."""
    play = CrashPlay(seed, place, **options)
    play.run(1000)
    play.run(END_MS - 1000, guilty_per_s=5)
    return play


def list_held_parts(play):
    return {
        held.part
        for world in play.worlds
        for held in world.context.gossip.held_parts.list_holds(
            world.context.true_time.now_ms()
        )
    }


def assert_contained(play):
    assert len(play.list_late_sends(CONTACT_MS)) <= MAX_LATE_SENDS
    since_ms = play.crashes_ms[:5][-1] + 2 * CONTACT_MS
    normal_share = play.compute_begun_share(0, play.crashes_ms[0] - 200)
    assert normal_share == 1
    # Requests of the last moments have had no time to begin.
    begun_share = play.compute_begun_share(since_ms, END_MS - 200)
    assert begun_share >= MIN_BEGUN_OF_NORMAL * normal_share
    assert list_held_parts(play) == {CRASHING_PART}


@pytest.mark.parametrize('place', PLACES)
@pytest.mark.parametrize('seed', SEEDS)
def test_a_part_does_not_crash_engine_after_engine(seed, place):
    assert_contained(play_crashing_part(seed, place))


def test_a_prefilled_part_does_not_crash_engine_after_engine():
    assert_contained(
        play_crashing_part(4, 1, prompt_tokens=4000, is_prefilled=True)
    )


@pytest.mark.parametrize('seed', SEEDS)
def test_engines_that_crash_by_themselves_hold_no_part(seed):
    play = CrashPlay(seed)
    play.run(12_000, own_crashes_per_s=0.8)
    assert len(play.crashes_ms) >= 5
    assert play.count(PART_HOLDS) == 0
    assert play.count(MetricSpec.of_refusal(Refusal.part_held)) == 0
