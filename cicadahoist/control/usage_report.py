"""Seals and reports billing windows while holding the usage lease."""

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
SEAL_TIMEOUT_MS = 120_000
FINAL_STATES = frozenset(('reported', 'refused'))


class UsageReporter:
    """
    Seals and reports billing windows in order.

    A window is sealed no earlier than ``SEAL_DELAY_MS`` after its end, so that
    peers can store the counts of a killed entry. From then on it is sealed
    once every entry that may be running has closed it, and no later than
    ``SEAL_TIMEOUT_MS`` after its end. Later counts become an adjustment of the
    next window.

    :param sources: usage records in the store
    :param calls: stores and reports figures
    :param link: lists the entries that may be running
    :param clock: clock of the process
    :param window_ms: duration of a billing window
    :param read_wall_ms: reads the wall clock, in ms since the Unix epoch
    """

    __slots__ = (
        '_calls',
        '_clock',
        '_epoch',
        '_is_holder',
        '_last_check_ms',
        '_link',
        '_previous_figure',
        '_read_wall_ms',
        '_running_check',
        '_sources',
        '_window',
        '_window_ms',
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
        self._last_check_ms = 0
        self._previous_figure: Figure | None = None
        self._window: UsageWindow | None = None
        self._running_check: Deferred[None] | None = None

    def set_lease_check(self, is_holder: Callable[[int], bool]) -> None:
        """Set the function that checks the usage lease at a clock reading."""
        self._is_holder = is_holder

    def begin_term(self, record: LeaseRecord) -> None:
        """Start again from the last sealed window."""
        self._epoch = record.epoch
        self._window = None
        self._previous_figure = None

    def end_term(self) -> None:
        """Stop sending reports."""
        if self._window is not None:
            self._window.handle(StepDown(self._epoch), 0)
        if self._running_check is not None:
            self._running_check.cancel()

    def tick(self, now_ms: int) -> None:
        """Check whether the next window can be sealed or reported."""
        if (
            self._running_check is None
            and now_ms - self._last_check_ms >= CHECK_MS
        ):
            self._last_check_ms = now_ms
            work = Deferred.fromCoroutine(self._advance())
            self._running_check = work
            work.addErrback(_log_failure)
            work.addBoth(self._end_check)
            if work.called:
                self._running_check = None

    async def send(self, entry: JournalEntry) -> Any:
        """Do nothing, as usage reports are not journalled orders."""

    async def read(self, target: str, token: str) -> Any:
        """Do nothing, as usage reports are not journalled orders."""

    def handle_outcome(
        self, entry: JournalEntry, outcome: OrderOutcome
    ) -> None:
        """Do nothing, as usage reports are not journalled orders."""

    async def _advance(self) -> None:
        if self._window is None:
            await self._sources.refresh()
            self._window = await self._find_first_window()
        window = self._window
        wall_now_ms = self._read_wall_ms()
        elapsed_ms = wall_now_ms - (window.window + 1) * self._window_ms
        if elapsed_ms < SEAL_DELAY_MS:
            return
        await self._collect_totals(window, elapsed_ms)
        await self._run(window, Tick())
        if window.state in FINAL_STATES:
            await self._sources.remove_before(window.window)
            self._previous_figure = window.sealed_figure
            self._window = self._open_window(window.window + 1)

    async def _find_first_window(self) -> UsageWindow:
        sealed = await self._calls.find_last_sealed()
        if sealed is not None:
            # Its report may not have been sent, so it is sent again unchanged.
            self._previous_figure = await self._calls.read(sealed - 1)
            return self._open_window(sealed)
        first = self._sources.find_first_window()
        current = self._read_wall_ms() // self._window_ms
        return self._open_window(current if first is None else first)

    def _open_window(self, number: int) -> UsageWindow:
        name = figure_name(self._calls.shard, number)
        return UsageWindow(name, number, self._is_holder)

    async def _collect_totals(
        self, window: UsageWindow, elapsed_ms: int
    ) -> None:
        if window.state != 'open':
            return
        await self._sources.refresh()
        running = {
            make_source_name(entry.name, entry.incarnation)
            for entry in self._link.list_not_gone().values()
        }
        window.live_entries = running if elapsed_ms < SEAL_TIMEOUT_MS else set()
        window.previous = self._previous_figure
        window.totals = self._sources.list_totals()
        window.totals.extend(
            SourceTotals(source=source, window=window.window, closed=True)
            for source in self._sources.list_passed(running, window.window)
        )

    async def _run(self, window: UsageWindow, event: Any) -> None:
        # Each result is handled at the current time, as the lease may have
        # ended during the call.
        for action in window.handle(event, self._clock.now_ms()):
            answer = await self._calls.run(action, self._epoch)
            if answer is not None:
                await self._run(window, answer)

    def _end_check(self, result: Any) -> None:
        self._running_check = None


def _log_failure(failure: Any) -> None:
    if failure.check(CicadahoistError, CancelledError):
        logger.debug('usage report interrupted: {0}', failure.getErrorMessage())
    else:
        logger.error(
            'usage report failed with an unexpected error: {0}',
            failure.getTraceback(),
        )
