"""Tests of what a leaving instance admits."""

import pytest

from cicadahoist.policy.caller_admission.departure import (
    EXIT_MARGIN_MS,
    UNREADY_WAIT_MS,
    Departure,
)

GRACE_MS = 8000
CUT_MS = 1000 + GRACE_MS - EXIT_MARGIN_MS


@pytest.fixture
def departure():
    departure = Departure()
    departure.begin(1000, GRACE_MS)
    return departure


def test_everything_is_admitted_before_a_stop():
    assert Departure().admits(1000, 10**9)
    assert not Departure().is_begun


# Guards against a request that is cut off although another instance could have
# served it (LOST).
@pytest.mark.parametrize(
    ('age_ms', 'due_ms', 'expected'),
    [
        (0, 10**9, True),
        (UNREADY_WAIT_MS - 1, 10**9, True),
        (UNREADY_WAIT_MS, 10**9, False),
        (UNREADY_WAIT_MS, CUT_MS - 1, True),
        (UNREADY_WAIT_MS, CUT_MS, False),
        (6000, CUT_MS - 1, True),
        (6000, CUT_MS + 1, False),
    ],
)
def test_late_requests_are_admitted_if_they_end_in_time(
    departure, age_ms, due_ms, expected
):
    assert departure.is_begun
    assert departure.admits(1000 + age_ms, due_ms) is expected


def test_a_second_signal_gives_no_more_time(departure):
    departure.begin(3000, GRACE_MS)
    assert departure.cut_ms == CUT_MS


def test_nothing_is_admitted_at_the_end(departure):
    departure.is_over = True
    assert not departure.admits(1000, 1001)
