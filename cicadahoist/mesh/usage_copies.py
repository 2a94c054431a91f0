"""Copies of the usage counts of peers, held until they are stored."""

from collections.abc import Mapping

import msgspec

from cicadahoist.mesh.usage_record import make_source_name
from cicadahoist.messages import InstanceInfo, UsageCount, UsageFlushed


class Orphan(msgspec.Struct, frozen=True):
    """
    Copies whose entry is no longer live.

    :param source: name of the entry and its incarnation
    :param window: number of the billing window
    :param counts: the copies by number
    """

    source: str
    window: int
    counts: dict[int, UsageCount]


class UsageCopies:
    """Copies of counts by entry, incarnation and window."""

    __slots__ = ('_counts_by_key',)

    def __init__(self) -> None:
        self._counts_by_key: dict[
            tuple[str, str, int], dict[int, UsageCount]
        ] = {}

    def add(self, sender: InstanceInfo, count: UsageCount) -> None:
        """Add a copy of a count of the sender."""
        key = (sender.name, sender.incarnation, count.window)
        self._counts_by_key.setdefault(key, {})[count.number] = count

    def drop_flushed(self, sender: InstanceInfo, flushed: UsageFlushed) -> None:
        """Drop the copies of the sender that it has stored."""
        key = (sender.name, sender.incarnation, flushed.window)
        counts = self._counts_by_key.pop(key, {})
        kept = {
            number: count
            for number, count in counts.items()
            if number > flushed.through
        }
        if kept:
            self._counts_by_key[key] = kept

    def list_orphans(self, live: Mapping[str, InstanceInfo]) -> list[Orphan]:
        """Return the copies whose incarnation is not among the live ones."""
        found = []
        for (name, incarnation, window), counts in self._counts_by_key.items():
            peer = live.get(name)
            if peer is None or peer.incarnation != incarnation:
                source = make_source_name(name, incarnation)
                found.append(Orphan(source, window, dict(counts)))
        return found

    def drop_adopted(self, orphan: Orphan) -> None:
        """Drop the copies of an orphan that was added to the store."""
        name, _, incarnation = orphan.source.partition('/')
        key = (name, incarnation, orphan.window)
        counts = self._counts_by_key.get(key, {})
        for number in orphan.counts:
            counts.pop(number, None)
        if not counts:
            self._counts_by_key.pop(key, None)

    def __len__(self) -> int:
        return sum(len(counts) for counts in self._counts_by_key.values())
