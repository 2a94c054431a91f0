"""What one instance at a time does for all: reports and orders."""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import StoreError
from cicadahoist.log import get_logger
from cicadahoist.protocol.actions import OrderOutcome
from cicadahoist.protocol.records import JournalEntry, LeaseRecord

logger = get_logger(__name__)

LEASE_KIND = 'cicadahoist-leases'
LEASE_NAME = 'duties'


class Term(Protocol):
    """The lease under which a duty runs."""

    @property
    def is_holder(self) -> bool:
        """Whether the lease may be used at this moment."""

    @property
    def epoch(self) -> int:
        """Fencing number."""


class Job(Protocol):
    """One kind of work of the holder."""

    def begin_term(self) -> None:
        """Begin a term."""

    async def run(
        self, true_ms: int, may_act: Callable[[], bool], epoch: int
    ) -> None:
        """Do what is due."""


class PlatformDuties:
    """
    Runs the jobs of the holder, each at its own pace.

    :param clock: clock of the process
    :param true_ms: wall-clock time, corrected for steps
    """

    __slots__ = ('_clock', '_due_ms_by_job', '_jobs', '_term', '_true_ms')

    def __init__(self, clock: Clock, true_ms: Callable[[], int]) -> None:
        self._clock = clock
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

        :param period_ms: time between two runs
        """
        self._jobs.append((job, period_ms))

    def won(self, record: LeaseRecord) -> None:
        """Begin the work."""
        for job, _ in self._jobs:
            job.begin_term()

    def lost(self) -> None:
        """Nothing is kept: each call asks whether the lease is held."""

    def tick(self, now_ms: int) -> None:
        """Run the jobs that are due."""
        for number, (job, period_ms) in enumerate(self._jobs):
            if now_ms >= self._due_ms_by_job.get(number, 0):
                # A job that does not end is not started again.
                self._due_ms_by_job[number] = now_ms + 10 * period_ms
                running = Deferred.fromCoroutine(self._run(job))
                running.addErrback(_log_defect)
                running.addBoth(self._schedule_next, number, period_ms)

    async def send(self, entry: JournalEntry) -> None:
        """Send nothing: the jobs make their calls themselves."""

    async def read(self, target: str, token: str) -> None:
        """Read nothing: no order is journalled."""

    def settled(self, entry: JournalEntry, outcome: OrderOutcome) -> None:
        """Take no note: no order is journalled."""

    async def _run(self, job: Job) -> None:
        term = self._term
        if term is None:
            return
        epoch = term.epoch

        def may_act() -> bool:
            return term.is_holder and term.epoch == epoch

        try:
            await job.run(self._true_ms(), may_act, epoch)
        except StoreError as error:
            logger.bind(epoch=epoch).warning('duty put off: {0}', error)

    def _schedule_next(self, ended: Any, number: int, period_ms: int) -> None:
        self._due_ms_by_job[number] = self._clock.now_ms() + period_ms


class NoTimer:
    """
    Stands in for the kernel's timer of a lease holder.

    The platform allows calls that arrive shortly after a pause of their
    sender, and each call asks for the lease just before it is sent.
    """

    __slots__ = ()

    def arm(self, deadline_ms: int) -> None:
        """Set nothing."""

    def disarm(self) -> None:
        """Stop nothing."""


def _log_defect(failure: Any) -> None:
    if not failure.check(CancelledError):
        logger.error('duty ended by a defect: {0}', failure.getTraceback())
