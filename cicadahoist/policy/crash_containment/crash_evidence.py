"""
Finds the parts of prompts that crash engines which begin to answer on them.

See :mod:`cicadahoist.policy.crash_containment.part_score` for the statistic and
its sources.
"""

from collections.abc import Iterable

from cicadahoist.policy.crash_containment.accusations import Accusations
from cicadahoist.policy.crash_containment.crash_log import (
    BegunRun,
    Crash,
    CrashReport,
)
from cicadahoist.policy.crash_containment.guilty_parts import Guilt
from cicadahoist.policy.crash_containment.held_parts import PartHold
from cicadahoist.policy.crash_containment.part_judge import find_tied, is_guilty
from cicadahoist.policy.crash_containment.part_score import PartScore
from cicadahoist.policy.crash_containment.part_shares import PartShares
from cicadahoist.policy.crash_containment.sound_parts import SoundPart

__all__ = ('BegunRun', 'CrashEvidence', 'CrashReport', 'SoundPart')

SUSPECT_CRASHES = 2


class CrashEvidence:
    """
    Evidence on parts, from own runs and the reports of peers.

    All times are by the corrected wall clock, in ms. The clocks of instances
    may differ by some ms: a sound run that began within this of a crash may
    clear too much or too little, which the next run or crash makes good.
    """

    __slots__ = ('_accusations', '_latest_ms', '_shares')

    def __init__(self) -> None:
        self._accusations = Accusations()
        self._shares = PartShares()
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
        Record a run that was answered whole, or went on well after its begin.

        :param parts: digests of the parts that other requests may share
        :param true_ms: time at which the run began, not its end: a part may
            begin to crash engines while older answers on it still go on
        :return: proofs that peers must hear, as they clear a suspicion
        """
        sounds = [SoundPart(part, true_ms) for part in dict.fromkeys(parts)]
        return tuple(filter(self._accusations.record_sound, sounds))

    def apply_sound(self, sound: SoundPart) -> None:
        """Record the proof of a peer; it may be late or come twice."""
        self._accusations.apply_sound(sound)

    def add_crash(self, report: CrashReport) -> bool:
        """
        Add the report of an instance; it may be late or come twice.

        :return: whether it told anything new
        """
        return self._accusations.add(report)

    def is_suspect(self, parts: tuple[str, ...]) -> bool:
        """
        Return whether a request must not be sent on to a second engine.

        :param parts: digests of the parts that other requests may share
        :return: whether two crashes of one of the parts are neither cleared by
            a sound run nor explained by another part
        """
        return any(
            len(self._accusations.find_crashes(part)) >= SUSPECT_CRASHES
            for part in parts
        )

    def find_guilty(self, true_ms: int) -> tuple[PartHold, ...]:
        """
        Return the parts to hold from now on, and count their crashes as theirs.

        It is to be called some 30 times a second: a crash is judged only once
        the reports of all instances have had time to arrive.

        :param true_ms: present time
        :return: holds decided now, which peers must learn
        """
        self._latest_ms = max(self._latest_ms, true_ms)
        self._accusations.wait_for_reports(true_ms)
        found: list[PartHold] = []
        while self._accusations.is_changed:
            self._accusations.is_changed = False
            for score in self._find_guiltiest():
                found.append(self._hold(score, true_ms))
        return tuple(found)

    def explain(self, part: str, workspaces: tuple[str, ...] = ()) -> None:
        """
        Count the crashes of a part as its own, for all other parts.

        :param part: part whose hold was learned from a peer or the store
        :param workspaces: workspaces of the hold, all if empty
        """
        known = self._accusations.guilty.get(part)
        if known is None or known.workspaces != workspaces:
            guilt = Guilt(self._latest_ms, workspaces)
            self._accusations.guilty.mark(part, guilt)
            self._accusations.is_changed = True

    def drop_expired(self, true_ms: int) -> None:
        """Drop the evidence that is too old to tell."""
        self._latest_ms = max(self._latest_ms, true_ms)
        self._accusations.drop_expired(true_ms)

    def _find_guiltiest(self) -> list[PartScore]:
        """Return the part to hold now, or several that are always together."""
        scores = self._accusations.list_scores(self._shares)
        for score in scores:
            if self._extends_hold(score) or is_guilty(score, scores):
                return [score]
        return find_tied(scores)

    def _extends_hold(self, score: PartScore) -> bool:
        """Return whether a part held for one workspace crashed in another."""
        guilt = self._accusations.guilty.get(score.part)
        if guilt is None or not guilt.workspaces:
            return False
        if self._accusations.was_sound_since(score.part, guilt.since_ms):
            return False
        workspaces = _find_workspaces(score.part, score.crashes)
        return not workspaces.issubset(guilt.workspaces)

    def _hold(self, score: PartScore, true_ms: int) -> PartHold:
        workspaces = _find_workspaces(score.part, score.crashes)
        guilt = self._mark_guilty(score.part, workspaces, true_ms)
        return PartHold(
            part=score.part,
            workspaces=guilt.workspaces,
            since_ms=true_ms,
            crash_count=len(score.crashes),
            targets=tuple(sorted({crash.target for crash in score.crashes})),
        )

    def _mark_guilty(
        self, part: str, workspaces: set[str], true_ms: int
    ) -> Guilt:
        """Record a decision, for all workspaces once there are two."""
        known = self._accusations.guilty.get(part)
        if known is not None:
            workspaces = workspaces.union(known.workspaces)
        holds_all = len(workspaces) > 1 or (
            known is not None and not known.workspaces
        )
        guilt = Guilt(true_ms, () if holds_all else tuple(workspaces))
        self._accusations.guilty.mark(part, guilt)
        self._accusations.is_changed = True
        return guilt


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
