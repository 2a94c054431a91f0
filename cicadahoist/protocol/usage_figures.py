"""Figures of billing windows, composed from the usage that entries counted."""

import msgspec

ADJUSTABLE_WINDOW_COUNT = 60


class UsageTotal(msgspec.Struct, frozen=True):
    """Usage of one workspace."""

    prompt_tokens: int = 0
    output_tokens: int = 0
    requests: int = 0

    def plus(self, other: 'UsageTotal') -> 'UsageTotal':
        """Return the sum of two totals."""
        return UsageTotal(
            self.prompt_tokens + other.prompt_tokens,
            self.output_tokens + other.output_tokens,
            self.requests + other.requests,
        )

    def minus(self, other: 'UsageTotal') -> 'UsageTotal':
        """Return the difference of two totals."""
        return UsageTotal(
            self.prompt_tokens - other.prompt_tokens,
            self.output_tokens - other.output_tokens,
            self.requests - other.requests,
        )


TotalsByWorkspace = dict[str, UsageTotal]


class SourceTotals(msgspec.Struct, frozen=True, kw_only=True):
    """
    Usage that one incarnation of an entry counted in one window.

    :param source: name and incarnation of the entry
    :param closed: whether the entry counts nothing more in the window
    """

    source: str
    window: int
    closed: bool = False
    by_workspace: TotalsByWorkspace = {}

    @property
    def key(self) -> str:
        """Key of these totals in a figure."""
        return f'{self.window}/{self.source}'


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """
    The sealed, immutable figure of one window and usage shard.

    :param by_workspace: usage counted in the window until it was sealed
    :param adjustments: usage of earlier windows that was counted after those
        windows were sealed
    :param counted: all totals that this and earlier figures include, by
        window and source, for the windows that may still be adjusted
    """

    window: int
    by_workspace: TotalsByWorkspace
    adjustments: TotalsByWorkspace = {}
    counted: dict[str, TotalsByWorkspace] = {}


def compose_figure(
    window: int, totals: list[SourceTotals], previous: Figure | None
) -> Figure:
    """
    Compose the figure of a window.

    :param totals: usage that all sources counted in this window and earlier
        ones; later windows are ignored
    :param previous: the last sealed figure, if any
    """
    counted = dict(previous.counted) if previous else {}
    by_workspace: TotalsByWorkspace = {}
    adjustments: TotalsByWorkspace = {}
    for source in totals:
        if source.window > window:
            continue
        sums = by_workspace if source.window == window else adjustments
        _add_uncounted(sums, source, counted.get(source.key, {}))
        counted[source.key] = source.by_workspace
    return Figure(
        window=window,
        by_workspace=by_workspace,
        adjustments=adjustments,
        counted=_select_adjustable(counted, window),
    )


def _add_uncounted(
    sums: TotalsByWorkspace, source: SourceTotals, counted: TotalsByWorkspace
) -> None:
    zero = UsageTotal()
    for workspace, total in source.by_workspace.items():
        added = total.minus(counted.get(workspace, zero))
        if added != zero:
            sums[workspace] = sums.get(workspace, zero).plus(added)


def _select_adjustable(
    counted: dict[str, TotalsByWorkspace], window: int
) -> dict[str, TotalsByWorkspace]:
    return {
        key: totals
        for key, totals in counted.items()
        if window - int(key.partition('/')[0]) < ADJUSTABLE_WINDOW_COUNT
    }
