"""Times at which runs on parts of prompts were seen to be sound."""

from collections import OrderedDict
from collections.abc import Collection

import msgspec

MAX_RECENT_PARTS = 4096
# Peers are told of sound runs on one part at most this often.
TELL_PERIOD_MS = 200
# Before any time of the wall clock.
NEVER_MS = -1


class SoundPart(msgspec.Struct, frozen=True, array_like=True):
    """
    Proof that a part did not crash an engine.

    :param part: digest of the part
    :param true_ms: time at which the run on it began, by the corrected wall
        clock
    """

    part: str
    true_ms: int


class SoundParts:
    """
    Latest sound runs on parts.

    Those of accused parts are kept as long as the accusation; of all others
    there is a bounded number, for accusations that arrive late.
    """

    __slots__ = (
        '_accused_ms_by_part',
        '_recent_ms_by_part',
        '_told_ms_by_part',
    )

    def __init__(self) -> None:
        self._recent_ms_by_part: OrderedDict[str, int] = OrderedDict()
        self._accused_ms_by_part: dict[str, int] = {}
        self._told_ms_by_part: dict[str, int] = {}

    def record(self, part: str, true_ms: int) -> None:
        """Record that a run which began at a time was sound."""
        latest_ms = max(true_ms, self._recent_ms_by_part.get(part, NEVER_MS))
        self._recent_ms_by_part[part] = latest_ms
        self._recent_ms_by_part.move_to_end(part)
        if len(self._recent_ms_by_part) > MAX_RECENT_PARTS:
            self._recent_ms_by_part.popitem(last=False)
        accused_ms = self._accused_ms_by_part.get(part)
        if accused_ms is not None:
            self._accused_ms_by_part[part] = max(true_ms, accused_ms)

    def get_latest_ms(self, part: str) -> int:
        """Return when the latest sound run on an accused part began."""
        return self._accused_ms_by_part.get(part, NEVER_MS)

    def accuse(self, parts: Collection[str]) -> None:
        """Keep the sound runs of these parts, and no others for long."""
        self._accused_ms_by_part = {
            part: max(
                self._accused_ms_by_part.get(part, NEVER_MS),
                self._recent_ms_by_part.get(part, NEVER_MS),
            )
            for part in parts
        }
        self._told_ms_by_part = {
            part: told_ms
            for part, told_ms in self._told_ms_by_part.items()
            if part in self._accused_ms_by_part
        }

    def try_tell(self, sound: SoundPart, crash_ms: int) -> bool:
        """
        Return whether peers must hear of a sound run, and count it as told.

        :param crash_ms: time of the latest crash that it clears
        """
        told_ms = self._told_ms_by_part.get(sound.part, NEVER_MS)
        if crash_ms <= told_ms:
            return False
        if told_ms != NEVER_MS and sound.true_ms - told_ms < TELL_PERIOD_MS:
            return False
        self.mark_told(sound)
        return True

    def mark_told(self, sound: SoundPart) -> None:
        """Record that peers have heard of a sound run on an accused part."""
        if sound.part in self._accused_ms_by_part:
            told_ms = self._told_ms_by_part.get(sound.part, NEVER_MS)
            self._told_ms_by_part[sound.part] = max(told_ms, sound.true_ms)
