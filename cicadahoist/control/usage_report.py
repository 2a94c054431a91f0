"""Seals billing windows and reports them, under the usage lease."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.clock import Clock, wall_ms
from cicadahoist.control.entry_link import EntryLink
from cicadahoist.control.figure_calls import FigureCalls
from cicadahoist.control.usage_sources import UsageSources
from cicadahoist.errors import CicadahoistError
from cicadahoist.log import get_logger
from cicadahoist.mesh.usage_record import make_source_name
from cicadahoist.protocol.actions import OrderOutcome, StepDown
from cicadahoist.protocol.events import Tick
from cicadahoist.protocol.records import JournalEntry, LeaseRecord
from cicadahoist.protocol.usage_figures import Figure, SourceTotals
from cicadahoist.protocol.usage_window import UsageWindow, figure_name

logger = get_logger(__name__)

CHECK_MS = 1000
SEAL_DELAY_MS = 10_000
SEAL_LIMIT_MS = 120_000
FINAL_STATES = frozenset(('reported', 'refused'))


class UsageReporter:
    """
    Seals and reports one window after the other.

    A window is sealed ``SEAL_DELAY_MS`` after its end at the earliest, so
    that peers can store what a killed entry counted; then once every entry
    that may be running has closed it, but ``SEAL_LIMIT_MS`` after its end at
    the latest.  What comes later is an adjustment of the next window.

    :param sources: usage records in the store
    :param calls: calls for figures and reports
    :param link: tells which entries may be running
    :param clock: gives the time
    :param window_ms: length of a billing window
    :param read_wall_ms: gives the milliseconds since the epoch
    """

    __slots__ = (
        '_calls',
        '_checked_ms',
        '_clock',
        '_epoch',
        '_is_holder',
        '_link',
        '_previous',
        '_read_wall_ms',
        '_sources',
        '_window',
        '_window_ms',
        '_work',
    )

    def __init__(
        self,
        sources: UsageSources,
        calls: FigureCalls,
        link: EntryLink,
        clock: Clock,
        window_ms: int,
        read_wall_ms: Callable[[], int] = wall_ms,
    ) -> None:
        self._sources = sources
        self._calls = calls
        self._link = link
        self._clock = clock
        self._window_ms = window_ms
        self._read_wall_ms = read_wall_ms
        self._is_holder: Callable[[int], bool] = bool
        self._epoch = 0
        self._checked_ms = 0
        self._previous: Figure | None = None
        self._window: UsageWindow | None = None
        self._work: Deferred[None] | None = None

    def use_lease(self, is_holder: Callable[[int], bool]) -> None:
        """Set what tells whether the usage lease is held at a time."""
        self._is_holder = is_holder

    def won(self, record: LeaseRecord) -> None:
        """Begin with the last window that was sealed."""
        self._epoch = record.epoch
        self._window = None
        self._previous = None

    def lost(self) -> None:
        """Send nothing more."""
        if self._window is not None:
            self._window.handle(StepDown(self._epoch), 0)
        if self._work is not None:
            self._work.cancel()

    def tick(self, now_ms: int) -> None:
        """Look whether the next window can be sealed or reported."""
        if self._work is None and now_ms - self._checked_ms >= CHECK_MS:
            self._checked_ms = now_ms
            work = Deferred.fromCoroutine(self._advance())
            self._work = work
            work.addErrback(_log)
            work.addBoth(self._end_work)
            if work.called:
                self._work = None

    async def send(self, entry: JournalEntry) -> Any:
        """Do nothing: usage needs no orders."""

    async def read(self, target: str, token: str) -> Any:
        """Do nothing: usage needs no orders."""

    def settled(self, entry: JournalEntry, outcome: OrderOutcome) -> None:
        """Do nothing: usage needs no orders."""

    async def _advance(self) -> None:
        if self._window is None:
            await self._sources.refresh()
            self._window = await self._first_window()
        window = self._window
        wall = self._read_wall_ms()
        overdue_ms = wall - (window.window + 1) * self._window_ms
        if overdue_ms < SEAL_DELAY_MS:
            return
        await self._prepare(window, overdue_ms)
        await self._run(window, Tick())
        if window.state in FINAL_STATES:
            await self._sources.remove_before(window.window)
            self._previous = window.sealed_figure
            self._window = self._open(window.window + 1)

    async def _first_window(self) -> UsageWindow:
        sealed = await self._calls.last_sealed()
        if sealed is not None:
            # Its report may not have gone out; the same one goes out again.
            self._previous = await self._calls.read(sealed - 1)
            return self._open(sealed)
        first = self._sources.first_window()
        current = self._read_wall_ms() // self._window_ms
        return self._open(current if first is None else first)

    def _open(self, number: int) -> UsageWindow:
        name = figure_name(self._calls.shard, number)
        return UsageWindow(name, number, self._is_holder)

    async def _prepare(self, window: UsageWindow, overdue_ms: int) -> None:
        if window.state != 'open':
            return
        await self._sources.refresh()
        running = {
            make_source_name(entry.name, entry.incarnation)
            for entry in self._link.not_gone().values()
        }
        window.live_entries = running if overdue_ms < SEAL_LIMIT_MS else set()
        window.previous = self._previous
        window.totals = self._sources.totals()
        window.totals.extend(
            SourceTotals(source=source, window=window.window, closed=True)
            for source in self._sources.passed(running, window.window)
        )

    async def _run(self, window: UsageWindow, event: Any) -> None:
        # Each answer is taken in at its own time: the lease may have ended.
        for action in window.handle(event, self._clock.now_ms()):
            answer = await self._calls.run(action, self._epoch)
            if answer is not None:
                await self._run(window, answer)

    def _end_work(self, passed: Any) -> None:
        self._work = None


def _log(failure: Any) -> None:
    if failure.check(CicadahoistError, CancelledError):
        logger.debug('usage report: {0}', failure.getErrorMessage())
    else:
        logger.error('usage report: {0}', failure.getTraceback())
