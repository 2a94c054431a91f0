"""Series of measurements, registered by name."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from statistics import median
from typing import Any

import msgspec

from bench.slopes.fit import Point
from cicadahoist.registry import Registry

REPEATS = 5
LEAST_RUN_NS = 20_000_000
NS_PER_US = 1000

INSTANCES = (3, 9, 15, 30, 60)
TARGETS = (10, 50, 200, 600, 1800)
WORKSPACES = (8, 90, 360, 1200, 2900)
REVISIONS = (1, 3, 10, 30, 60)


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """
    One measured quantity at several sizes.

    :param axis: what the size counts
    :param unit: unit of the values
    :param target: the size at the target, where the line is read off
    """

    name: str
    axis: str
    unit: str
    target: float
    points: list[Point]


SERIES: Registry[Callable[[], list[Series]]] = Registry('slope')


def measure(
    name: str,
    axis: str,
    unit: str,
    sizes: tuple[int, ...],
    value_at: Callable[[int], float],
    target: float | None = None,
) -> Series:
    """Measure a quantity at each size."""
    points = [Point(size, value_at(size)) for size in sizes]
    return Series(
        name=name,
        axis=axis,
        unit=unit,
        target=target or sizes[-1],
        points=points,
    )


def cpu_us(work: Callable[[], Any]) -> float:
    """Return the processor time of one call, the median of five runs."""
    calls = 1
    while _run_ns(work, calls) < LEAST_RUN_NS:
        calls *= 2
    return median(
        _run_ns(work, calls) / calls / NS_PER_US for _ in range(REPEATS)
    )


def heap_bytes(build: Callable[[], Any]) -> float:
    """Return the bytes that a built value holds."""
    gc.collect()
    tracemalloc.start()
    built = build()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return held


def _run_ns(work: Callable[[], Any], calls: int) -> int:
    gc.collect()
    started = time.process_time_ns()
    for _ in range(calls):
        work()
    return time.process_time_ns() - started
