"""Measures latency and processor time that an entry adds to streams."""

import argparse
import asyncio
import os
import time

from bench.deployment import Deployment
from bench.load import compute_percentile, run_load

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
WARM_UP = {'streams': 4, 'rounds': 2, 'tokens': 20}


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    with open(f'/proc/{pid}/stat') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def print_row(name, done, elapsed_s, used_cpu_s) -> None:
    first_tokens_ms = [
        times.first_token_ms for times in done if times.arrivals_s
    ]
    token_gaps_ms = [gap for times in done for gap in times.compute_gaps_ms()]
    token_count = sum(times.token_count for times in done)
    complete_count = sum(times.is_complete for times in done)
    print(
        f'{name:8} {len(done):5} {complete_count:5} '
        f'{token_count / elapsed_s:9.0f} '
        f'{compute_percentile(first_tokens_ms, 50):8.1f} '
        f'{compute_percentile(first_tokens_ms, 99):8.1f} '
        f'{compute_percentile(token_gaps_ms, 50):8.2f} '
        f'{compute_percentile(token_gaps_ms, 99):8.2f} '
        + (f'{token_count / used_cpu_s:10.0f}' if used_cpu_s else f'{"-":>10}')
    )


def measure(name, url, key, pid, load) -> None:
    used_before_s = read_cpu_s(pid) if pid else 0
    started_s = time.monotonic()
    done = asyncio.run(run_load(url, key, 'demo-model', **load))
    elapsed_s = time.monotonic() - started_s
    print_row(
        name, done, elapsed_s, (read_cpu_s(pid) - used_before_s) if pid else 0
    )


def main() -> None:
    """Measure streams sent directly and through one entry at several loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--streams', type=int, nargs='*', default=[1, 20, 60])
    parser.add_argument('--tokens', type=int, default=200)
    parser.add_argument('--rounds', type=int, default=3)
    options = parser.parse_args()
    with Deployment(engines=4, services=1) as deployment:
        deployment.start(entries=1)
        deployment.create_demo_rows()
        engine = deployment.target_urls['engine-1']
        entry = deployment.entries[0]
        pid = deployment.by_name['entry-1'].pid
        for url, key in ((engine, 'x'), (entry, 'demo-key')):
            asyncio.run(run_load(url, key, 'demo-model', **WARM_UP))
        print('4 engines at 10 ms a step; direct goes to one of them')
        print(
            'path      reqs whole  tokens/s  first50  first99    gap50    '
            'gap99  tok/core-s'
        )
        for streams in options.streams:
            load = {
                'streams': streams,
                'rounds': options.rounds,
                'tokens': options.tokens,
            }
            print(f'{streams} streams')
            measure('direct', engine, 'x', 0, load)
            measure('entry', entry, 'demo-key', pid, load)


if __name__ == '__main__':
    main()
