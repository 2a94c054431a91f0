"""Measures all slopes, or the groups named as arguments."""

import platform
import resource
import sys
from importlib import import_module

from bench.slopes.fit import fit
from bench.slopes.series import SERIES, Series

GROUPS = ('tables', 'messages', 'leases', 'policies')
KIB_PER_MIB = 1024


def main() -> None:
    for group in GROUPS:
        import_module(f'bench.slopes.{group}')
    print(f'Python {platform.python_version()}, one process, one thread')
    for name in sys.argv[1:] or SERIES.names():
        for series in SERIES.get(name)():
            report(series)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_PER_MIB
    print(f'peak memory of this run: {peak:.0f} MiB')


def report(series: Series) -> None:
    line = fit(series.points)
    print(f'\n{series.name} [{series.unit}] against {series.axis}')
    for point in series.points:
        print(f'  {point.size:>8g}  {point.value:>14.4g}')
    print(
        f'  slope {line.slope:.4g} +- {line.error:.2g} {series.unit} each, '
        f'at 0: {line.intercept:.4g}, '
        f'at {series.target:.4g}: {line.at(series.target):.4g}'
    )


if __name__ == '__main__':
    main()
