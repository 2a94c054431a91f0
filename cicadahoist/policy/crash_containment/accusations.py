"""Crashes that parts of prompts are accused of, and what clears them."""

from cicadahoist.policy.crash_containment.crash_log import (
    Crash,
    CrashLog,
    CrashReport,
    get_crash_ms,
    list_moments,
)
from cicadahoist.policy.crash_containment.guilty_parts import GuiltyParts
from cicadahoist.policy.crash_containment.part_score import (
    PartScore,
    compute_ratio,
)
from cicadahoist.policy.crash_containment.part_shares import PartShares
from cicadahoist.policy.crash_containment.sound_parts import (
    NEVER_MS,
    SoundPart,
    SoundParts,
)


class Accusations:
    """
    Crashes by the parts that may have caused them.

    A crash counts against a part unless a sound run on the part began after it,
    or a part that was found guilty explains it.
    """

    __slots__ = (
        '_crashes',
        '_crashes_by_part',
        '_sounds',
        'guilty',
        'is_changed',
    )

    def __init__(self) -> None:
        self._crashes = CrashLog()
        self._crashes_by_part: dict[str, list[Crash]] = {}
        self._sounds = SoundParts()
        self.guilty = GuiltyParts()
        # Whether a part may have become guilty since this was last reset.
        self.is_changed = False

    def add(self, report: CrashReport) -> bool:
        """Add a report; return whether it told anything new."""
        if self._crashes.add(report) is None:
            return False
        self._index()
        return True

    def record_sound(self, sound: SoundPart) -> bool:
        """Record a sound run; return whether peers must hear of it."""
        self._apply_sound(sound)
        cleared_ms = [
            crash.true_ms
            for crash in self._crashes_by_part.get(sound.part, ())
            if crash.true_ms <= sound.true_ms
        ]
        return bool(cleared_ms) and self._sounds.try_tell(sound, cleared_ms[-1])

    def apply_sound(self, sound: SoundPart) -> None:
        """Record a sound run that a peer has told of."""
        self._apply_sound(sound)
        self._sounds.mark_told(sound)

    def was_sound_since(self, part: str, true_ms: int) -> bool:
        """Return whether a sound run on an accused part began after a time."""
        return self._sounds.get_latest_ms(part) > true_ms

    def wait_for_reports(self, true_ms: int) -> None:
        """Make the crashes ready whose reports have had time to arrive."""
        if self._crashes.make_ready(true_ms):
            self.is_changed = True

    def find_crashes(self, part: str) -> list[Crash]:
        """Return the crashes that count against a part, the earliest first."""
        sound_ms = self._sounds.get_latest_ms(part)
        return [
            crash
            for crash in self._crashes_by_part.get(part, ())
            if crash.true_ms > sound_ms
            and not self.guilty.accounts_for(part, crash)
            and not self._is_explained(crash, part)
        ]

    def list_scores(self, shares: PartShares) -> list[PartScore]:
        """
        Return the scores of all accused parts, the highest first.

        :param shares: shares of the requests that have a part
        """
        unexplained = [
            crash
            for crash in self._crashes
            if crash.is_ready and not self._is_explained(crash)
        ]
        scores = []
        for part, accused in self._crashes_by_part.items():
            is_held = self.guilty.get(part) is not None
            if len(accused) < 2 and not is_held:
                continue
            crashes = [
                crash for crash in self.find_crashes(part) if crash.is_ready
            ]
            if len(crashes) > 1 or (crashes and is_held):
                share = shares.compute_share(part)
                scores.append(self._score(part, crashes, unexplained, share))
        scores.sort(key=_get_order)
        return scores

    def drop_expired(self, true_ms: int) -> None:
        """Drop the evidence that is too old to tell."""
        self._crashes.drop_expired(true_ms)
        self._index()
        self.guilty.drop_expired(true_ms)

    def _apply_sound(self, sound: SoundPart) -> None:
        known_ms = self._sounds.get_latest_ms(sound.part)
        for crash in self._crashes_by_part.get(sound.part, ()):
            if known_ms < crash.true_ms <= sound.true_ms:
                self.is_changed = True
        self._sounds.record(sound.part, sound.true_ms)

    def _index(self) -> None:
        self._crashes_by_part = {}
        for crash in self._crashes:
            for part in crash.parts:
                self._crashes_by_part.setdefault(part, []).append(crash)
        self._sounds.accuse(self._crashes_by_part)
        self.is_changed = True

    def _is_explained(self, crash: Crash, part: str | None = None) -> bool:
        """Return whether a part other than the given one caused a crash."""
        return any(
            crash.true_ms > self._sounds.get_latest_ms(other)
            for other in self.guilty.list_in(crash)
            if other != part
        )

    def _score(
        self,
        part: str,
        crashes: list[Crash],
        unexplained: list[Crash],
        share: float,
    ) -> PartScore:
        without = [crash for crash in unexplained if not crash.list_runs(part)]
        since_ms = crashes[0].true_ms
        later = [crash for crash in without if crash.true_ms > since_ms]
        moments = [*list_moments(crashes), *list_moments(later)]
        moments.sort(key=get_crash_ms)
        was_sound = self._sounds.get_latest_ms(part) != NEVER_MS
        return PartScore(
            part,
            crashes,
            compute_ratio(part, moments, share),
            len(without),
            was_sound=was_sound,
        )


def _get_order(score: PartScore) -> tuple[float, str]:
    return -score.total, score.part
