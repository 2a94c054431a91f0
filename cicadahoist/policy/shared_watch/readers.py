"""Selection of the instances that watch the store for their zone."""

from collections.abc import Iterable

from cicadahoist.ids import fast_hash

# Two readers: the loss of one leaves no gap until its silence is noticed.
READERS_PER_ZONE = 2


def select_readers(instances: Iterable[str]) -> list[str]:
    """
    Return the instances that watch the store for all of their zone.

    Each instance selects by itself. Where views of the living instances differ,
    more of them watch than needed, or members watch the store themselves.

    :param instances: living instances of one zone
    """
    ranked = sorted(instances, key=lambda name: (fast_hash(name), name))
    return ranked[:READERS_PER_ZONE]
