"""Two control processes seal and report the usage that entries count."""

from typing import Any

import msgspec

from cicadahoist.protocol.actions import (
    ArmTimer,
    DisarmTimer,
    ReadObject,
    StepDown,
    WriteObject,
)
from cicadahoist.protocol.events import (
    ObjectRead,
    ReadFailed,
    Tick,
    WriteConfirmed,
    WriteConflict,
    WriteUnknown,
)
from cicadahoist.protocol.lease import LeaseKeeper
from cicadahoist.protocol.records import lease_name
from cicadahoist.protocol.timing import LeaseTiming
from cicadahoist.protocol.usage_events import (
    CreateFigure,
    CreateUnknown,
    FigureCreated,
    FigureExists,
    FigureRead,
    RaiseAlarm,
    ReadFigure,
    ReportAccepted,
    ReportFigure,
    ReportRefused,
    ReportUnknown,
)
from cicadahoist.protocol.usage_figures import (
    Figure,
    SourceTotals,
    UsageTotal,
)
from cicadahoist.protocol.usage_window import (
    USAGE_KIT,
    UsageWindow,
    decode_figure,
    figure_name,
)
from proof.scenario import SCENARIOS, TICK_MS, Scenario
from proof.stimuli import STIMULI
from proof.store import CONFLICT, FakeStore
from proof.world import Node, Service, World

TIMING = LeaseTiming(term_ms=1500, margin_ms=150, order_bound_ms=500)
LEASE_NAME = lease_name('usage', '0')
WINDOW_MS = 1000
LATE_SHARE = 0.3
LATE_DELAY_MS = 2500
GONE_AFTER_MS = 900
COUNT_SHARE = 0.5
FINAL_REPORT_MS = 8000
TOTALS_PREFIX = 'usage/totals/'


class Intake(Service):
    """The platform's service that receives usage reports."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self.figure_by_window: dict[int, Figure] = {}
        self.accepted_times_ms: list[int] = []
        self._highest_epoch = 0

    def receive_report(self, figure: Figure, epoch: int) -> str:
        """
        Receive a report.

        :return: ``accepted``, or ``refused`` if it differs from an earlier one
        """
        if epoch < self._highest_epoch:
            self._world.record_violation(
                f'report of epoch {epoch} after {self._highest_epoch}'
            )
        self._highest_epoch = max(self._highest_epoch, epoch)
        first_figure = self.figure_by_window.setdefault(figure.window, figure)
        if first_figure != figure:
            self._world.record_violation(
                f'window {figure.window} reported differently'
            )
            return 'refused'
        self.accepted_times_ms.append(self._world.now_ms)
        return 'accepted'


class CountingEntry(Node):
    """An entry that counts requests and writes its totals to the store."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario

    def boot(self) -> None:
        """Start without counts."""
        self.first_window = self.world.now_ms // WINDOW_MS
        self.next_window_to_close = self.first_window
        self._tick(self.start_count)

    def _tick(self, start_number: int) -> None:
        if start_number != self.start_count or not self.is_alive:
            return
        if not self.is_frozen:
            self._count()
        self.world.schedule(TICK_MS, lambda: self._tick(start_number))

    def _count(self) -> None:
        random = self.world.random
        window = self.world.now_ms // WINDOW_MS
        store = self.scenario.store
        source = self.incarnation
        if self.scenario.is_counting and random.random() < COUNT_SHARE:
            if random.random() < LATE_SHARE:
                self.world.schedule(
                    LATE_DELAY_MS, lambda: add_count(store, source, window)
                )
            else:
                self._update_totals(lambda: add_count(store, source, window))
        for ended_window in range(self.next_window_to_close, window):
            self._update_totals(
                lambda closed=ended_window: close_window(store, source, closed),
                self._on_closed,
            )

    def _on_closed(self, window: int) -> None:
        if window == self.next_window_to_close:
            self.next_window_to_close += 1

    def _update_totals(
        self, effect: Any, on_answer: Any = lambda _: None
    ) -> None:
        self.call(self.scenario.store, effect, on_answer, lambda: None)


