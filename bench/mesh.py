"""
Measures the mesh of a whole zone with one process for each instance.

``python -m bench.mesh [--instances 15] [--seconds 20] [--requests 0]``
"""

import argparse
import json
import re
import statistics

from bench.launch import Fleet, find_free_port

WARM_UP_MS = 6000
CHANGE_PERIOD_MS = 400
BUDGET = {'cpu_percent': 2.1, 'kb_per_s': 15.0, 'rss_mb': 128}


def compute_percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure(
    instances: int, seconds: int, requests: int, changes: int, workspaces: int
) -> None:
    with Fleet() as fleet:
        store = fleet.start_standin('store', 'store')
        ports = [find_free_port() for _ in range(instances)]
        for number, port in enumerate(ports):
            start_process(
                fleet,
                f'i{number}',
                {
                    'name': f'i{number}',
                    'port': port,
                    'seeds': ports[:3],
                    'store': store,
                    'warm_up_ms': WARM_UP_MS,
                    'measure_ms': seconds * 1000,
                    'requests_per_s': requests,
                },
            )
        accepted = {}
        if changes:
            fleet.wait_for_text('store', 'ready')
            start_process(
                fleet,
                'operator',
                {
                    'store': store,
                    'changes': changes,
                    'change_period_ms': CHANGE_PERIOD_MS,
                    'workspaces': workspaces,
                    'settle_ms': WARM_UP_MS,
                },
            )
            accepted = read_report(fleet, 'operator')
        reports = [
            read_report(fleet, f'i{number}') for number in range(instances)
        ]
    print_figures(reports)
    print_in_force(reports, accepted)


def start_process(fleet: Fleet, name: str, options: dict) -> None:
    fleet.spawn(name, 'bench.mesh_instance', json.dumps(options))


def read_report(fleet: Fleet, name: str) -> dict:
    """Return the report that a process prints before it ends."""
    path = fleet.path(f'{name}.log')
    process = fleet.by_name[name]
    process.wait(120)
    found = re.search('^report (.*)$', path.read_text(), re.MULTILINE)
    if found is None:
        raise RuntimeError(path.read_text())
    return json.loads(found.group(1))


def print_figures(reports: list[dict]) -> None:
    print('instances', len(reports), 'live', {r['live'] for r in reports})
    rows = {
        'cpu_percent': [100 * r['cpu_s'] for r in reports],
        'sent_kb_per_s': [r['sent_bytes'] / 1000 for r in reports],
        'received_kb_per_s': [r['received_bytes'] / 1000 for r in reports],
        'sent_per_s': [r['sent'] for r in reports],
        'rss_mb': [r['rss_kb'] / 1000 for r in reports],
        'threads': [r['threads'] for r in reports],
        'store_calls_per_s watcher': [
            r['store_calls'] for r in reports if r['watches']
        ],
        'store_calls_per_s other': [
            r['store_calls'] for r in reports if not r['watches']
        ],
    }
    for name, values in rows.items():
        if values:
            print(
                f'{name:28} mean {statistics.mean(values):8.2f}'
                f'  max {max(values):8.2f}'
            )
    waits = [1000 * wait for r in reports for wait in r['waits']]
    if waits:
        print(
            f'usage copied ms p50 {compute_percentile(waits, 0.5):.1f}'
            f' p99 {compute_percentile(waits, 0.99):.1f} of {len(waits)}'
        )


def print_in_force(reports: list[dict], accepted: dict) -> None:
    """Print the delay from commit until instances apply a revision."""
    delays = [
        r['in_force'][revision] - accepted_ms
        for r in reports
        for revision, accepted_ms in accepted.items()
        if revision in r['in_force']
    ]
    if delays:
        missing = len(accepted) * len(reports) - len(delays)
        print(
            f'in force ms p50 {compute_percentile(delays, 0.5)}'
            f' p99 {compute_percentile(delays, 0.99)} max {max(delays)}'
            f' of {len(delays)}, superseded before arrival {missing}'
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--instances', type=int, default=15)
    parser.add_argument('--seconds', type=int, default=20)
    parser.add_argument('--requests', type=int, default=0)
    parser.add_argument('--changes', type=int, default=0)
    parser.add_argument('--workspaces', type=int, default=0)
    options = parser.parse_args()
    measure(
        options.instances,
        options.seconds,
        options.requests,
        options.changes,
        options.workspaces,
    )


if __name__ == '__main__':
    main()
