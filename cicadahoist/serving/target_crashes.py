"""
Decides which targets have crashed, for all that depend on it.

Requests are quarantined and prompt parts are held for crashes of targets. Both
come from the one verdict here, so that neither counts what is no crash.
"""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.listings import Listing
from cicadahoist.log import get_logger
from cicadahoist.metrics import TARGET_CRASHES, Metrics
from cicadahoist.policy.crash_containment import BegunRun, Blame, CrashReport
from cicadahoist.serving.gossip import Gossip
from cicadahoist.serving.part_watch import PartWatch
from cicadahoist.serving.target_connections import (
    Reachability,
    TargetConnections,
)

logger = get_logger(__name__)

# A crash breaks off all attempts at a target within this time.
GATHER_MS = 30
# While nobody reaches a target it is asked again this much later: most targets
# may be down, and peers have yet to show whether it is this instance.
RECHECK_MS = 250
# A target that has not been seen crashed by then may be frozen or cut off.
MAX_VERDICT_MS = 1000
# A run that has gone on for longer did not crash its engine by its begin.
BEGUN_MS = 500


class LostAttempt(msgspec.Struct, frozen=True):
    """
    Attempt that its target broke off.

    :param attempt_id: id that the caller gave its request
    :param digest: digest that the request shares with its retries
    :param lost_ms: time of the loss
    """

    attempt_id: str
    digest: str
    lost_ms: int


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


Loss = LostAttempt | LostRun


class TargetCrashes:
    """
    Checks targets that broke off attempts, and reports those that crashed.

    A crashed target refuses connections, of peers as well where this instance
    may be cut off. One that accepts them has broken off a connection only, and
    one that does not answer may be frozen or cut off. Attempts that this
    instance ended itself do not come here; see
    :func:`cicadahoist.serving.attempt_results.is_broken_off`.

    :param clock: clock of the process
    :param true_ms: returns the present time, by the corrected wall clock
    :param part_watch: learns the crashes, for the prompts that ran
    :param gossip: learns the crashes, for the requests that ran
    :param metrics: metrics of the process
    """

    __slots__ = (
        '_checked_names',
        '_clock',
        '_crashes',
        '_gossip',
        '_losses_by_name',
        '_part_watch',
        '_true_ms',
    )

    def __init__(
        self,
        clock: Clock,
        true_ms: Callable[[], int],
        part_watch: PartWatch,
        gossip: Gossip,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._true_ms = true_ms
        self._part_watch = part_watch
        self._gossip = gossip
        self._crashes = metrics.counter(TARGET_CRASHES)
        self._losses_by_name: dict[str, list[Loss]] = {}
        self._checked_names: set[str] = set()

    def record_loss(
        self, connections: TargetConnections, listing: Listing, loss: Loss
    ) -> None:
        """
        Record what a target broke off, and schedule a check of the target.

        :param connections: opens a connection to the target
        """
        self._losses_by_name.setdefault(listing.name, []).append(loss)
        if listing.name not in self._checked_names:
            self._schedule_check(connections, listing, GATHER_MS)

    def _schedule_check(
        self, connections: TargetConnections, listing: Listing, wait_ms: int
    ) -> None:
        self._checked_names.add(listing.name)
        self._clock.call_later(
            wait_ms, self._launch_check, connections, listing
        )

    def _launch_check(
        self, connections: TargetConnections, listing: Listing
    ) -> None:
        checking = Deferred.fromCoroutine(self._check(connections, listing))
        checking.addErrback(partial(_log_defect, listing.name))
        checking.addBoth(self._end_check, connections, listing)

    async def _check(
        self, connections: TargetConnections, listing: Listing
    ) -> int:
        """Return the time until the next check, if one is needed."""
        losses = self._losses_by_name.pop(listing.name)
        reachability = await connections.check(listing)
        if reachability is Reachability.refused:
            self._report(listing.name, losses)
            return GATHER_MS
        awaited: list[Loss] = []
        if reachability is Reachability.no_answer:
            since_ms = self._clock.now_ms() - MAX_VERDICT_MS
            awaited = [loss for loss in losses if loss.lost_ms > since_ms]
        if len(awaited) < len(losses):
            logger.bind(
                target=listing.name,
                check=reachability.value,
                loss_count=len(losses) - len(awaited),
            ).info('attempts broken off, no crash seen')
        if not awaited:
            return GATHER_MS
        # Those that were lost meanwhile are judged with them.
        awaited.extend(self._losses_by_name.get(listing.name, ()))
        self._losses_by_name[listing.name] = awaited
        return RECHECK_MS

    def _end_check(
        self,
        wait_ms: int | None,
        connections: TargetConnections,
        listing: Listing,
    ) -> None:
        self._checked_names.discard(listing.name)
        if listing.name in self._losses_by_name:
            self._schedule_check(connections, listing, wait_ms or GATHER_MS)

    def _report(self, target: str, losses: list[Loss]) -> None:
        age_ms = self._clock.now_ms() - min(loss.lost_ms for loss in losses)
        true_ms = self._true_ms() - age_ms
        runs = tuple(
            loss.run
            for loss in losses
            if isinstance(loss, LostRun) and loss.has_just_begun
        )
        self._crashes.add(1)
        logger.bind(
            target=target,
            true_ms=true_ms,
            loss_count=len(losses),
            parts=sorted({part for run in runs for part in run.parts}),
        ).warning('target has crashed')
        self._part_watch.record_crash(CrashReport(target, true_ms, runs))
        self._blame(target, true_ms, losses)

    def _blame(self, target: str, true_ms: int, losses: Iterable[Loss]) -> None:
        """Blame the requests that the target was running."""
        for loss in losses:
            if not isinstance(loss, LostAttempt):
                continue
            blame = Blame(loss.digest, target, true_ms)
            if self._gossip.blames.add(blame):
                logger.bind(
                    request=loss.attempt_id, target=target, digest=loss.digest
                ).info('request blamed for a crash')
                self._gossip.on_blame(blame)


def _log_defect(target: str, failure: Any) -> None:
    logger.bind(target=target).error(
        'check of a target raised an unexpected error: {0}',
        failure.getTraceback(),
    )
