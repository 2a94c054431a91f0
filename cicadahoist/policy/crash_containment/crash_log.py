"""Crashes of engines, and the runs that had just begun there."""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Set

import msgspec

# Reports on one target within this time are of one crash: an engine takes
# seconds to start again.
SAME_CRASH_WINDOW_MS = 1000
# Targets that crash within this time have a common cause, such as a power loss.
SAME_MOMENT_MS = 5
# Time for the reports of all instances on a crash to arrive.
REPORT_WAIT_MS = 300
CRASH_MEMORY_MS = 120_000
MAX_CRASHES = 64
# An engine rarely begins more runs within the time in which it would crash.
MAX_RUNS = 64
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

    __slots__ = (
        '_count_by_run',
        '_known_ms',
        '_runs_by_part',
        'is_ready',
        'target',
        'true_ms',
    )

    def __init__(self, report: CrashReport) -> None:
        self.target = report.target
        self.true_ms = report.true_ms
        self.is_ready = False
        self._known_ms: int | None = None
        self._count_by_run: Counter[BegunRun] = Counter()
        self._runs_by_part: dict[str, set[BegunRun]] = {}

    @property
    def parts(self) -> Collection[str]:
        """Parts of all runs."""
        return self._runs_by_part

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
        for run in self._count_by_run:
            for part in run.parts:
                self._runs_by_part.setdefault(part, set()).add(run)
        return True

    def make_ready(self, true_ms: int) -> bool:
        """
        Make the crash ready once its reports have had time to arrive.

        :return: whether it became ready now
        """
        if self._known_ms is None:
            self._known_ms = true_ms
        if self.is_ready or true_ms - self._known_ms < REPORT_WAIT_MS:
            return False
        self.is_ready = True
        return True

    def list_runs(self, part: str) -> Set[BegunRun]:
        """Return the runs on a part."""
        return self._runs_by_part.get(part, set())


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
        self._crashes.sort(key=get_crash_ms)
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.pop(0)
        return crash if is_new and crash in self._crashes else None

    def make_ready(self, true_ms: int) -> bool:
        """Make old enough crashes ready; return whether there were any."""
        return any([crash.make_ready(true_ms) for crash in self._crashes])

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


def get_crash_ms(crash: Crash) -> int:
    """Return the time of a crash, as a key to sort by."""
    return crash.true_ms


def list_moments(crashes: Iterable[Crash]) -> list[Crash]:
    """Return the first of all crashes that have a common cause."""
    moments: list[Crash] = []
    for crash in crashes:
        if not moments or crash.true_ms - moments[-1].true_ms > SAME_MOMENT_MS:
            moments.append(crash)
    return moments
