"""
Decides when an instance reads the record of versions, and what it writes.

All instances see a new version at about the same time. Each waits for a random
time; the first one writes it and tells the others, which then make no call.
The times are distributed exponentially, so that few come before the first
one's news, and the first comes early, whatever the number of instances.
"""

import math

from cicadahoist.policy.stream_versions.version_record import (
    RecordCopy,
    VersionRecord,
)

# Longest delay, for each instance and for all. A read, a write and the
# datagrams after it take some 20 ms, and 500 ms while the store is slow.
MAX_DELAY_PER_INSTANCE_MS = 50
MAX_DELAY_MS = 4000
# Shortest delay after another instance has written first: its news arrives
# within the time of one call.
MIN_CONFLICT_DELAY_MS = 300
# Instances that start do not know yet how many there are.
MIN_ASSUMED_INSTANCES = 16
# Longest delay while a request waits for the record, which it does within its
# latency objective of 150 ms or more.
MAX_AWAITED_DELAY_MS = 100


def compute_read_delay_ms(
    draw: float, instance_count: int, *, is_awaited: bool
) -> float:
    """
    Return the time until an instance reads the record.

    :param draw: random number from 0 to 1
    :param instance_count: instances that may do the same
    :param is_awaited: whether a request waits for it
    """
    count = max(MIN_ASSUMED_INSTANCES, instance_count)
    max_delay_ms = min(MAX_DELAY_MS, MAX_DELAY_PER_INSTANCE_MS * count)
    if is_awaited:
        max_delay_ms = MAX_AWAITED_DELAY_MS
    # One in `count` instances draws less than 1 / count, and does not wait.
    return max_delay_ms * (1 + math.log(max(draw, 1 / count), count))


def plan_write(
    copy: RecordCopy, missing: dict[str, frozenset[str]]
) -> VersionRecord | None:
    """
    Return the record to write after a read, none if nothing is missing.

    :param copy: what was read
    :param missing: versions that are to be recorded and are not in it
    """
    if not missing:
        return None
    return copy.record.add(missing, copy.era)
