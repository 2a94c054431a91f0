"""
Measures all series, or those of the groups named as arguments.

``python -m bench.slopes [lease] [batches] ...`` prints each series with its
least-squares line, and all of them as a Markdown table.
"""

import platform
import resource
import sys
from importlib import import_module

from bench.slopes.fit import fit_line
from bench.slopes.series import SERIES, Series

GROUPS = (
    'tables',
    'messages',
    'leases',
    'policies',
    'instances',
    'load_reports',
)
KIB_PER_MIB = 1024


def main() -> None:
    for group in GROUPS:
        import_module(f'bench.slopes.{group}')
    measured: list[Series] = []
    print(f'Python {platform.python_version()}, one process, one thread')
    for name in sys.argv[1:] or SERIES.names():
        for series in SERIES.get(name)():
            print_series(series)
            measured.append(series)
    print_markdown(measured)
    peak_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_PER_MIB
    print(f'peak memory of this run: {peak_mib:.0f} MiB')


def print_series(series: Series) -> None:
    """Print the points of a series and its line."""
    line = fit_line(series.points)
    print(f'\n{series.name} [{series.unit}] against {series.axis}')
    for point in series.points:
        print(f'  {point.size:>8g}  {point.value:>14.4g}')
    print(
        f'  slope {line.slope:.4g} +- {line.slope_error:.2g} '
        f'{series.unit} each, '
        f'at 0: {line.intercept:.4g}, '
        f'at {series.goal_size:.4g}: {line.predict(series.goal_size):.4g}'
    )


def print_markdown(measured: list[Series]) -> None:
    """Print all series as rows of a Markdown table."""
    print('\n| quantity | against | points | slope | error | at the target |')
    print('|---|---|---|---|---|---|')
    for series in measured:
        line = fit_line(series.points)
        points = ', '.join(
            f'{point.size:g}: {point.value:.4g}' for point in series.points
        )
        print(
            f'| {series.name}, {series.unit} | {series.axis} | {points} '
            f'| {line.slope:.3g} | {line.slope_error:.2g} '
            f'| {series.goal_size:.4g}: '
            f'{line.predict(series.goal_size):.4g} |'
        )


if __name__ == '__main__':
    main()
