"""
Finds the parts of prompts that crash engines which begin to answer on them.

See :mod:`cicadahoist.policy.part_score` for the statistic and its sources.
"""

import math
from collections.abc import Iterable

from cicadahoist.policy.crash_log import Crash, CrashLog, CrashReport
from cicadahoist.policy.guilty_parts import Guilt, GuiltyParts
from cicadahoist.policy.held_parts import PartHold
from cicadahoist.policy.part_score import PartScore
from cicadahoist.policy.part_shares import PartShares
from cicadahoist.policy.sound_parts import SoundPart, SoundParts

# A run that goes on for this long after its begin did not crash its engine.
SOUND_RUN_MS = 150
SUSPECT_CRASHES = 2
# A part is held at this many crashes if chance is excluded at the error rate,
MIN_CRASHES = 3
ERROR_RATE = 0.01
# and at these counts if it explains the crashes far better than other parts.
LIKELY_CRASHES = 4
CERTAIN_CRASHES = 5
MIN_LEAD = math.log(10)
# Lead in crashes that no sound run has cleared.
MIN_CRASH_LEAD = 2
MAX_CERTAIN_SHARE = 0.5


class CrashEvidence:
    """
    Evidence on parts, from own runs and the reports of peers.

    All times are by the corrected wall clock, in ms. The clocks of instances
    may differ by some ms: a sound run that began within this of a crash may
    clear too much or too little, which the next run or crash makes good.
    """

    __slots__ = (
        '_crash_ms_by_part',
        '_crashes',
        '_guilty',
        '_latest_ms',
        '_shares',
        '_sounds',
    )

    def __init__(self) -> None:
        self._shares = PartShares()
        self._crashes = CrashLog()
        self._sounds = SoundParts()
        self._crash_ms_by_part: dict[str, int] = {}
        self._guilty = GuiltyParts()
        self._latest_ms = 0

    def record_request(self, parts: tuple[str, ...]) -> None:
        """
        Count a request that arrives, for the share of requests with a part.

        :param parts: digests of the parts that other requests may share
        """
        self._shares.record_request(parts)

    def record_sound_run(
        self, parts: tuple[str, ...], true_ms: int
    ) -> tuple[SoundPart, ...]:
        """
        Record a run that was answered whole or went on for ``SOUND_RUN_MS``.

        :param parts: digests of the parts that other requests may share
        :param true_ms: time at which the run began, not its end: a part may
            begin to crash engines while older answers on it still go on
        :return: proofs that peers must hear, as they clear a suspicion
        """
        told = []
        for part in parts:
            self._sounds.record(part, true_ms)
            crash_ms = self._crash_ms_by_part.get(part)
            if crash_ms is not None:
                sound = SoundPart(part, true_ms)
                if self._sounds.try_tell(sound, crash_ms):
                    told.append(sound)
        return tuple(told)

    def apply_sound(self, sound: SoundPart) -> None:
        """Record the proof of a peer; it may be late or come twice."""
        self._sounds.record(sound.part, sound.true_ms)
        self._sounds.mark_told(sound)

    def add_crash(self, report: CrashReport) -> bool:
        """
        Add the report of an instance; it may be late or come twice.

        :return: whether it told anything new
        """
        crash = self._crashes.add(report)
        if crash is None:
            return False
        self._index_crashes()
        return True

    def is_suspect(self, parts: tuple[str, ...]) -> bool:
        """
        Return whether a request must not be sent on to a second engine.

        :param parts: digests of the parts that other requests may share
        :return: whether two crashes of one of the parts are neither cleared by
            a sound run nor explained by another part
        """
        return any(
            len(self._find_crashes(part)) >= SUSPECT_CRASHES
            for part in parts
            if part in self._crash_ms_by_part
        )

    def find_guilty(self, true_ms: int) -> tuple[PartHold, ...]:
        """
        Return the parts to hold from now on, and count their crashes as theirs.

        :param true_ms: present time
        """
        self._latest_ms = max(self._latest_ms, true_ms)
        found = []
        guilty = self._find_guiltiest()
        while guilty is not None:
            hold = self._hold(guilty, true_ms)
            found.append(hold)
            self._guilty.mark(hold.part, Guilt(true_ms, hold.workspaces))
            guilty = self._find_guiltiest()
        return tuple(found)

    def explain(self, part: str, workspaces: tuple[str, ...] = ()) -> None:
        """
        Count the crashes of a held part as its own, for all other parts.

        :param part: part whose hold was decided here or learned from a peer
        :param workspaces: workspaces of the hold, all if empty
        """
        known = self._guilty.get(part)
        if known is None or known.workspaces != workspaces:
            self._guilty.mark(part, Guilt(self._latest_ms, workspaces))

    def drop_expired(self, true_ms: int) -> None:
        """Drop the evidence that is too old to tell."""
        self._latest_ms = max(self._latest_ms, true_ms)
        self._crashes.drop_expired(true_ms)
        self._index_crashes()
        self._guilty.drop_expired(true_ms)

    def _index_crashes(self) -> None:
        self._crash_ms_by_part = {
            part: crash.true_ms
            for crash in self._crashes
            for part in crash.list_parts()
        }
        self._sounds.accuse(self._crash_ms_by_part)

    def _find_crashes(self, part: str) -> list[Crash]:
        """Return the crashes that a part may have caused."""
        sound_ms = self._sounds.get_latest_ms(part)
        return [
            crash
            for crash in self._crashes
            if crash.true_ms > sound_ms
            and crash.list_runs(part)
            and not self._guilty.accounts_for(part, crash)
            and not self._is_explained(crash, part)
        ]

    def _is_explained(self, crash: Crash, part: str) -> bool:
        """Return whether a part other than the given one caused a crash."""
        return any(
            crash.true_ms > self._sounds.get_latest_ms(other)
            for other in crash.list_parts()
            if other != part and other in self._guilty
        )

    def _find_guiltiest(self) -> PartScore | None:
        """Return the part with the highest score among those to hold now."""
        scores = [
            PartScore(part, crashes, self._shares.compute_share(part))
            for part in self._crash_ms_by_part
            if (crashes := self._find_crashes(part))
        ]
        scores.sort(key=_get_order)
        for score in scores:
            if self._is_guilty(score, scores):
                return score
        return None

    def _is_guilty(self, score: PartScore, scores: list[PartScore]) -> bool:
        if self._extends_hold(score):
            return True
        if score.crash_count < MIN_CRASHES:
            return False
        lead = score.total - max(
            (
                other.total
                for other in scores
                if other is not score and other.competes_with(score)
            ),
            default=0,
        )
        return lead > 0 and _is_proven(score, lead, len(scores))

    def _extends_hold(self, score: PartScore) -> bool:
        """Return whether a part held for one workspace crashed in another."""
        guilt = self._guilty.get(score.part)
        if guilt is None or not guilt.workspaces:
            return False
        if self._sounds.get_latest_ms(score.part) > guilt.since_ms:
            return False
        workspaces = _find_workspaces(score.part, score.crashes)
        return not workspaces.issubset(guilt.workspaces)

    def _hold(self, score: PartScore, true_ms: int) -> PartHold:
        workspaces = _find_workspaces(score.part, score.crashes)
        guilt = self._guilty.get(score.part)
        holds_all = False
        if guilt is not None:
            workspaces.update(guilt.workspaces)
            holds_all = not guilt.workspaces
        holds_all = holds_all or len(workspaces) > 1
        return PartHold(
            part=score.part,
            workspaces=() if holds_all else tuple(workspaces),
            since_ms=true_ms,
            crash_count=score.crash_count,
            targets=tuple(sorted({crash.target for crash in score.crashes})),
        )


def _is_proven(score: PartScore, lead: float, candidate_count: int) -> bool:
    """
    Return whether the leading part of its crashes is to be held.

    :param lead: distance to the next part that may explain the crashes
    :param candidate_count: number of parts tested
    """
    if score.ratio >= math.log(candidate_count / ERROR_RATE):
        return True
    if score.crash_count >= LIKELY_CRASHES and lead >= MIN_LEAD:
        return score.ratio >= MIN_LEAD
    return False


def _find_workspaces(part: str, crashes: Iterable[Crash]) -> set[str]:
    """Return the workspaces whose runs alone may have caused a crash."""
    found: set[str] = set()
    joint: set[str] = set()
    for crash in crashes:
        workspaces = {run.workspace for run in crash.list_runs(part)}
        joint.update(workspaces)
        if len(workspaces) == 1:
            found.update(workspaces)
    return found or joint


def _get_order(score: PartScore) -> tuple[float, str]:
    return -score.total, score.part
