"""Ranks the instances of a zone as collectors of load reports."""

import math
from collections.abc import Iterable

import msgspec

from cicadahoist.ids import fast_hash


class CollectorCandidate(msgspec.Struct, frozen=True):
    """
    An instance that may collect load reports.

    :param name: name of the instance
    :param link_mbps: bandwidth of its link in Mbit/s, 0 for no limit
    :param core_count: processor capacity in cores, 0 for no limit
    """

    name: str
    link_mbps: float = 0
    core_count: float = 0


def rank_candidates(candidates: Iterable[CollectorCandidate]) -> list[str]:
    """
    Return the names in order, the best collector first.

    Those with the fastest link and the most processor capacity come first, so
    that the smallest ones collect only where a zone has no other. All
    instances compute the same order from the same records.
    """
    ranked = sorted(candidates, key=_compute_sort_key)
    return [candidate.name for candidate in ranked]


def _compute_sort_key(
    candidate: CollectorCandidate,
) -> tuple[float, float, int, str]:
    return (
        -(candidate.link_mbps or math.inf),
        -(candidate.core_count or math.inf),
        fast_hash(candidate.name),
        candidate.name,
    )
