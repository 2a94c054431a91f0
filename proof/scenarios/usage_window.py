"""Two processes seal and report billing windows that entries count in."""

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
LEASE = lease_name('usage', '0')
WINDOW_MS = 1000
LATE_SHARE = 0.3
LATE_MS = 2500
GONE_MS = 900
COUNT_SHARE = 0.5
QUIET_MS = 8000
TOTALS = 'usage/totals/'


class Intake(Service):
    """The platform's intake of usage reports."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self.by_window: dict[int, Figure] = {}
        self.accepted_ms: list[int] = []
        self._epoch = 0

    def report(self, figure: Figure, epoch: int) -> str:
        """Take a report; return ``accepted`` or ``refused``."""
        if epoch < self._epoch:
            self._world.violate(f'report of epoch {epoch} after {self._epoch}')
        self._epoch = max(self._epoch, epoch)
        known = self.by_window.setdefault(figure.window, figure)
        if known != figure:
            self._world.violate(f'window {figure.window} reported differently')
            return 'refused'
        self.accepted_ms.append(self._world.now_ms)
        return 'accepted'


class Counter(Node):
    """An entry that counts requests and writes its totals to the store."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario

    def boot(self) -> None:
        """Start with nothing counted."""
        self.first_window = self.world.now_ms // WINDOW_MS
        self.next_to_close = self.first_window
        self._tick(self.starts)

    def _tick(self, started: int) -> None:
        if started != self.starts or not self.alive:
            return
        if not self.frozen:
            self._count()
        self.world.later(TICK_MS, lambda: self._tick(started))

    def _count(self) -> None:
        random = self.world.random
        window = self.world.now_ms // WINDOW_MS
        store = self.scenario.store
        source = self.incarnation
        if self.scenario.counting and random.random() < COUNT_SHARE:
            if random.random() < LATE_SHARE:
                self.world.later(
                    LATE_MS, lambda: add_count(store, source, window)
                )
            else:
                self._flush(lambda: add_count(store, source, window))
        for passed in range(self.next_to_close, window):
            self._flush(
                lambda at=passed: close_window(store, source, at),
                self._on_closed,
            )

    def _on_closed(self, window: int) -> None:
        if window == self.next_to_close:
            self.next_to_close += 1

    def _flush(self, effect: Any, take: Any = lambda _: None) -> None:
        self.call(self.scenario.store, effect, take, lambda: None)


class Reporter(Node):
    """A control process that drives the real :class:`UsageWindow`."""

    def __init__(self, world: World, name: str, scenario: Any) -> None:
        super().__init__(world, name)
        self.scenario = scenario

    def boot(self) -> None:
        """Start with no window."""
        drawn = iter(range(1, 1_000_000))
        self.lease = LeaseKeeper(
            LEASE,
            self.incarnation,
            TIMING,
            draw_nonce=lambda: f'{self.incarnation}/{next(drawn)}',
        )
        self.window: UsageWindow | None = None
        self._loaded_ms = -1
        self._tick(self.starts)

    def offer_lease(self, event: Any) -> None:
        """Pass an event to the lease."""
        self.carry_out(self.lease.handle(event, self.world.now_ms))

    def offer(self, event: Any, window: UsageWindow) -> None:
        """Pass an event to a window, if it is still the current one."""
        if window is self.window:
            actions = window.handle(event, self.world.now_ms)
            self.carry_out([Bound(window, action) for action in actions])

    def execute(self, action: Any) -> None:
        """Carry out one action against the fakes."""
        if isinstance(action, Bound):
            self._execute_window(action.window, action.action)
        elif isinstance(action, ReadObject):
            self._store_call(
                lambda store: store.read(action.name),
                lambda answer: self.offer_lease(ObjectRead(*answer)),
                lambda: self.offer_lease(ReadFailed()),
            )
        elif isinstance(action, WriteObject):
            self._store_call(
                lambda store: store.write(
                    action.name, action.payload, action.expected
                ),
                lambda version: self._written(action.nonce, version),
                lambda: self.offer_lease(WriteUnknown(action.nonce)),
            )
        elif isinstance(action, ArmTimer):
            self.arm(action.deadline_ms)
        elif isinstance(action, StepDown):
            if self.window is not None:
                self.offer(action, self.window)
        elif isinstance(action, DisarmTimer):
            self.disarm()

    def _written(self, nonce: str, version: int) -> None:
        if version == CONFLICT:
            self.offer_lease(WriteConflict(nonce))
        else:
            self.offer_lease(WriteConfirmed(nonce, version))

    def _execute_window(self, window: UsageWindow, action: Any) -> None:
        if isinstance(action, CreateFigure):
            self._store_call(
                lambda store: store.write(action.name, action.payload, 0),
                lambda version: self._created(window, version),
                lambda: self.offer(CreateUnknown(), window),
            )
        elif isinstance(action, ReadFigure):
            self._store_call(
                lambda store: store.read(action.name)[1],
                lambda payload: self.offer(FigureRead(payload), window),
                lambda: None,
            )
        elif isinstance(action, ReportFigure):
            intake, epoch = self.scenario.intake, self.lease.record.epoch
            self.call(
                intake,
                lambda: intake.report(action.figure, epoch),
                lambda answer: self._reported(window, answer),
                lambda: self.offer(ReportUnknown(), window),
            )
        elif isinstance(action, RaiseAlarm):
            self.world.violate(f'alarm for window {action.window}')

    def _created(self, window: UsageWindow, version: int) -> None:
        exists = version == CONFLICT
        self.offer(FigureExists() if exists else FigureCreated(), window)

    def _reported(self, window: UsageWindow, answer: str) -> None:
        accepted = answer == 'accepted'
        self.offer(ReportAccepted() if accepted else ReportRefused(), window)

    def _store_call(self, effect: Any, take: Any, unknown: Any) -> None:
        store = self.scenario.store
        self.call(store, lambda: effect(store), take, unknown)

    def _tick(self, started: int) -> None:
        if started != self.starts or not self.alive:
            return
        if not self.frozen:
            self.offer_lease(Tick())
            self._load()
        self.world.later(TICK_MS, lambda: self._tick(started))

    def _load(self) -> None:
        """Read what the store holds, then tick the current window."""
        if self.lease.is_holder(self.world.now_ms):
            self._store_call(read_usage, self._take, lambda: None)

    def _take(self, usage: 'Usage') -> None:
        if usage.read_ms < self._loaded_ms:
            return
        self._loaded_ms = usage.read_ms
        window = self.window
        if window is None or window.state == 'reported':
            number = 0 if window is None else window.window + 1
            window = UsageWindow(
                figure_name(0, number),
                number,
                self.lease.is_holder,
                self.scenario.kit(self, USAGE_KIT),
            )
            self.window = window
        window.previous = usage.figures.get(window.window - 1)
        window.totals = usage.totals
        window.live_entries = self.scenario.live_sources(window.window)
        self.offer(Tick(), window)


