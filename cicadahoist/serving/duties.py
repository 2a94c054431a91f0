"""Runs the duties of the lease holder: usage reports and orders."""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import StoreError
from cicadahoist.log import get_logger
from cicadahoist.objects import ObjectStoreClient
from cicadahoist.protocol.actions import OrderOutcome
from cicadahoist.protocol.records import (
    JournalEntry,
    LeaseRecord,
    get_era,
)

logger = get_logger(__name__)

LEASE_KIND = 'cicadahoist-leases'
LEASE_NAME = 'duties'


class Term(Protocol):
    """The lease under which the jobs run."""

    @property
    def is_holder(self) -> bool:
        """Whether the lease may be used at this moment."""

    @property
    def epoch(self) -> int:
        """Fencing token of the lease."""


class Job(Protocol):
    """Periodic work of the lease holder."""

    def begin_term(self) -> None:
        """Reset the state kept from an earlier term."""

    async def run(
        self, true_ms: int, may_act: Callable[[], bool], epoch: int
    ) -> None:
        """
        Do the work that is due.

        :param true_ms: wall-clock time, corrected for steps
        :param may_act: returns whether the lease is still held in this term
        :param epoch: fencing token of the lease
        """


class PlatformDuties:
    """
    Runs the jobs of the lease holder, each with its own period.

    :param clock: clock of the process
    :param true_ms: wall-clock time, corrected for steps
    :param store: the store that keeps the lease
    """

    __slots__ = (
        '_clock',
        '_due_ms_by_job',
        '_jobs',
        '_store',
        '_term',
        '_true_ms',
    )

    def __init__(
        self,
        clock: Clock,
        true_ms: Callable[[], int],
        store: ObjectStoreClient,
    ) -> None:
        self._clock = clock
        self._store = store
        self._true_ms = true_ms
        self._jobs: list[tuple[Job, int]] = []
        self._due_ms_by_job: dict[int, int] = {}
        self._term: Term | None = None

    def set_term(self, term: Term) -> None:
        """Set the lease under which the jobs run."""
        self._term = term

    def add(self, job: Job, period_ms: int) -> None:
        """
        Add a job.

        :param period_ms: time from the end of a run to the next one
        """
        self._jobs.append((job, period_ms))

    def begin_term(self, record: LeaseRecord) -> None:
        """Begin a term of all jobs."""
        for job, _ in self._jobs:
            job.begin_term()

    def end_term(self) -> None:
        """Do nothing: jobs check the lease before each call."""

    def tick(self, now_ms: int) -> None:
        """Run the jobs that are due."""
        for number, (job, period_ms) in enumerate(self._jobs):
            if now_ms >= self._due_ms_by_job.get(number, 0):
                # A job that is still running is not started again until then.
                self._due_ms_by_job[number] = now_ms + 10 * period_ms
                running = Deferred.fromCoroutine(self._run(job))
                running.addErrback(_log_defect)
                running.addBoth(self._schedule_next, number, period_ms)

    async def send(self, entry: JournalEntry) -> None:
        """Do nothing: the jobs make their calls themselves."""

    async def read(self, target: str, token: str) -> None:
        """Do nothing: no order is journalled."""

    def handle_outcome(
        self, entry: JournalEntry, outcome: OrderOutcome
    ) -> None:
        """Do nothing: no order is journalled."""

    async def _run(self, job: Job) -> None:
        term = self._term
        if term is None:
            return
        epoch = term.epoch

        def may_act() -> bool:
            is_lease_kept = get_era(epoch) == self._store.era
            return term.is_holder and term.epoch == epoch and is_lease_kept

        try:
            await job.run(self._true_ms(), may_act, epoch)
        except StoreError as error:
            logger.bind(epoch=epoch).warning(
                'duty postponed to its next run: {0}', error
            )

    def _schedule_next(self, ended: Any, number: int, period_ms: int) -> None:
        self._due_ms_by_job[number] = self._clock.now_ms() + period_ms


class NoTimer:
    """
    Replaces the kernel's timer that ends the process of a lease holder.

    None is needed: each call checks the lease just before it is sent, and the
    platform allows calls that arrive shortly after a pause of their sender.
    """

    __slots__ = ()

    def arm(self, deadline_ms: int) -> None:
        """Do nothing."""

    def disarm(self) -> None:
        """Do nothing."""


def _log_defect(failure: Any) -> None:
    if not failure.check(CancelledError):
        logger.error(
            'duty failed with an unexpected error: {0}', failure.getTraceback()
        )