class Reporter(Node):
    """A control process that drives the real :class:`UsageWindow`."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario

    def boot(self) -> None:
        """Start without a window."""
        nonce_numbers = iter(range(1, 1_000_000))
        self.lease = LeaseKeeper(
            LEASE_NAME,
            self.incarnation,
            TIMING,
            draw_nonce=lambda: f'{self.incarnation}/{next(nonce_numbers)}',
        )
        self.window: UsageWindow | None = None
        self._last_read_ms = -1
        self._tick(self.start_count)

    def dispatch_to_lease(self, event: Any) -> None:
        """Pass an event to the lease and execute its actions."""
        self.execute_all(self.lease.handle(event, self.world.now_ms))

    def dispatch(self, event: Any, window: UsageWindow) -> None:
        """Pass an event to a window if that is still the current one."""
        if window is self.window:
            actions = window.handle(event, self.world.now_ms)
            self.execute_all(
                [WindowAction(window, action) for action in actions]
            )

    def execute(self, action: Any) -> None:
        """Execute one action against the fakes."""
        if isinstance(action, WindowAction):
            self._execute_window_action(action.window, action.action)
        elif isinstance(action, ReadObject):
            self._store_call(
                lambda store: store.read(action.name),
                lambda answer: self.dispatch_to_lease(ObjectRead(*answer)),
                lambda: self.dispatch_to_lease(ReadFailed()),
            )
        elif isinstance(action, WriteObject):
            self._store_call(
                lambda store: store.write(
                    action.name, action.payload, action.expected
                ),
                lambda version: self._on_lease_written(action.nonce, version),
                lambda: self.dispatch_to_lease(WriteUnknown(action.nonce)),
            )
        elif isinstance(action, ArmTimer):
            self.arm_kernel_timer(action.deadline_ms)
        elif isinstance(action, StepDown):
            if self.window is not None:
                self.dispatch(action, self.window)
        elif isinstance(action, DisarmTimer):
            self.disarm_kernel_timer()

    def _on_lease_written(self, nonce: str, version: int) -> None:
        if version == CONFLICT:
            self.dispatch_to_lease(WriteConflict(nonce))
        else:
            self.dispatch_to_lease(WriteConfirmed(nonce, version))

    def _execute_window_action(self, window: UsageWindow, action: Any) -> None:
        if isinstance(action, CreateFigure):
            self._store_call(
                lambda store: store.write(action.name, action.payload, 0),
                lambda version: self._on_figure_created(window, version),
                lambda: self.dispatch(CreateUnknown(), window),
            )
        elif isinstance(action, ReadFigure):
            self._store_call(
                lambda store: store.read(action.name)[1],
                lambda payload: self.dispatch(FigureRead(payload), window),
                lambda: None,
            )
        elif isinstance(action, ReportFigure):
            intake, epoch = self.scenario.intake, self.lease.record.epoch
            self.call(
                intake,
                lambda: intake.receive_report(action.figure, epoch),
                lambda answer: self._on_reported(window, answer),
                lambda: self.dispatch(ReportUnknown(), window),
            )
        elif isinstance(action, RaiseAlarm):
            self.world.record_violation(f'alarm for window {action.window}')

    def _on_figure_created(self, window: UsageWindow, version: int) -> None:
        is_existing = version == CONFLICT
        self.dispatch(
            FigureExists() if is_existing else FigureCreated(), window
        )

    def _on_reported(self, window: UsageWindow, answer: str) -> None:
        is_accepted = answer == 'accepted'
        self.dispatch(
            ReportAccepted() if is_accepted else ReportRefused(), window
        )

    def _store_call(self, effect: Any, on_answer: Any, on_unknown: Any) -> None:
        store = self.scenario.store
        self.call(store, lambda: effect(store), on_answer, on_unknown)

    def _tick(self, start_number: int) -> None:
        if start_number != self.start_count or not self.is_alive:
            return
        if not self.is_frozen:
            self.dispatch_to_lease(Tick())
            self._load_usage()
        self.world.schedule(TICK_MS, lambda: self._tick(start_number))

    def _load_usage(self) -> None:
        """Read the usage in the store, then tick the current window."""
        if self.lease.is_holder(self.world.now_ms):
            self._store_call(read_usage, self._apply_usage, lambda: None)

    def _apply_usage(self, usage: 'StoredUsage') -> None:
        if usage.read_ms < self._last_read_ms:
            return
        self._last_read_ms = usage.read_ms
        window = self.window
        if window is None or window.state == 'reported':
            number = 0 if window is None else window.window + 1
            window = UsageWindow(
                figure_name(0, number),
                number,
                self.lease.is_holder,
                self.scenario.bind_kit(self, USAGE_KIT),
            )
            self.window = window
        window.previous = usage.figure_by_window.get(window.window - 1)
        window.totals = usage.totals
        window.live_entries = self.scenario.find_live_sources(window.window)
        self.dispatch(Tick(), window)


class WindowAction:
    """An action together with the window that it belongs to."""

    def __init__(self, window: UsageWindow, action: Any) -> None:
        self.window = window
        self.action = action


class StoredUsage:
    """Totals and figures in the store at one time."""

    def __init__(
        self,
        read_ms: int,
        totals: list[SourceTotals],
        figure_by_window: dict[int, Figure],
    ) -> None:
        self.read_ms = read_ms
        self.totals = totals
        self.figure_by_window = figure_by_window


def read_usage(store: FakeStore) -> StoredUsage:
    """Read all totals and figures."""
    totals = [
        msgspec.json.decode(store.read(name)[1], type=SourceTotals)
        for name in store.list_names(TOTALS_PREFIX)
    ]
    figures = [
        decode_figure(store.read(name)[1])
        for name in store.list_names('usage/figures/')
    ]
    figure_by_window = {figure.window: figure for figure in figures}
    return StoredUsage(store.world.now_ms, totals, figure_by_window)


def add_count(store: FakeStore, source: str, window: int) -> None:
    """Add one request to a source's totals."""
    totals = read_totals(store, source, window)
    old_total = totals.by_workspace.get('w', UsageTotal())
    new_total = old_total.plus(UsageTotal(10, 5, 1))
    write_totals(
        store, msgspec.structs.replace(totals, by_workspace={'w': new_total})
    )