class Bound:
    """An action together with the window that it belongs to."""

    def __init__(self, window: UsageWindow, action: Any) -> None:
        self.window = window
        self.action = action


class Usage:
    """What the store holds about usage at one moment."""

    def __init__(
        self,
        read_ms: int,
        totals: list[SourceTotals],
        figures: dict[int, Figure],
    ) -> None:
        self.read_ms = read_ms
        self.totals = totals
        self.figures = figures


def read_usage(store: FakeStore) -> Usage:
    """Read all totals and figures."""
    totals = [
        msgspec.json.decode(store.read(name)[1], type=SourceTotals)
        for name in store.names(TOTALS)
    ]
    figures = [
        decode_figure(store.read(name)[1])
        for name in store.names('usage/figures/')
    ]
    by_window = {figure.window: figure for figure in figures}
    return Usage(store.world.now_ms, totals, by_window)


def add_count(store: FakeStore, source: str, window: int) -> None:
    """Add one request to a source's totals."""
    totals = read_totals(store, source, window)
    before = totals.by_workspace.get('w', UsageTotal())
    after = before.plus(UsageTotal(10, 5, 1))
    write_totals(
        store, msgspec.structs.replace(totals, by_workspace={'w': after})
    )


def close_window(store: FakeStore, source: str, window: int) -> int:
    """Note that a source has passed the end of a window; return its number."""
    totals = read_totals(store, source, window)
    if not totals.closed:
        write_totals(store, msgspec.structs.replace(totals, closed=True))
    return window


def read_totals(store: FakeStore, source: str, window: int) -> SourceTotals:
    """Read a source's totals of a window."""
    _, payload = store.read(f'{TOTALS}{window}/{source}')
    if payload:
        return msgspec.json.decode(payload, type=SourceTotals)
    return SourceTotals(source=source, window=window)


def write_totals(store: FakeStore, totals: SourceTotals) -> None:
    """Write a source's totals of a window."""
    name = f'{TOTALS}{totals.window}/{totals.source}'
    version, _ = store.read(name)
    store.write(name, msgspec.json.encode(totals), version)


@SCENARIOS.register('usage_window')
class UsageScenario(Scenario):
    """Billing windows; checked at the platform's intake."""

    charts = ('usage_window',)
    timing = TIMING
    stimuli = ('all frozen', 'frozen until the end')
    unreachable = {
        'usage_window: reporting --report_refused--> refused': (
            'all processes report the one figure that the store holds'
        ),
    }
    cannot_occur = {
        'operators at once': 'operators do not act on billing windows',
        'target reclaimed': 'no target takes part',
    }

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.intake = Intake(self.world)
        self.counters = [
            Counter(self.world, name, self) for name in ('e1', 'e2')
        ]
        reporters = [Reporter(self.world, name, self) for name in ('c1', 'c2')]
        self.nodes = [*self.counters, *reporters]
        self.counting = True
        self._last_alive: dict[str, int] = {}
        self.world.later(0, self._observe)

    def live_sources(self, window: int) -> set[str]:
        """Return processes that may still count in a window."""
        return {
            node.incarnation
            for node in self.counters
            if node.first_window <= window
            and self.world.now_ms - self._last_alive.get(node.incarnation, 0)
            < GONE_MS
        }

    def victim(self, node: Node) -> Node:
        """Faults meet an entry under odd seeds, else who seals and reports."""
        return self.counters[0] if self.seed % 2 else node

    def stimulate(self, name: str, node: Node) -> None:
        """Bring about something that is no fault of the matrix."""
        STIMULI.get(name)(self, node)

    def check_progress(self, since_ms: int) -> None:
        """Reports must go on once all has healed."""
        if not any(at >= since_ms for at in self.intake.accepted_ms):
            self.world.violate(f'no report since {since_ms} ms')

    def check_end(self) -> None:
        """All that was counted must be reported, once counting has ended."""
        self.counting = False
        self.world.run(self.world.now_ms + QUIET_MS)
        reported = sum(
            total.requests
            for figure in self.intake.by_window.values()
            for part in (figure.by_workspace, figure.adjustments)
            for total in part.values()
        )
        counted = sum(
            totals.by_workspace.get('w', UsageTotal()).requests
            for totals in read_usage(self.store).totals
        )
        if reported != counted and not self.plan:
            self.world.violate(f'{reported} of {counted} requests reported')

    def _observe(self) -> None:
        for node in self.counters:
            if node.alive:
                self._last_alive[node.incarnation] = self.world.now_ms
        self.world.later(TICK_MS, self._observe)
