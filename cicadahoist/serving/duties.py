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
from cicadahoist.serving.fence_register import FenceRegister

logger = get_logger(__name__)

LEASE_KIND = 'cicadahoist-leases'
LEASE_NAME = 'duties'
REGISTER_RETRY_MS = 1000


class Term(Protocol):
    """The lease under which the jobs run."""

    @property
    def is_holder(self) -> bool:
        """Whether the lease may be used at this moment."""

    @property
    def epoch(self) -> int:
        """Fencing token of the lease."""

    def record_epoch(self, epoch: int) -> None:
        """Record a token, so that later claims are above it."""


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

    No job runs before the fencing token is registered, in each term: a record
    that goes back lets a process win with a token that others have passed.

    :param clock: clock of the process
    :param true_ms: wall-clock time, corrected for steps
    :param store: the store that keeps the lease
    :param fences: registers the token of a term
    """

    __slots__ = (
        '_clock',
        '_due_ms_by_job',
        '_fences',
        '_jobs',
        '_register_due_ms',
        '_registered_epoch',
        '_store',
        '_term',
        '_term_count',
        '_true_ms',
        'is_token_taken',
    )

    def __init__(
        self,
        clock: Clock,
        true_ms: Callable[[], int],
        store: ObjectStoreClient,
        fences: FenceRegister,
    ) -> None:
        self._clock = clock
        self._fences = fences
        self._store = store
        self._true_ms = true_ms
        self._jobs: list[tuple[Job, int]] = []
        self._due_ms_by_job: dict[int, int] = {}
        self._term: Term | None = None
        self._term_count = 0
        # Token that was registered in this term.
        self._registered_epoch: int | None = None
        self._register_due_ms = 0
        # Whether another process has used the token of this term, or a later
        # one: the lease must be given up.
        self.is_token_taken = False

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
        self._term_count += 1
        self._registered_epoch = None
        self._register_due_ms = 0
        for job, _ in self._jobs:
            job.begin_term()

    def end_term(self) -> None:
        """End a term; jobs check the lease before each call."""
        self.is_token_taken = False

    def tick(self, now_ms: int) -> None:
        """Run the jobs that are due, once the token is registered."""
        if not self._is_token_registered(now_ms):
            return
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

    def _is_token_registered(self, now_ms: int) -> bool:
        if self._term is None:
            return False
        epoch = self._term.epoch
        if self._registered_epoch != epoch and now_ms >= self._register_due_ms:
            self._register_due_ms = now_ms + REGISTER_RETRY_MS
            registering = Deferred.fromCoroutine(
                self._register(epoch, self._term_count)
            )
            registering.addErrback(_log_defect)
        return self._registered_epoch == epoch

    async def _register(self, epoch: int, term_number: int) -> None:
        try:
            is_own = await self._fences.register(epoch)
        except StoreError as error:
            logger.bind(epoch=epoch).warning(
                'fencing token not registered: {0}', error
            )
            return
        term = self._term
        if term is None or not self._may_act(epoch, term_number):
            return
        if is_own:
            self._registered_epoch = epoch
            logger.bind(epoch=epoch).info('fencing token registered')
        else:
            self.is_token_taken = True
            newest = self._fences.newest_epoch
            term.record_epoch(newest)
            logger.bind(epoch=epoch, newest=newest).warning(
                'lease given up: another process has registered its token'
            )

    async def _run(self, job: Job) -> None:
        if self._term is None:
            return
        epoch = self._term.epoch
        term_number = self._term_count
        try:
            await job.run(
                self._true_ms(),
                lambda: self._may_act(epoch, term_number),
                epoch,
            )
        except StoreError as error:
            logger.bind(epoch=epoch).warning(
                'duty postponed to its next run: {0}', error
            )

    def _may_act(self, epoch: int, term_number: int) -> bool:
        """Return whether the lease is held in a term, in the token's era."""
        term = self._term
        if term is None or get_era(epoch) != self._store.era:
            return False
        if term_number != self._term_count:
            return False
        return term.is_holder and term.epoch == epoch

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
