"""Billing windows: seal one figure per window, and report only that one."""

from collections.abc import Callable
from typing import Any

from cicadahoist.codec import Codec
from cicadahoist.protocol.machine import ChartCore, ChartKit, Guard, Output
from cicadahoist.protocol.usage_events import (
    CreateFigure,
    FigureRead,
    RaiseAlarm,
    ReadFigure,
    ReportFigure,
)
from cicadahoist.protocol.usage_figures import (
    Figure,
    SourceTotals,
    compose_figure,
)
from cicadahoist.registry import Registry

GUARDS: Registry[Guard] = Registry('guard of the usage window chart')
OUTPUTS: Registry[Output] = Registry('output of the usage window chart')

_codec: Codec[Figure] = Codec.stored('figure', Figure)
decode_figure = _codec.decode


class UsageWindow(ChartCore):
    """
    One billing window of one usage shard.

    The caller updates ``totals``, ``live_entries`` and ``previous`` from the
    store and the membership before it passes a tick.

    :param name: name of the figure's object, see :func:`figure_name`
    :param window: number of the window
    :param is_holder: returns whether this process holds the usage lease at a
        clock reading
    :param kit: chart and functions to run
    """

    __slots__ = (
        'draft',
        'live_entries',
        'sealed_figure',
        'is_holder',
        'name',
        'previous',
        'totals',
        'window',
    )

    def __init__(
        self,
        name: str,
        window: int,
        is_holder: Callable[[int], bool],
        kit: ChartKit | None = None,
    ) -> None:
        super().__init__(kit or USAGE_KIT)
        self.name = name
        self.window = window
        self.is_holder = is_holder
        self.live_entries: set[str] = set()
        self.totals: list[SourceTotals] = []
        self.previous: Figure | None = None
        self.draft: Figure | None = None
        self.sealed_figure: Figure | None = None

    @property
    def unclosed_entries(self) -> set[str]:
        """Live entries that may still count usage in the window."""
        closed = {
            source.source
            for source in self.totals
            if source.closed and source.window == self.window
        }
        return self.live_entries - closed


def figure_name(shard: int, window: int) -> str:
    """Return the name of the object that stores a sealed figure."""
    return f'usage/figures/{shard}/{window}'


@GUARDS.register('entries_closed')
def _entries_closed(window: UsageWindow, event: Any, now_ms: int) -> bool:
    return not window.unclosed_entries


@GUARDS.register('figure_absent')
def _figure_absent(window: UsageWindow, event: FigureRead, now_ms: int) -> bool:
    return not event.payload


@GUARDS.register('may_report')
def _may_report(window: UsageWindow, event: Any, now_ms: int) -> bool:
    return window.is_holder(now_ms)


@OUTPUTS.register('create_figure')
def _create_figure(window: UsageWindow, event: Any, now_ms: int) -> None:
    window.draft = compose_figure(window.window, window.totals, window.previous)
    payload = _codec.encode(window.draft)
    window.actions.append(CreateFigure(window.name, payload))


@OUTPUTS.register('read_figure')
def _read_figure(window: UsageWindow, event: Any, now_ms: int) -> None:
    window.actions.append(ReadFigure(window.name))


@OUTPUTS.register('note_figure')
def _note_figure(window: UsageWindow, event: Any, now_ms: int) -> None:
    window.sealed_figure = window.draft
    if isinstance(event, FigureRead):
        window.sealed_figure = decode_figure(event.payload)


@OUTPUTS.register('report')
def _report(window: UsageWindow, event: Any, now_ms: int) -> None:
    assert window.sealed_figure is not None  # noqa: S101
    window.actions.append(ReportFigure(window.sealed_figure))


@OUTPUTS.register('raise_alarm')
def _raise_alarm(window: UsageWindow, event: Any, now_ms: int) -> None:
    window.actions.append(RaiseAlarm(window.window))


USAGE_KIT = ChartKit.load('usage_window', GUARDS, OUTPUTS)
