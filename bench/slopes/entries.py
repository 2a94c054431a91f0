"""What idle entries of one zone cost, as separate processes."""

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

ENTRIES = (3, 6, 9, 15)
SETTLE_S = 8
MEASURED_S = 20
KIB = 1024
HTTP_TIMEOUT_S = 10
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


class IdleCost:
    """What one entry costs on average, and what all ask of the store."""

    def __init__(self, cpu_percent: float, rss: float, calls_s: float) -> None:
        self.cpu_percent = cpu_percent
        self.rss = rss
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


def put_table(store: str, workspaces: int, targets: int) -> None:
    """Create the table of a deployment."""
    shards = {}
    for number, payload in payloads_for(workspaces, targets).items():
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


def start_zone(fleet: Fleet, store: str, entries: int) -> list[int]:
    """Start entries of one zone and return their process ids."""
    mesh_ports = [free_port() for _ in range(entries)]
    seeds = ', '.join(f'127.0.0.1:{port}' for port in mesh_ports[:3])
    for number, mesh_port in enumerate(mesh_ports):
        port = free_port()
        settings = ENTRY_SETTINGS.format(
            name=f'entry-{number}',
            zone='zone-0',
            port=port,
            store=store,
            mesh_port=mesh_port,
            local_port=free_port(),
            seeds=seeds,
        )
        fleet.daemon(f'entry-{number}', 'entry', settings)
        fleet.wait_for_url(f'entry-{number}', f'http://127.0.0.1:{port}/readyz')
    return [fleet.by_name[f'entry-{number}'].pid for number in range(entries)]


def idle_cost(entries: int) -> IdleCost:
    """Return what idle entries cost at the target's table size."""
    with Fleet() as fleet:
        store = fleet.standin(
            'store', 'store', '--writes-per-s', '0', '--reads-per-s', '0'
        )
        put_table(store, TARGET_WORKSPACES, TARGET_TARGETS)
        pids = start_zone(fleet, store, entries)
        time.sleep(SETTLE_S)
        ticks = sum(map(cpu_ticks, pids))
        calls = store_calls(store)
        started = time.monotonic()
        time.sleep(MEASURED_S)
        passed_s = time.monotonic() - started
        ticks = sum(map(cpu_ticks, pids)) - ticks
        calls = store_calls(store) - calls
        return IdleCost(
            100 * ticks / TICKS_PER_S / passed_s / entries,
            max(map(rss_bytes, pids)),
            calls / passed_s,
        )


@SERIES.register('entries')
def entry_series() -> list[Series]:
    """Return processor time, memory and store calls of idle entries."""
    costs = [(number, idle_cost(number)) for number in ENTRIES]
    values_by_name = {
        ('idle entry', '% of a core'): [
            Point(number, cost.cpu_percent) for number, cost in costs
        ],
        ('resident memory of an entry, largest', 'bytes'): [
            Point(number, cost.rss) for number, cost in costs
        ],
        ('store calls of the zone', 'calls/s'): [
            Point(number, cost.calls_s) for number, cost in costs
        ],
    }
    return [
        Series(
            name=name,
            axis='entries of the zone',
            unit=unit,
            target=15,
            points=points,
        )
        for (name, unit), points in values_by_name.items()
    ]
