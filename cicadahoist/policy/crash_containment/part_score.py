"""
Score of the hypothesis that a part of prompts crashes engines.

It is a log likelihood ratio that each crash adds to, as in Wald's sequential
probability ratio test. A crash accuses all runs that had just begun, as a
positive pool does in group testing, where a sound run clears its parts and the
part that remains is a definite defective.
"""

import math
from collections.abc import Iterable, Sequence, Set

from cicadahoist.policy.crash_containment.crash_log import (
    BegunRun,
    Crash,
    list_moments,
)

# Chance that an engine crashes by itself just after the begin of a run.
OWN_CRASH_CHANCE = 0.02
# What a part gains by explaining one crash.
EXPLAINED_GAIN = -math.log(OWN_CRASH_CHANCE)
# Share of the crashes that have other causes, if the part causes any.
OTHER_CAUSE_SHARE = 0.25
# Chance that a part which was sound begins to crash engines, compared to a part
# that is new.
TURN_CHANCE = 0.02
# Requests with one part often come close together, more than their share tells.
MIN_SHARE = 0.01
# A run equal to one in an earlier crash may be the same request, sent again to
# one of few engines.
RESENT_GAIN = math.log(2)


class PartScore:
    """
    Evidence against a part.

    :param part: digest of the part
    :param crashes: crashes that it may have caused, the earliest first
    :param ratio: log likelihood ratio, by :func:`compute_ratio`
    :param other_count: unexplained crashes without the part, each of which may
        have started a wrong suspicion
    :param was_sound: whether the part had sound runs before
    """

    __slots__ = (
        'crashes',
        'moment_count',
        'other_count',
        'part',
        'ratio',
        'total',
        'was_sound',
    )

    def __init__(
        self,
        part: str,
        crashes: Sequence[Crash],
        ratio: float,
        other_count: int,
        *,
        was_sound: bool,
    ) -> None:
        self.part = part
        self.crashes = crashes
        self.ratio = ratio
        self.moment_count = len(list_moments(crashes))
        self.other_count = other_count
        self.was_sound = was_sound
        # Score among parts that compete to explain the same crashes.
        self.total = self.moment_count * EXPLAINED_GAIN + ratio

    def compute_lead(self, other: 'PartScore') -> float:
        """Return how much likelier this part is the cause than another."""
        return self.total - other.total

    def compute_new_lead(self, other: 'PartScore') -> float:
        """Return the lead, with regard to which of the parts are new."""
        turn_gain = -math.log(TURN_CHANCE)
        return self.compute_lead(other) + turn_gain * (
            other.was_sound - self.was_sound
        )

    def competes_with(self, other: 'PartScore') -> bool:
        """Return whether this part may explain most crashes of another."""
        common = set(self.crashes).intersection(other.crashes)
        return 2 * len(common) >= len(other.crashes)


def compute_ratio(part: str, crashes: Iterable[Crash], share: float) -> float:
    """
    Return how much likelier the crashes are if a part causes some of them.

    The hypothesis is that the part causes one crash in two. Its first crash is
    what makes it a candidate, so it adds nothing.

    :param crashes: unexplained crashes from the first one with the part on,
        those without it as well, the earliest first
    :param share: share of the requests that have the part
    """
    ratio = float(0)
    known_runs: set[BegunRun] = set()
    for crash in crashes:
        runs = crash.list_runs(part)
        if known_runs:
            ratio += _compute_gain(crash, runs, share, known_runs)
        known_runs.update(runs)
    return ratio


def _compute_gain(
    crash: Crash,
    runs: Set[BegunRun],
    share: float,
    known_runs: Set[BegunRun],
) -> float:
    """Return what a crash adds to the ratio of a part."""
    if not runs:
        return math.log(OTHER_CAUSE_SHARE)
    chance = 1 - (1 - max(share, MIN_SHARE)) ** crash.run_count
    gain = math.log((1 - OTHER_CAUSE_SHARE) / chance + OTHER_CAUSE_SHARE)
    return gain if runs.isdisjoint(known_runs) else min(gain, RESENT_GAIN)
