"""
Score of the hypothesis that a part of prompts crashes engines.

It is a log likelihood ratio that each crash adds to, as in Wald's sequential
probability ratio test. A crash accuses all runs that had just begun, as a
positive pool does in group testing, where a sound run clears its parts and the
part that remains is a definite defective.
"""

import math
from collections.abc import Sequence

from cicadahoist.policy.crash_log import BegunRun, Crash

# Chance that an engine crashes by itself just after the begin of a run.
OWN_CRASH_CHANCE = 0.02
# What a part gains by explaining one crash.
EXPLAINED_GAIN = -math.log(OWN_CRASH_CHANCE)
# A run equal to one in an earlier crash may be the same request, sent again to
# one of few engines.
RESENT_GAIN = math.log(2)


class PartScore:
    """
    Evidence against a part.

    :param part: digest of the part
    :param crashes: crashes that it may have caused, the earliest first
    :param share: share of the requests that have the part
    """

    __slots__ = ('crashes', 'part', 'ratio', 'share')

    def __init__(
        self, part: str, crashes: Sequence[Crash], share: float
    ) -> None:
        self.part = part
        self.crashes = crashes
        self.share = share
        self.ratio = _compute_ratio(part, crashes, share)

    @property
    def crash_count(self) -> int:
        """Number of crashes that the part may have caused."""
        return len(self.crashes)

    @property
    def total(self) -> float:
        """Score among parts that compete to explain the same crashes."""
        return self.crash_count * EXPLAINED_GAIN + self.ratio

    def competes_with(self, other: 'PartScore') -> bool:
        """Return whether this part may explain most crashes of another."""
        common = set(self.crashes).intersection(other.crashes)
        return 2 * len(common) >= other.crash_count


def _compute_ratio(part: str, crashes: Sequence[Crash], share: float) -> float:
    """
    Return how unlikely it is that an innocent part was in all the crashes.

    The first crash is what makes the part a candidate, so it adds nothing.

    :return: sum of log(1 / q), with the chance q that one of the runs which
        had just begun has the part
    """
    ratio = float(0)
    known_runs: set[BegunRun] = set()
    for crash in crashes:
        runs = crash.list_runs(part)
        if known_runs:
            chance = 1 - (1 - share) ** crash.run_count
            gain = -math.log(chance)
            ratio += min(gain, RESENT_GAIN) if runs <= known_runs else gain
        known_runs.update(runs)
    return ratio
