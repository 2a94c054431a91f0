"""What idle instances of one zone cost, as separate processes."""

import json
import os
import time
import urllib.request
from pathlib import Path

import msgspec

from bench.deployment import ENTRY_SETTINGS
from bench.launch import Fleet, free_port
from bench.slopes.deployment import (
    TARGET_TARGETS,
    TARGET_WORKSPACES,
    payloads_for,
)
from bench.slopes.fit import Point
from bench.slopes.series import SERIES, Series
from cicadahoist.table import HEAD_NAME, Head

INSTANCES_OF_A_ZONE = (3, 6, 9, 15)
PROGRAMS = ('entry', 'control')
WINDOW_MS = 60_000
SETTLE_S = 8
MEASURED_S = 20
KIB = 1024
HTTP_TIMEOUT_S = 10
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class IdleCost:
    """
    What an instance costs on average, and what all ask of the store.

    :param percent_by_program: processor time, in percent of a core
    :param rss_by_program: largest resident memory, in bytes
    :param calls_s: calls of the store a second
    """

    def __init__(
        self,
        percent_by_program: dict[str, float],
        rss_by_program: dict[str, float],
        calls_s: float,
    ) -> None:
        self.percent_by_program = percent_by_program
        self.rss_by_program = rss_by_program
        self.calls_s = calls_s


def put_object(store: str, name: str, payload: bytes) -> None:
    """Create an object in the store."""
    request = urllib.request.Request(
        f'{store}/objects/cicadahoist/{name}',
        payload,
        {'If-None-Match': '*'},
        method='PUT',
    )
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S):
        """Nothing to read."""


def put_table(store: str, url: str) -> None:
    """Create the table of the target size, all targets at one address."""
    shards = {}
    payloads = payloads_for(TARGET_WORKSPACES, TARGET_TARGETS, url)
    for number, payload in payloads.items():
        shards[number] = f'table/shards/{number}/first'
        put_object(store, shards[number], payload)
    head = Head(revision=1, shards=shards, commits=['first'])
    put_object(store, HEAD_NAME, msgspec.json.encode(head))


def store_calls(store: str) -> int:
    """Return the number of calls that the store has counted."""
    with urllib.request.urlopen(
        f'{store}/standin/seen', timeout=HTTP_TIMEOUT_S
    ) as seen:
        return sum(json.load(seen)['calls'].values())


def cpu_ticks(pid: int) -> int:
    """Return the processor time that a process has used, in ticks."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return int(fields[11]) + int(fields[12])


def rss_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    status = Path(f'/proc/{pid}/status').read_text()
    return int(status.split('VmRSS:')[1].split()[0]) * KIB


def start_zone(fleet: Fleet, store: str, instances: int) -> None:
    """Start the instances of one zone and wait until they are ready."""
    platform = fleet.standin('platform', 'platform')
    mesh_ports = [free_port() for _ in range(instances)]
    seeds = ', '.join(f'127.0.0.1:{port}' for port in mesh_ports[:3])
    for number, mesh_port in enumerate(mesh_ports):
        port = free_port()
        settings = ENTRY_SETTINGS.format(
            name=f'i{number}',
            zone='zone-0',
            port=port,
            store=store,
            mesh_port=mesh_port,
            local_port=free_port(),
            seeds=seeds,
            platform=platform,
            window_ms=WINDOW_MS,
        )
        for program in PROGRAMS:
            fleet.daemon(f'{program}-{number}', program, settings)
        fleet.wait_for_url(f'entry-{number}', f'http://127.0.0.1:{port}/readyz')


def idle_cost(instances: int) -> IdleCost:
    """Return what idle instances cost at the target's table size."""
    with Fleet() as fleet:
        store = fleet.standin(
            'store', 'store', '--writes-per-s', '0', '--reads-per-s', '0'
        )
        put_table(store, fleet.standin('engine', 'engine'))
        start_zone(fleet, store, instances)
        pids_by_program = {
            program: [
                fleet.by_name[f'{program}-{number}'].pid
                for number in range(instances)
            ]
            for program in PROGRAMS
        }
        time.sleep(SETTLE_S)
        return measured(store, pids_by_program)


def measured(store: str, pids_by_program: dict[str, list[int]]) -> IdleCost:
    """Measure running processes for a while."""
    ticks_before = ticks_of(pids_by_program)
    calls = store_calls(store)
    started = time.monotonic()
    time.sleep(MEASURED_S)
    passed_s = time.monotonic() - started
    ticks_after = ticks_of(pids_by_program)
    calls = store_calls(store) - calls
    return IdleCost(
        {
            program: 100
            * (ticks_after[program] - ticks_before[program])
            / TICKS_PER_S
            / passed_s
            / len(pids)
            for program, pids in pids_by_program.items()
        },
        {
            program: max(map(rss_bytes, pids))
            for program, pids in pids_by_program.items()
        },
        calls / passed_s,
    )


def ticks_of(pids_by_program: dict[str, list[int]]) -> dict[str, int]:
    """Return the processor time of each program, in ticks."""
    return {
        program: sum(map(cpu_ticks, pids))
        for program, pids in pids_by_program.items()
    }


@SERIES.register('instances')
def instance_series() -> list[Series]:
    """Return processor time, memory and store calls of idle instances."""
    costs = [(number, idle_cost(number)) for number in INSTANCES_OF_A_ZONE]
    series = []
    for program in PROGRAMS:
        percent = [
            Point(number, cost.percent_by_program[program])
            for number, cost in costs
        ]
        rss = [
            Point(number, cost.rss_by_program[program])
            for number, cost in costs
        ]
        series.append(_series(f'idle {program}', '% of a core', percent))
        series.append(_series(f'memory of an idle {program}', 'bytes', rss))
    calls = [Point(number, cost.calls_s) for number, cost in costs]
    return [*series, _series('store calls of the zone', 'calls/s', calls)]


def _series(name: str, unit: str, points: list[Point]) -> Series:
    return Series(
        name=name,
        axis='instances of the zone',
        unit=unit,
        target=INSTANCES_OF_A_ZONE[-1],
        points=points,
    )
