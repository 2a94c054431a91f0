"""Crashes of engines, and the runs that had just begun there."""

from collections import Counter
from collections.abc import Iterator

import msgspec

# Reports on one target within this time are of one crash: an engine takes
# seconds to start again.
SAME_CRASH_WINDOW_MS = 1000
CRASH_MEMORY_MS = 120_000
MAX_CRASHES = 64
# An engine rarely begins more runs within the time in which it would crash.
MAX_RUNS = 32
MAX_PARTS = 16


class BegunRun(msgspec.Struct, frozen=True, array_like=True):
    """
    Run that had just begun when its target crashed.

    :param workspace: workspace of the request
    :param parts: digests of the parts that other requests may share
    """

    workspace: str
    parts: tuple[str, ...]


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """
    Crash of a target as one instance saw it.

    :param target: name of the target
    :param true_ms: time of the crash, by the corrected wall clock
    :param runs: own runs that had just begun there: without an event yet, or
        with a first one less than some 100 ms ago
    """

    target: str
    true_ms: int
    runs: tuple[BegunRun, ...]


class Crash:
    """
    Crash of a target, joined from the reports of several instances.

    :param report: first report on it
    """

    __slots__ = ('_count_by_run', 'target', 'true_ms')

    def __init__(self, report: CrashReport) -> None:
        self.target = report.target
        self.true_ms = report.true_ms
        self._count_by_run: Counter[BegunRun] = Counter()

    @property
    def run_count(self) -> int:
        """Number of runs that had just begun."""
        return self._count_by_run.total()

    def matches(self, report: CrashReport) -> bool:
        """Return whether a report is on this crash."""
        gap_ms = abs(report.true_ms - self.true_ms)
        return report.target == self.target and gap_ms < SAME_CRASH_WINDOW_MS

    def merge(self, report: CrashReport) -> bool:
        """
        Add the runs of a report; a report that comes twice adds nothing.

        :return: whether a run was not known yet
        """
        self.true_ms = min(self.true_ms, report.true_ms)
        reported = Counter(_trim(run) for run in report.runs)
        joined = self._count_by_run | reported
        if joined == self._count_by_run or self.run_count >= MAX_RUNS:
            return False
        self._count_by_run = Counter(list(joined.elements())[:MAX_RUNS])
        return True

    def list_parts(self) -> set[str]:
        """Return the parts of all runs."""
        return {part for run in self._count_by_run for part in run.parts}

    def list_runs(self, part: str) -> frozenset[BegunRun]:
        """Return the runs on a part."""
        return frozenset(run for run in self._count_by_run if part in run.parts)


class CrashLog:
    """Bounded memory of the crashes of the last minutes, in order of time."""

    __slots__ = ('_crashes',)

    def __init__(self) -> None:
        self._crashes: list[Crash] = []

    def __iter__(self) -> Iterator[Crash]:
        """Iterate over the crashes, the earliest first."""
        return iter(self._crashes)

    def add(self, report: CrashReport) -> Crash | None:
        """
        Add a report, which may be late or come twice.

        :return: the crash that it tells anything new about
        """
        if not report.runs:
            return None
        crash = self._find(report)
        if crash is None:
            crash = Crash(report)
            self._crashes.append(crash)
        is_new = crash.merge(report)
        self._crashes.sort(key=_get_time)
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.pop(0)
        return crash if is_new and crash in self._crashes else None

    def drop_expired(self, true_ms: int) -> None:
        """Drop crashes too old to tell, and ones of a clock far off."""
        self._crashes = [
            crash
            for crash in self._crashes
            if abs(true_ms - crash.true_ms) <= CRASH_MEMORY_MS
        ]

    def _find(self, report: CrashReport) -> Crash | None:
        for crash in self._crashes:
            if crash.matches(report):
                return crash
        return None


def _trim(run: BegunRun) -> BegunRun:
    return BegunRun(run.workspace, run.parts[:MAX_PARTS])


def _get_time(crash: Crash) -> int:
    return crash.true_ms
