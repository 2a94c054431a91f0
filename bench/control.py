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

from bench.launch import Fleet, free_port

LEASE = 'leases/a/engines'
LEASE_TERM_S = 6
POLL_S = 0.02
LONGEST_WAIT_S = 30
QUIET_S = 15
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
    """Instances of one zone, each a node of the mesh and a control process."""

    def __init__(self, fleet: Fleet, instances: int) -> None:
        self.fleet = fleet
        self.store = fleet.standin('store', 'store')
        self.ports = [free_port() for _ in range(instances)]
        self.local_ports = [free_port() for _ in range(instances)]
        for number in range(instances):
            self.start_node(number)
            self.start_control(number)

    def start_node(self, number: int) -> None:
        options = {
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
            f'i{number}', 'bench.mesh_instance', json.dumps(options)
        )

    def start_control(self, number: int) -> None:
        settings = SETTINGS.format(
            name=f'i{number}',
            local_port=self.local_ports[number],
            store=self.store,
        )
        self.fleet.daemon(f'control{number}', 'control', settings)

    def lease(self) -> dict:
        """Return the lease object, empty where there is none."""
        try:
            return self.get(f'/objects/bench/{LEASE}')
        except urllib.error.HTTPError:
            return {}

    def calls(self) -> dict:
        return self.get('/standin/seen')['calls']

    def get(self, path: str) -> dict:
        with urllib.request.urlopen(self.store + path, timeout=5) as answer:
            return json.load(answer)

    def wait_for_epoch_above(self, epoch: int) -> dict:
        deadline = time.monotonic() + LONGEST_WAIT_S
        while time.monotonic() < deadline:
            lease = self.lease()
            if lease.get('epoch', 0) > epoch and not lease['released']:
                return lease
            time.sleep(POLL_S)
        raise RuntimeError('no holder')

    def holder(self) -> int:
        return int(self.lease()['holder'].partition('/')[0][1:])

    def pid(self, number: int) -> int:
        return self.fleet.by_name[f'control{number}'].pid


def used(pid: int) -> tuple[float, float]:
    """Return processor seconds and resident megabytes of a process."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    seconds = (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return seconds, pages * os.sysconf('SC_PAGE_SIZE') / 1e6


def measure_quiet(zone: Zone, instances: int) -> None:
    pids = [zone.pid(number) for number in range(instances)]
    before = [used(pid) for pid in pids]
    calls_before = zone.calls()
    time.sleep(QUIET_S)
    calls_after = zone.calls()
    for number, pid in enumerate(pids):
        seconds, megabytes = used(pid)
        role = 'holder' if number == zone.holder() else 'other'
        percent = 100 * (seconds - before[number][0]) / QUIET_S
        print(f'control{number} {role}: {percent:.2f}% {megabytes:.1f} MB')
    rates = {
        kind: round(
            (calls_after[kind] - calls_before.get(kind, 0)) / QUIET_S, 2
        )
        for kind in calls_after
    }
    print(f'store calls/s of {instances} nodes and controls: {rates}')


def measure_kills(zone: Zone, kills: int) -> None:
    gaps = []
    for _ in range(kills):
        epoch = zone.lease()['epoch']
        number = zone.holder()
        killed = time.monotonic()
        zone.fleet.terminate(f'control{number}', signal.SIGKILL)
        zone.wait_for_epoch_above(epoch)
        gaps.append(time.monotonic() - killed)
        zone.start_control(number)
        time.sleep(3)
    print(
        f'without a holder after a kill, s: mean {statistics.mean(gaps):.2f}'
        f' max {max(gaps):.2f} of {len(gaps)}'
    )


def measure_leave(zone: Zone) -> None:
    epoch = zone.lease()['epoch']
    number = zone.holder()
    left = time.monotonic()
    code = zone.fleet.terminate(f'control{number}')
    zone.wait_for_epoch_above(epoch)
    print(f'after SIGTERM, s: {time.monotonic() - left:.2f}, exit {code}')
    zone.start_control(number)
    time.sleep(3)


def measure_freeze(zone: Zone) -> None:
    number = zone.holder()
    process = zone.fleet.by_name.pop(f'control{number}')
    process.send_signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    process.send_signal(signal.SIGCONT)
    code = process.wait(LONGEST_WAIT_S)
    print(f'frozen {FREEZE_S} s, then thawed: ended by signal {-code}')


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--instances', type=int, default=3)
    parser.add_argument('--kills', type=int, default=5)
    given = parser.parse_args()
    with Fleet() as fleet:
        zone = Zone(fleet, given.instances)
        zone.wait_for_epoch_above(0)
        time.sleep(3)
        measure_quiet(zone, given.instances)
        measure_leave(zone)
        measure_kills(zone, given.kills)
        measure_freeze(zone)


if __name__ == '__main__':
    main()
