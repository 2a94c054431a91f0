"""News on prompt parts that crash engines, as load reports carry them."""

from collections import deque
from typing import TypeVar

import msgspec

from cicadahoist.policy.crash_containment import (
    CrashReport,
    PartHold,
    SoundPart,
)
from cicadahoist.serving.gossip import Gossip

# Crash reports and sound parts are repeated for this long, some four times, as
# datagrams may be lost.
REPEAT_MS = 1600
MAX_SOUNDS = 64
MAX_HOLDS = 32
# Parts of a prompt are named by callers, so that their lengths are not known.
MAX_REPORT_BYTES = 4000
MAX_CRASH_BYTES = 8000
MAX_SOUND_BYTES = 4000
MAX_HOLD_BYTES = 6000


_Entry = TypeVar('_Entry', bound=msgspec.Struct)
_Timed = TypeVar('_Timed', CrashReport, SoundPart)


class PartNews(msgspec.Struct, array_like=True, frozen=True):
    """
    What an instance knows about parts that crash engines.

    :param crashes: its recent reports on crashes
    :param sounds: proofs that accused parts do not crash engines
    :param holds: holds in force
    """

    crashes: tuple[CrashReport, ...] = ()
    sounds: tuple[SoundPart, ...] = ()
    holds: tuple[PartHold, ...] = ()


class PartNewsQueue:
    """
    Collects the news for load reports.

    :param gossip: gives the holds, and calls this queue with own findings
    """

    __slots__ = ('_crashes', '_gossip', '_sounds')

    def __init__(self, gossip: Gossip) -> None:
        self._gossip = gossip
        self._crashes: deque[CrashReport] = deque(maxlen=MAX_HOLDS)
        self._sounds: deque[SoundPart] = deque(maxlen=MAX_SOUNDS)
        gossip.on_crash = self._add_crash
        gossip.on_sound_part = self._sounds.append

    def collect(self, true_ms: int) -> PartNews | None:
        """
        Return the news that peers may not have yet, none if there are none.

        :param true_ms: present time, by the corrected wall clock
        """
        since_ms = true_ms - REPEAT_MS
        holds = self._gossip.held_parts.list_holds(true_ms)
        news = PartNews(
            _select(list(self._crashes), since_ms, MAX_CRASH_BYTES),
            _select(list(self._sounds), since_ms, MAX_SOUND_BYTES),
            _limit_bytes(holds[-MAX_HOLDS:], MAX_HOLD_BYTES),
        )
        return None if news == PartNews() else news

    @property
    def recent_count(self) -> int:
        """Number of own findings that may have to be sent."""
        return len(self._crashes) + len(self._sounds)

    def _add_crash(self, report: CrashReport) -> None:
        runs = _limit_bytes(list(report.runs), MAX_REPORT_BYTES)
        self._crashes.append(msgspec.structs.replace(report, runs=runs))


def merge_news(
    first: PartNews | None, second: PartNews | None
) -> PartNews | None:
    """Return the news of two reports, each once, within the same bounds."""
    if first is None or second is None:
        return first or second
    if first == second:
        return first
    return PartNews(
        _unite(first.crashes, second.crashes, MAX_CRASH_BYTES),
        _unite(first.sounds, second.sounds, MAX_SOUND_BYTES),
        _unite(first.holds, second.holds, MAX_HOLD_BYTES),
    )


def _unite(
    first: tuple[_Entry, ...], second: tuple[_Entry, ...], max_bytes: int
) -> tuple[_Entry, ...]:
    added = [entry for entry in second if entry not in first]
    return _limit_bytes([*first, *added], max_bytes)


def _select(
    queued: list[_Timed], since_ms: int, max_bytes: int
) -> tuple[_Timed, ...]:
    recent = [entry for entry in queued if entry.true_ms >= since_ms]
    return _limit_bytes(recent, max_bytes)


def _limit_bytes(entries: list[_Entry], max_bytes: int) -> tuple[_Entry, ...]:
    """Return the newest entries that fit, in order."""
    selected: list[_Entry] = []
    for entry in reversed(entries):
        entry_bytes = len(msgspec.msgpack.encode(entry))
        if entry_bytes <= max_bytes:
            max_bytes -= entry_bytes
            selected.append(entry)
    return tuple(reversed(selected))
