"""Selection of the instance that watches the store for its zone."""

from collections.abc import Iterable

from cicadahoist.ids import fast_hash


def select_reader(instances: Iterable[str]) -> str:
    """
    Return the instance that watches the store for all of its zone.

    Each instance selects by itself. Where views of the living instances differ,
    more of them watch than needed, or members watch the store themselves. One
    reader suffices, because members also do that until a lost one is replaced.

    :param instances: living instances of one zone
    """
    return min(instances, key=lambda name: (fast_hash(name), name))
