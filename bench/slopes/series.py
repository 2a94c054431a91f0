"""Series of measurements, registered by group name."""

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
MIN_RUN_NS = 20_000_000
NS_PER_US = 1000

INSTANCE_COUNTS = (3, 9, 15, 30, 60)
TARGET_COUNTS = (10, 50, 200, 600, 1800)
WORKSPACE_COUNTS = (8, 90, 360, 1200, 2900)
REVISIONS_PER_MINUTE = (1, 3, 10, 30, 60)


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """
    One measured quantity at several sizes.

    :param axis: what the size counts
    :param unit: unit of the values
    :param goal_size: the size that the system aims at, for which the value is
        read off the line
    """

    name: str
    axis: str
    unit: str
    goal_size: float
    points: list[Point]


SERIES: Registry[Callable[[], list[Series]]] = Registry('slope')


def measure_series(
    name: str,
    axis: str,
    unit: str,
    sizes: tuple[int, ...],
    value_at: Callable[[int], float],
    goal_size: float | None = None,
) -> Series:
    """Measure a quantity at each size."""
    points = [Point(size, value_at(size)) for size in sizes]
    return Series(
        name=name,
        axis=axis,
        unit=unit,
        goal_size=goal_size or sizes[-1],
        points=points,
    )


def measure_cpu_us(work: Callable[[], Any]) -> float:
    """
    Return the processor time of one call: the median of several runs.

    The calls of a run are doubled until it lasts ``MIN_RUN_NS``, so that the
    resolution of the clock does not matter.
    """
    calls = 1
    while _measure_run_ns(work, calls) < MIN_RUN_NS:
        calls *= 2
    return median(
        _measure_run_ns(work, calls) / calls / NS_PER_US for _ in range(REPEATS)
    )


def measure_heap_bytes(build: Callable[[], Any]) -> float:
    """Return the heap bytes still allocated after a value is built."""
    gc.collect()
    tracemalloc.start()
    built = build()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return held_bytes


def _measure_run_ns(work: Callable[[], Any], calls: int) -> int:
    gc.collect()
    started_ns = time.process_time_ns()
    for _ in range(calls):
        work()
    return time.process_time_ns() - started_ns
