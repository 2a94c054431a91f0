"""Costs of idle instances of one zone, run as separate processes."""

import json
import os
import time
import urllib.request
from pathlib import Path

import msgspec

from bench.deployment import ENTRY_SETTINGS
from bench.launch import Fleet, find_free_port
from bench.slopes.deployment import (
    GOAL_TARGETS,
    GOAL_WORKSPACES,
    encode_shards,
)
from bench.slopes.fit import Point
from bench.slopes.series import SERIES, Series
from cicadahoist.table import HEAD_NAME, Head

INSTANCES_PER_ZONE = (3, 6, 9, 15)
PROGRAMS = ('entry', 'control')
WINDOW_MS = 60_000
SETTLE_S = 8
MEASURE_S = 20
BYTES_PER_KIB = 1024
HTTP_TIMEOUT_S = 10
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class IdleCost:
    """
    Costs of idle instances.

    :param cpu_percent_by_program: mean processor time of a process, in
        percent of a core
    :param rss_bytes_by_program: largest resident memory of a process
    :param store_calls_per_s: store calls of all instances together
    """

    def __init__(
        self,
        cpu_percent_by_program: dict[str, float],
        rss_bytes_by_program: dict[str, float],
        store_calls_per_s: float,
    ) -> None:
        self.cpu_percent_by_program = cpu_percent_by_program
        self.rss_bytes_by_program = rss_bytes_by_program
        self.store_calls_per_s = store_calls_per_s


def put_object(store: str, name: str, payload: bytes) -> None:
    """Create an object in the store."""
    request = urllib.request.Request(
        f'{store}/objects/cicadahoist/{name}',
        payload,
        {'If-None-Match': '*'},
        method='PUT',
    )
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S):
        """The answer has no body of interest."""


def put_table(store: str, url: str) -> None:
    """Create the table at its goal size, with all targets at one URL."""
    shards = {}
    payloads = encode_shards(GOAL_WORKSPACES, GOAL_TARGETS, url)
    for number, payload in payloads.items():
        shards[number] = f'table/shards/{number}/first'
        put_object(store, shards[number], payload)
    head = Head(revision=1, shards=shards, commits=['first'])
    put_object(store, HEAD_NAME, msgspec.json.encode(head))


def count_store_calls(store: str) -> int:
    """Return the number of calls that the store stand-in has counted."""
    with urllib.request.urlopen(
        f'{store}/standin/seen', timeout=HTTP_TIMEOUT_S
    ) as seen:
        return sum(json.load(seen)['calls'].values())


def read_cpu_ticks(pid: int) -> int:
    """Return the processor time of a process in clock ticks."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return int(fields[11]) + int(fields[12])


def read_rss_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    status = Path(f'/proc/{pid}/status').read_text()
    return int(status.split('VmRSS:')[1].split()[0]) * BYTES_PER_KIB


def start_zone(fleet: Fleet, store: str, instance_count: int) -> None:
    """Start the instances of one zone and wait until they are ready."""
    platform = fleet.start_standin('platform', 'platform')
    mesh_ports = [find_free_port() for _ in range(instance_count)]
    seeds = ', '.join(f'127.0.0.1:{port}' for port in mesh_ports[:3])
    for number, mesh_port in enumerate(mesh_ports):
        port = find_free_port()
        settings = ENTRY_SETTINGS.format(
            name=f'i{number}',
            zone='zone-0',
            port=port,
            store=store,
            mesh_port=mesh_port,
            local_port=find_free_port(),
            seeds=seeds,
            platform=platform,
            window_ms=WINDOW_MS,
        )
        for program in PROGRAMS:
            fleet.start_daemon(f'{program}-{number}', program, settings)
        fleet.wait_for_url(f'entry-{number}', f'http://127.0.0.1:{port}/readyz')


def measure_idle_cost(instance_count: int) -> IdleCost:
    """Return the costs of idle instances with a table of the goal size."""
    with Fleet() as fleet:
        store = fleet.start_standin(
            'store', 'store', '--writes-per-s', '0', '--reads-per-s', '0'
        )
        put_table(store, fleet.start_standin('engine', 'engine'))
        start_zone(fleet, store, instance_count)
        pids_by_program = {
            program: [
                fleet.by_name[f'{program}-{number}'].pid
                for number in range(instance_count)
            ]
            for program in PROGRAMS
        }
        time.sleep(SETTLE_S)
        return measure_running(store, pids_by_program)


def measure_running(
    store: str, pids_by_program: dict[str, list[int]]
) -> IdleCost:
    """Measure running processes for ``MEASURE_S`` seconds."""
    ticks_before = sum_cpu_ticks(pids_by_program)
    call_count = count_store_calls(store)
    started_s = time.monotonic()
    time.sleep(MEASURE_S)
    elapsed_s = time.monotonic() - started_s
    ticks_after = sum_cpu_ticks(pids_by_program)
    call_count = count_store_calls(store) - call_count
    return IdleCost(
        {
            program: 100
            * (ticks_after[program] - ticks_before[program])
            / TICKS_PER_S
            / elapsed_s
            / len(pids)
            for program, pids in pids_by_program.items()
        },
        {
            program: max(map(read_rss_bytes, pids))
            for program, pids in pids_by_program.items()
        },
        call_count / elapsed_s,
    )


def sum_cpu_ticks(pids_by_program: dict[str, list[int]]) -> dict[str, int]:
    """Return the clock ticks that the processes of each program have used."""
    return {
        program: sum(map(read_cpu_ticks, pids))
        for program, pids in pids_by_program.items()
    }


@SERIES.register('instances')
def measure_instances() -> list[Series]:
    """Return processor time, memory and store calls of idle instances."""
    costs = [
        (number, measure_idle_cost(number)) for number in INSTANCES_PER_ZONE
    ]
    series = []
    for program in PROGRAMS:
        percent = [
            Point(number, cost.cpu_percent_by_program[program])
            for number, cost in costs
        ]
        rss = [
            Point(number, cost.rss_bytes_by_program[program])
            for number, cost in costs
        ]
        series.append(_build_series(f'idle {program}', '% of a core', percent))
        series.append(
            _build_series(f'memory of an idle {program}', 'bytes', rss)
        )
    call_rates = [
        Point(number, cost.store_calls_per_s) for number, cost in costs
    ]
    return [
        *series,
        _build_series('store calls of the zone', 'calls/s', call_rates),
    ]


def _build_series(name: str, unit: str, points: list[Point]) -> Series:
    return Series(
        name=name,
        axis='instances of the zone',
        unit=unit,
        goal_size=INSTANCES_PER_ZONE[-1],
        points=points,
    )
