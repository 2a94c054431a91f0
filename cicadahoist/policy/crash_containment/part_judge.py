"""Decides whether a part of prompts is to be held for crashes of engines."""

import math

from cicadahoist.policy.crash_containment.part_score import (
    EXPLAINED_GAIN,
    PartScore,
)

# A part is held at this many crashes if chance is excluded at the error rate,
MIN_CRASHES = 3
ERROR_RATE = 0.0001
SURE_RATIO = -math.log(ERROR_RATE)
# and at these counts if it explains the crashes far better than other parts.
LIKELY_CRASHES = 4
CERTAIN_CRASHES = 5
RIVAL_CHANCE = 0.05
MIN_LEAD = -math.log(RIVAL_CHANCE)
SURE_LEAD = 2 * EXPLAINED_GAIN
# Parts that are always together cannot be told apart: at this many crashes all
# of them are held, rather than none.
TIED_CRASHES = 8
# A part that most requests share is in any crash, so it is not held.
MIN_RATIO = 0.2


def is_guilty(score: PartScore, scores: list[PartScore]) -> bool:
    """
    Return whether a part is to be held.

    :param score: score of the part
    :param scores: scores of all accused parts
    """
    if score.moment_count < MIN_CRASHES:
        return False
    rivals = [
        other
        for other in scores
        if other is not score and other.competes_with(score)
    ]
    return _is_proven(score, rivals)


def find_tied(scores: list[PartScore]) -> list[PartScore]:
    """
    Return the parts to hold together, none of which leads the others.

    :param scores: scores of all accused parts
    """
    candidates = [
        score
        for score in scores
        if len(score.crashes) >= TIED_CRASHES
        and score.moment_count >= MIN_CRASHES
        and _compute_net_ratio(score) >= MIN_RATIO
    ]
    return [
        score
        for score in candidates
        if all(rival.compute_new_lead(score) < MIN_LEAD for rival in candidates)
    ]


def _compute_net_ratio(score: PartScore) -> float:
    """Return the ratio, less what chance gives among several suspicions."""
    return score.ratio - math.log(1 + score.other_count)


def _is_proven(score: PartScore, rivals: list[PartScore]) -> bool:
    """
    Return whether a part is to be held.

    :param rivals: other parts that may explain the crashes
    """
    ratio = _compute_net_ratio(score)
    if ratio < MIN_RATIO:
        return False
    lead = min(map(score.compute_new_lead, rivals), default=score.total)
    if len(score.crashes) >= CERTAIN_CRASHES:
        return lead >= MIN_LEAD
    lead = min(map(score.compute_lead, rivals), default=lead)
    if lead < MIN_LEAD:
        return False
    if score.moment_count < LIKELY_CRASHES:
        return ratio >= SURE_RATIO
    return lead >= SURE_LEAD or ratio >= MIN_LEAD
