"""
Measures the control processes of one zone, as separate processes.

``python -m bench.control [--instances 3] [--kills 5]``: store calls of
control, its processor time and memory, the time without a lease holder after
a kill, and what becomes of a holder that is frozen past its term.
"""

import argparse
import json
import os
import signal
import statistics
import time
import urllib.error
import urllib.request
from pathlib import Path

from bench.launch import Fleet, find_free_port

LEASE_OBJECT = 'leases/a/engines'
LEASE_TERM_S = 6
POLL_S = 0.02
LONGEST_WAIT_S = 30
IDLE_MEASURE_S = 15
FREEZE_S = 9

SETTINGS = """
[instance]
name = {name}
zone = a
[mesh]
local_port = {local_port}
[store]
url = {store}
prefix = bench
[platform]
url = {store}
[log]
level = INFO
"""


class Zone:
    """Instances of one zone, each a mesh node and a control process."""

    def __init__(self, fleet: Fleet, instances: int) -> None:
        self.fleet = fleet
        self.store = fleet.start_standin('store', 'store')
        self.ports = [find_free_port() for _ in range(instances)]
        self.local_ports = [find_free_port() for _ in range(instances)]
        for number in range(instances):
            self.start_node(number)
            self.start_control(number)

    def start_node(self, number: int) -> None:
        node_options = {
            'name': f'i{number}',
            'port': self.ports[number],
            'local_port': self.local_ports[number],
            'seeds': self.ports,
            'store': self.store,
            'warm_up_ms': 1000,
            'measure_ms': 3_600_000,
            'requests_per_s': 0,
        }
        self.fleet.spawn(
            f'i{number}', 'bench.mesh_instance', json.dumps(node_options)
        )

    def start_control(self, number: int) -> None:
        settings = SETTINGS.format(
            name=f'i{number}',
            local_port=self.local_ports[number],
            store=self.store,
        )
        self.fleet.start_daemon(f'control{number}', 'control', settings)

    def read_lease(self) -> dict:
        """Return the lease object, empty if the store has none."""
        try:
            return self.fetch_json(f'/objects/bench/{LEASE_OBJECT}')
        except urllib.error.HTTPError:
            return {}

    def read_calls(self) -> dict:
        return self.fetch_json('/standin/seen')['calls']

    def fetch_json(self, path: str) -> dict:
        with urllib.request.urlopen(self.store + path, timeout=5) as answer:
            return json.load(answer)

    def wait_for_epoch_above(self, epoch: int) -> dict:
        """Return the lease once it is held in a later epoch."""
        deadline = time.monotonic() + LONGEST_WAIT_S
        while time.monotonic() < deadline:
            lease = self.read_lease()
            if lease.get('epoch', 0) > epoch and not lease['released']:
                return lease
            time.sleep(POLL_S)
        raise RuntimeError('no holder')

    def find_holder(self) -> int:
        """Return the number of the instance that holds the lease."""
        return int(self.read_lease()['holder'].partition('/')[0][1:])

    def find_pid(self, number: int) -> int:
        return self.fleet.by_name[f'control{number}'].pid


def read_usage(pid: int) -> tuple[float, float]:
    """Return processor time in s and resident memory in MB of a process."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    seconds = (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return seconds, pages * os.sysconf('SC_PAGE_SIZE') / 1e6


def measure_idle(zone: Zone, instances: int) -> None:
    pids = [zone.find_pid(number) for number in range(instances)]
    before = [read_usage(pid) for pid in pids]
    calls_before = zone.read_calls()
    time.sleep(IDLE_MEASURE_S)
    calls_after = zone.read_calls()
    for number, pid in enumerate(pids):
        seconds, megabytes = read_usage(pid)
        role = 'holder' if number == zone.find_holder() else 'other'
        percent = 100 * (seconds - before[number][0]) / IDLE_MEASURE_S
        print(f'control{number} {role}: {percent:.2f}% {megabytes:.1f} MB')
    rates = {
        kind: round(
            (calls_after[kind] - calls_before.get(kind, 0)) / IDLE_MEASURE_S, 2
        )
        for kind in calls_after
    }
    print(f'store calls/s of {instances} nodes and controls: {rates}')


def measure_kills(zone: Zone, kills: int) -> None:
    """Print the time without a lease holder after SIGKILL."""
    gaps_s = []
    for _ in range(kills):
        epoch = zone.read_lease()['epoch']
        number = zone.find_holder()
        killed_s = time.monotonic()
        zone.fleet.terminate(f'control{number}', signal.SIGKILL)
        zone.wait_for_epoch_above(epoch)
        gaps_s.append(time.monotonic() - killed_s)
        zone.start_control(number)
        time.sleep(3)
    print(
        f'without a holder after a kill, s: mean {statistics.mean(gaps_s):.2f}'
        f' max {max(gaps_s):.2f} of {len(gaps_s)}'
    )


def measure_graceful_end(zone: Zone) -> None:
    """Print the time without a lease holder after SIGTERM."""
    epoch = zone.read_lease()['epoch']
    number = zone.find_holder()
    stopped_s = time.monotonic()
    exit_code = zone.fleet.terminate(f'control{number}')
    zone.wait_for_epoch_above(epoch)
    print(
        f'after SIGTERM, s: {time.monotonic() - stopped_s:.2f}, '
        f'exit {exit_code}'
    )
    zone.start_control(number)
    time.sleep(3)


def measure_freeze(zone: Zone) -> None:
    """Print how a holder ends that is frozen past its lease term."""
    number = zone.find_holder()
    process = zone.fleet.by_name.pop(f'control{number}')
    process.send_signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    process.send_signal(signal.SIGCONT)
    exit_code = process.wait(LONGEST_WAIT_S)
    print(f'frozen {FREEZE_S} s, then thawed: ended by signal {-exit_code}')


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--instances', type=int, default=3)
    parser.add_argument('--kills', type=int, default=5)
    options = parser.parse_args()
    with Fleet() as fleet:
        zone = Zone(fleet, options.instances)
        zone.wait_for_epoch_above(0)
        time.sleep(3)
        measure_idle(zone, options.instances)
        measure_graceful_end(zone)
        measure_kills(zone, options.kills)
        measure_freeze(zone)


if __name__ == '__main__':
    main()
