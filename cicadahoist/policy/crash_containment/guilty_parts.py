"""Parts found to crash engines, which account for their crashes."""

import msgspec

from cicadahoist.policy.crash_containment.crash_log import Crash
from cicadahoist.policy.crash_containment.held_parts import HOLD_MS

# Requests with a part still reach engines for this long after it is held.
SETTLE_MS = 3000
MAX_GUILTY_PARTS = 256


class Guilt(msgspec.Struct, frozen=True):
    """
    Decision on a part.

    :param since_ms: time of the decision, by the corrected wall clock
    :param workspaces: workspaces whose requests are held, all if empty
    """

    since_ms: int
    workspaces: tuple[str, ...]

    def covers(self, workspaces: set[str]) -> bool:
        """Return whether the requests of one of the workspaces are held."""
        return not self.workspaces or not workspaces.isdisjoint(self.workspaces)


class GuiltyParts:
    """Decisions on parts, those of the last ``HOLD_MS``."""

    __slots__ = ('_guilt_by_part',)

    def __init__(self) -> None:
        self._guilt_by_part: dict[str, Guilt] = {}

    def get(self, part: str) -> Guilt | None:
        """Return the decision on a part."""
        return self._guilt_by_part.get(part)

    def list_in(self, crash: Crash) -> list[str]:
        """Return the parts of a crash that were found to crash engines."""
        if not self._guilt_by_part:
            return []
        return [part for part in crash.parts if part in self._guilt_by_part]

    def mark(self, part: str, guilt: Guilt) -> None:
        """Record a decision; the oldest gives way when there are too many."""
        self._guilt_by_part.pop(part, None)
        self._guilt_by_part[part] = guilt
        if len(self._guilt_by_part) > MAX_GUILTY_PARTS:
            self._guilt_by_part.pop(next(iter(self._guilt_by_part)))

    def accounts_for(self, part: str, crash: Crash) -> bool:
        """
        Return whether the decision on a part rests on a crash.

        Crashes that come after a while tell that the hold has ended, and those
        of other workspaces that it is too narrow.
        """
        guilt = self._guilt_by_part.get(part)
        if guilt is None or crash.true_ms > guilt.since_ms + SETTLE_MS:
            return False
        return guilt.covers({run.workspace for run in crash.list_runs(part)})

    def drop_expired(self, true_ms: int) -> None:
        """Drop the decisions on parts that are not held any more."""
        for part, guilt in list(self._guilt_by_part.items()):
            if true_ms - guilt.since_ms >= HOLD_MS:
                self._guilt_by_part.pop(part)