def close_window(store: FakeStore, source: str, window: int) -> int:
    """
    Record that a source has passed the end of a window.

    :return: number of the window
    """
    totals = read_totals(store, source, window)
    if not totals.closed:
        write_totals(store, msgspec.structs.replace(totals, closed=True))
    return window


def read_totals(store: FakeStore, source: str, window: int) -> SourceTotals:
    """Read a source's totals of a window."""
    _, payload = store.read(f'{TOTALS_PREFIX}{window}/{source}')
    if payload:
        return msgspec.json.decode(payload, type=SourceTotals)
    return SourceTotals(source=source, window=window)


def write_totals(store: FakeStore, totals: SourceTotals) -> None:
    """Write a source's totals of a window."""
    name = f'{TOTALS_PREFIX}{totals.window}/{totals.source}'
    version, _ = store.read(name)
    store.write(name, msgspec.json.encode(totals), version)


@SCENARIOS.register('usage_window')
class UsageScenario(Scenario):
    """Billing windows, checked at the platform's intake of reports."""

    chart_names = ('usage_window',)
    timing = TIMING
    stimuli = ('all frozen', 'frozen until the end')
    reason_by_unreachable_step = {
        'usage_window: reporting --report_refused--> refused': (
            'all processes report the one figure that the store holds'
        ),
    }
    reason_by_impossible_fault = {
        'operators at once': 'operators do not act on billing windows',
        'target reclaimed': 'no target takes part',
    }

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.intake = Intake(self.world)
        self.counting_entries = [
            CountingEntry(self.world, name, self) for name in ('e1', 'e2')
        ]
        reporters = [Reporter(self.world, name, self) for name in ('c1', 'c2')]
        self.nodes = [*self.counting_entries, *reporters]
        self.is_counting = True
        self._last_alive_ms_by_incarnation: dict[str, int] = {}
        self.world.schedule(0, self._record_alive_entries)

    def find_live_sources(self, window: int) -> set[str]:
        """Return the incarnations that may still count in a window."""
        return {
            node.incarnation
            for node in self.counting_entries
            if node.first_window <= window
            and self.world.now_ms
            - self._last_alive_ms_by_incarnation.get(node.incarnation, 0)
            < GONE_AFTER_MS
        }

    def choose_victim(self, node: Node) -> Node:
        """Return an entry for odd seeds, otherwise the given process."""
        return self.counting_entries[0] if self.seed % 2 else node

    def stimulate(self, name: str, node: Node) -> None:
        """Bring about an event that is no fault of the matrix."""
        STIMULI.get(name)(self, node)

    def check_progress(self, since_ms: int) -> None:
        """Check that reports are accepted after the faults healed."""
        if not any(
            time_ms >= since_ms for time_ms in self.intake.accepted_times_ms
        ):
            self.world.record_violation(f'no report since {since_ms} ms')

    def check_end(self) -> None:
        """Check that all counted requests are reported after counting ended."""
        self.is_counting = False
        self.world.run_until(self.world.now_ms + FINAL_REPORT_MS)
        reported_count = sum(
            total.requests
            for figure in self.intake.figure_by_window.values()
            for part in (figure.by_workspace, figure.adjustments)
            for total in part.values()
        )
        counted_count = sum(
            totals.by_workspace.get('w', UsageTotal()).requests
            for totals in read_usage(self.store).totals
        )
        if reported_count != counted_count and not self.plan:
            self.world.record_violation(
                f'{reported_count} of {counted_count} requests reported'
            )

    def _record_alive_entries(self) -> None:
        for node in self.counting_entries:
            if node.is_alive:
                self._last_alive_ms_by_incarnation[node.incarnation] = (
                    self.world.now_ms
                )
        self.world.schedule(TICK_MS, self._record_alive_entries)
