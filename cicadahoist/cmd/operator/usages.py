"""Command that shows usage by billing window and workspace."""

from collections.abc import Iterable
from typing import Annotated

import msgspec
import typer

from cicadahoist.clock import MS_PER_S
from cicadahoist.cmd.operator.session import Session
from cicadahoist.cmd.operator.times import format_utc
from cicadahoist.mesh.usage_record import decode_record
from cicadahoist.protocol.usage_figures import TotalsByWorkspace, UsageTotal
from cicadahoist.protocol.usage_window import decode_figure
from cicadahoist.settings import USAGE_WINDOW

USAGE_PREFIX = 'usage/'
FIGURES_FOLDER = 'figures'
DEFAULT_WINDOW_COUNT = 10

COUNTING = 'counting'
SEALED = 'sealed'
ADJUSTMENT = 'adjustment'


class UsageRow(msgspec.Struct, frozen=True, kw_only=True):
    """
    Usage of one workspace in one window.

    :param begins: start of the window, UTC
    :param state: ``counting`` until the figure of the window is sealed, then
        ``sealed``; ``adjustment`` for usage of earlier windows that was
        counted after those were sealed
    """

    window: int
    begins: str
    workspace: str
    state: str
    prompt_tokens: int
    output_tokens: int
    requests: int


class UsageObjectNames:
    """
    Names of the usage objects in the store, by window.

    :param names: names of all objects with the prefix ``usage/``
    """

    __slots__ = ('figure_names_by_window', 'record_names_by_window')

    def __init__(self, names: Iterable[str]) -> None:
        self.figure_names_by_window: dict[int, list[str]] = {}
        self.record_names_by_window: dict[int, list[str]] = {}
        for name in names:
            kind, _, rest = name.removeprefix(USAGE_PREFIX).partition('/')
            if kind == FIGURES_FOLDER:
                window = int(rest.rpartition('/')[2])
                self.figure_names_by_window.setdefault(window, []).append(name)
            else:
                self.record_names_by_window.setdefault(int(kind), []).append(
                    name
                )

    def list_latest_windows(self, count: int) -> list[int]:
        """Return the numbers of the latest windows, newest first."""
        windows = {*self.figure_names_by_window, *self.record_names_by_window}
        return sorted(windows, reverse=True)[:count]


class UsageLag(msgspec.Struct, frozen=True, kw_only=True):
    """
    Lag of billing.

    :param sealed_until: end of the newest sealed window, UTC; empty if none
    :param waiting: number of windows with usage that have ended but are not
        sealed yet
    :param oldest_waiting_s: seconds since the end of the oldest of these
    """

    sealed_until: str
    waiting: int
    oldest_waiting_s: int

    @classmethod
    def from_names(
        cls, names: UsageObjectNames, window_ms: int, now_ms: int
    ) -> 'UsageLag':
        """Compute the lag from the names of the usage objects."""
        newest = max(names.figure_names_by_window, default=None)
        waiting = [
            window
            for window in names.record_names_by_window
            if window not in names.figure_names_by_window
            and (window + 1) * window_ms <= now_ms
        ]
        oldest_ms = (min(waiting) + 1) * window_ms if waiting else now_ms
        return cls(
            sealed_until=(
                '' if newest is None else format_utc((newest + 1) * window_ms)
            ),
            waiting=len(waiting),
            oldest_waiting_s=(now_ms - oldest_ms) // MS_PER_S,
        )


async def read_usage_names(session: Session) -> UsageObjectNames:
    """Read the names of all usage objects from the store."""
    return UsageObjectNames(await session.store.list_versions(USAGE_PREFIX))


async def show_usage(
    session: Session,
    windows: Annotated[
        int, typer.Option(min=1, help='Number of windows, newest first.')
    ] = DEFAULT_WINDOW_COUNT,
    workspace: Annotated[
        str | None, typer.Option(help='Only this workspace.')
    ] = None,
) -> None:
    """Show usage by window and workspace."""
    names = await read_usage_names(session)
    rows: list[UsageRow] = []
    for window in names.list_latest_windows(windows):
        rows.extend(await _read_window_rows(session, names, window))
    session.show([row for row in rows if workspace in {None, row.workspace}])


async def _read_window_rows(
    session: Session, names: UsageObjectNames, window: int
) -> list[UsageRow]:
    figures = names.figure_names_by_window.get(window)
    if figures:
        return await _read_sealed_rows(session, figures, window)
    totals: TotalsByWorkspace = {}
    for name in names.record_names_by_window.get(window, []):
        stored = await session.store.read(name)
        if stored is not None:
            record = decode_record(stored.payload)
            _add_totals(totals, record.totals.by_workspace)
    return _build_rows(session, window, COUNTING, totals)


async def _read_sealed_rows(
    session: Session, names: list[str], window: int
) -> list[UsageRow]:
    sealed: TotalsByWorkspace = {}
    adjustments: TotalsByWorkspace = {}
    for name in names:
        stored = await session.store.read(name)
        if stored is not None:
            figure = decode_figure(stored.payload)
            _add_totals(sealed, figure.by_workspace)
            _add_totals(adjustments, figure.adjustments)
    return [
        *_build_rows(session, window, SEALED, sealed),
        *_build_rows(session, window, ADJUSTMENT, adjustments),
    ]


def _add_totals(totals: TotalsByWorkspace, added: TotalsByWorkspace) -> None:
    for workspace, total in added.items():
        totals[workspace] = totals.get(workspace, UsageTotal()).plus(total)


def _build_rows(
    session: Session, window: int, state: str, totals: TotalsByWorkspace
) -> list[UsageRow]:
    begins = format_utc(window * session.config.read(USAGE_WINDOW))
    return [
        UsageRow(
            window=window,
            begins=begins,
            workspace=workspace,
            state=state,
            prompt_tokens=total.prompt_tokens,
            output_tokens=total.output_tokens,
            requests=total.requests,
        )
        for workspace, total in sorted(totals.items())
    ]
