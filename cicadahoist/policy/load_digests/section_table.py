"""Loads that other collectors have summed for their members."""

from collections.abc import Iterable

import msgspec

from cicadahoist.policy.load_digests.load_sum import LoadByTarget
from cicadahoist.policy.load_digests.member_marks import (
    Change,
    Marks,
    has_same_states,
)

# A section that is not renewed for this long no longer counts.
SECTION_TTL_MS = 1500
# A collector that is not heard for this long is not sent digests any more,
# unless it is chosen.
ACTIVE_MS = 500


class Section(msgspec.Struct, frozen=True):
    """
    What one collector has summed for its members.

    :param collector: name of the collector
    :param true_ms: time of the sum by the clock of the collector
    :param load_by_target: the sum
    :param heard: collectors that the collector hears itself
    :param marks: its members, none if they are as they were
    """

    collector: str
    true_ms: int
    load_by_target: LoadByTarget
    heard: tuple[str, ...] = ()
    marks: Marks | None = None


class _Entry(msgspec.Struct):
    section: Section
    received_ms: int
    marks: Marks
    marked_ms: int
    marked_true_ms: int
    # Clock of the collector less that of this instance.
    offset_ms: int
    # When one last came from the collector itself, none if never.
    direct_ms: int | None


class SectionTable:
    """The newest section of each other collector."""

    __slots__ = ('_entry_by_collector',)

    def __init__(self) -> None:
        self._entry_by_collector: dict[str, _Entry] = {}

    def apply(
        self,
        section: Section,
        own_true_ms: int,
        now_ms: int,
        *,
        is_direct: bool,
    ) -> Change:
        """
        Apply a section, which may arrive by several ways.

        :param own_true_ms: time by the clock of this instance
        :param is_direct: whether the collector itself has sent it
        """
        last = self._entry_by_collector.get(section.collector)
        if last is not None:
            if is_direct:
                last.direct_ms = now_ms
            if _is_known(section, last, now_ms):
                return Change(is_summed=False, is_listed=False)
        entry = _Entry(
            section,
            now_ms,
            section.marks or {},
            now_ms,
            section.true_ms,
            section.true_ms - own_true_ms,
            now_ms if is_direct else None,
        )
        self._entry_by_collector[section.collector] = entry
        if last is None:
            return Change(is_summed=True, is_listed=True)
        if not is_direct:
            entry.direct_ms = last.direct_ms
        if section.marks is None:
            entry.marks = last.marks
            entry.marked_ms = last.marked_ms
            entry.marked_true_ms = last.marked_true_ms
        return Change(
            section.load_by_target != last.section.load_by_target,
            not has_same_states(entry.marks, last.marks),
        )

    def drop_expired(self, now_ms: int) -> bool:
        """Drop the sections that were not renewed; return if there were any."""
        expired = [
            name
            for name, entry in self._entry_by_collector.items()
            if now_ms - entry.received_ms > SECTION_TTL_MS
        ]
        for name in expired:
            self._entry_by_collector.pop(name)
        return bool(expired)

    def clear(self) -> None:
        """Drop all sections."""
        self._entry_by_collector.clear()

    def list_collectors(self) -> list[str]:
        """Return the collectors whose sections count."""
        return list(self._entry_by_collector)

    def list_active(self, now_ms: int) -> tuple[str, ...]:
        """Return the collectors that have sent a section lately."""
        return tuple(
            name
            for name, entry in self._entry_by_collector.items()
            if entry.direct_ms is not None
            and now_ms - entry.direct_ms <= ACTIVE_MS
        )

    def list_loads(self) -> Iterable[LoadByTarget]:
        """Return the sums of all collectors."""
        return [
            entry.section.load_by_target
            for entry in self._entry_by_collector.values()
        ]

    def list_marks(self, now_ms: int) -> list[Marks]:
        """Return the marks of the members of each collector."""
        return [
            {
                name: mark.rebase(now_ms - entry.marked_ms, entry.offset_ms)
                for name, mark in entry.marks.items()
            }
            for entry in self._entry_by_collector.values()
        ]

    def list_stamps(self, collector: str) -> dict[str, int]:
        """Return the times of the reports that a collector has summed."""
        entry = self._entry_by_collector.get(collector)
        if entry is None:
            return {}
        return {
            name: entry.marked_true_ms - mark.age_ms + mark.offset_ms
            for name, mark in entry.marks.items()
        }


def _is_known(section: Section, last: _Entry, now_ms: int) -> bool:
    """Return whether a section is not newer than the last of its collector."""
    if section.true_ms > last.section.true_ms:
        return False
    # A collector that has started again may have another clock.
    return now_ms - last.received_ms <= ACTIVE_MS
