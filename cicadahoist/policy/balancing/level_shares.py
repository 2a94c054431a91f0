"""
Shares of the next requests that level the load of targets.

All instances see loads of about the same age. If each of them chose the least
loaded target, all requests that arrive until they learn better would go there.
So the requests that are expected within that age are spread such that they
level the load, and each request draws its target by these shares.
"""

from collections.abc import Sequence
from math import exp

import msgspec

from cicadahoist.ids import fast_hash

# Age of reports when they arrive: they are sent at most each 100 ms, and pass a
# collector.
REPORT_DELAY_MS = 100
HASH_BITS = 64
HASH_RANGE = 1 << HASH_BITS
# A request levels at least its own unit of load.
MIN_ARRIVAL_COUNT = 1.0


class TargetLoad(msgspec.Struct, frozen=True, kw_only=True):
    """
    What an instance knows about the load of one target.

    :param own_count: open requests of this instance
    :param peer_count: open requests of its peers, as they were at the age of
        the information
    :param slots: requests that the target runs at the same time
    :param slowness: time of a request here relative to the usual one
    """

    own_count: int
    peer_count: int
    slots: int
    slowness: float = 1

    @property
    def capacity(self) -> float:
        """Requests that it completes in the usual time of one."""
        return max(1, self.slots) / self.slowness


def compute_level_shares(
    loads: Sequence[TargetLoad], age_ms: float, request_ms: float
) -> list[float]:
    """
    Return the share of the next requests that each target should get.

    Of the requests that peers had open, those that have ended since then are
    taken to be replaced by as many new ones, which are spread to level the
    load. Old information thus gives shares by capacity, fresh information the
    target with the lowest load.

    :param loads: the targets, at least one
    :param age_ms: age of the loads of the peers
    :param request_ms: usual time of a request
    :return: shares in the order of the targets; their sum is 1
    """
    kept_shares = [
        exp(-age_ms / max(1, request_ms * load.slowness)) for load in loads
    ]
    backlogs = [
        load.own_count + load.peer_count * kept_share
        for load, kept_share in zip(loads, kept_shares, strict=True)
    ]
    arrival_count = MIN_ARRIVAL_COUNT + sum(
        load.peer_count * (1 - kept_share)
        for load, kept_share in zip(loads, kept_shares, strict=True)
    )
    capacities = [load.capacity for load in loads]
    level = _find_level(backlogs, capacities, arrival_count)
    return [
        max(0, level * capacity - backlog) / arrival_count
        for backlog, capacity in zip(backlogs, capacities, strict=True)
    ]


def choose_level(
    loads: Sequence[TargetLoad],
    reported_age_ms: float,
    request_ms: float,
    key: str,
) -> int:
    """
    Return the index of the target for a request.

    :param reported_age_ms: time since the loads of the peers arrived
    :param request_ms: usual time of a request
    :param key: text that differs between requests
    """
    age_ms = REPORT_DELAY_MS + reported_age_ms
    shares = compute_level_shares(loads, age_ms, request_ms)
    return draw_by_share(shares, fast_hash(key) / HASH_RANGE)


def draw_by_share(shares: Sequence[float], point: float) -> int:
    """
    Return the index of the share that a point falls into.

    :param point: number from 0 to 1, uniformly distributed
    """
    left = point * sum(shares)
    last = 0
    for index, share in enumerate(shares):
        if share <= 0:
            continue
        last = index
        left -= share
        if left < 0:
            break
    return last


def _find_level(
    backlogs: list[float], capacities: list[float], arrival_count: float
) -> float:
    """Return the load per capacity at which the arrivals are used up."""
    filled_capacity = 0.0
    filled_count = arrival_count
    level = 0.0
    ranked = sorted(
        (backlog / capacity, backlog, capacity)
        for backlog, capacity in zip(backlogs, capacities, strict=True)
    )
    for height, backlog, capacity in ranked:
        if filled_capacity and height >= level:
            break
        filled_capacity += capacity
        filled_count += backlog
        level = filled_count / filled_capacity
    return level
