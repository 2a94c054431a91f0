"""Tells crashes of engines from connections that merely broke off."""

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.listings import Listing
from cicadahoist.log import get_logger
from cicadahoist.metrics import TARGET_CRASHES, Metrics
from cicadahoist.policy.crash_log import BegunRun, CrashReport
from cicadahoist.serving.part_watch import PartWatch
from cicadahoist.serving.target_connections import (
    Reachability,
    TargetConnections,
)

logger = get_logger(__name__)

# A crash breaks off all runs of an engine within this time.
GATHER_MS = 30
# A run that has gone on for longer did not crash its engine by its begin.
BEGUN_MS = 500


class LostRun(msgspec.Struct, frozen=True):
    """
    Run that its target broke off.

    :param run: workspace and parts of its request
    :param begun_ms: time of its first event, none before it
    :param lost_ms: time of the loss
    """

    run: BegunRun
    begun_ms: int | None
    lost_ms: int

    @property
    def has_just_begun(self) -> bool:
        """Whether it may have crashed its target by its begin."""
        return self.begun_ms is None or self.lost_ms - self.begun_ms < BEGUN_MS


class TargetCrashes:
    """
    Checks targets that broke off runs, and reports those that crashed.

    A crashed target refuses connections. One that accepts them has broken off a
    connection only, and one that does not answer may be frozen or cut off.

    :param clock: clock of the process
    :param true_ms: returns the present time, by the corrected wall clock
    :param part_watch: learns the crashes
    :param metrics: metrics of the process
    """

    __slots__ = (
        '_checked_names',
        '_clock',
        '_crashes',
        '_lost_by_name',
        '_part_watch',
        '_true_ms',
    )

    def __init__(
        self,
        clock: Clock,
        true_ms: Callable[[], int],
        part_watch: PartWatch,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._true_ms = true_ms
        self._part_watch = part_watch
        self._crashes = metrics.counter(TARGET_CRASHES)
        self._lost_by_name: dict[str, list[LostRun]] = {}
        self._checked_names: set[str] = set()

    def record_loss(
        self, connections: TargetConnections, listing: Listing, lost: LostRun
    ) -> None:
        """
        Record a run that its target broke off, and schedule a check.

        :param connections: opens a connection to the target
        """
        gathered = self._lost_by_name.setdefault(listing.name, [])
        gathered.append(lost)
        if len(gathered) == 1 and listing.name not in self._checked_names:
            self._schedule_check(connections, listing)

    def _schedule_check(
        self, connections: TargetConnections, listing: Listing
    ) -> None:
        self._checked_names.add(listing.name)
        self._clock.call_later(
            GATHER_MS, self._launch_check, connections, listing
        )

    def _launch_check(
        self, connections: TargetConnections, listing: Listing
    ) -> None:
        checking = Deferred.fromCoroutine(self._check(connections, listing))
        checking.addErrback(partial(_log_defect, listing.name))
        checking.addBoth(self._end_check, connections, listing)

    async def _check(
        self, connections: TargetConnections, listing: Listing
    ) -> None:
        lost_runs = self._lost_by_name.pop(listing.name)
        reachability = await connections.check(listing)
        if reachability is Reachability.refused:
            self._report(listing.name, lost_runs)
        else:
            logger.bind(
                target=listing.name,
                check=reachability.value,
                run_count=len(lost_runs),
            ).info('runs broken off, no crash seen')

    def _end_check(
        self, outcome: Any, connections: TargetConnections, listing: Listing
    ) -> None:
        self._checked_names.discard(listing.name)
        if listing.name in self._lost_by_name:
            self._schedule_check(connections, listing)

    def _report(self, target: str, lost_runs: list[LostRun]) -> None:
        age_ms = self._clock.now_ms() - min(lost.lost_ms for lost in lost_runs)
        true_ms = self._true_ms() - age_ms
        runs = tuple(lost.run for lost in lost_runs if lost.has_just_begun)
        self._crashes.add(1)
        logger.bind(
            target=target,
            true_ms=true_ms,
            run_count=len(lost_runs),
            parts=sorted({part for run in runs for part in run.parts}),
        ).warning('target has crashed')
        self._part_watch.record_crash(CrashReport(target, true_ms, runs))


def _log_defect(target: str, failure: Any) -> None:
    logger.bind(target=target).error(
        'check of a target raised an unexpected error: {0}',
        failure.getTraceback(),
    )
