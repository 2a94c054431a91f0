"""A drill: the store comes back from a copy that is some seconds old."""

import asyncio
import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common.case import ZONES, run
from common.workers import Worker

# TROUBLE=0 plays the case without its disruption.
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
CLIENTS = 4
# The store goes away so long after the copy was taken.
COPY_AGE_S = 6.0
AWAY_S = 0.5
# The store is stable, and no call is excused, this long after its return.
CONTACT_S = 3.0
WATCHED_S = 16.0


async def play(case):
    """Hold the drill, and compare the calls before it and after it."""
    await case.start_platform()
    workers = [
        Worker(
            case.store,
            'hire-desk',
            zone,
            case.record,
            lambda: case.rng.uniform(0.04, 0.08),
        )
        for zone in ZONES
    ]
    for number, worker in enumerate(workers, 1):
        await worker.start(1_700_000_000_000 + number)
    stored = case.store.take_copy()
    copied_s = case.now_s()
    await case.start_fronts(3)
    end_s = copied_s + COPY_AGE_S + AWAY_S + WATCHED_S
    calls = [
        asyncio.ensure_future(call(case, number % 3, end_s))
        for number in range(CLIENTS)
    ]
    while case.now_s() < copied_s + COPY_AGE_S or not case.duties.calls:
        await asyncio.sleep(0.05)
    away_s = case.now_s()
    back_s = away_s
    if IS_TROUBLED:
        case.record('store', 'goes away')
        case.store.leave()
        await asyncio.sleep(AWAY_S)
        case.store.restore_copy(stored)
        back_s = case.now_s()
        case.record('store', f'is back, {back_s - copied_s:.1f} s older')
    await asyncio.gather(*calls)
    counted = [
        one
        for one in case.duties.calls
        if one[0] < away_s or one[0] > back_s + CONTACT_S
    ]
    return [*find_shared_tokens(counted), *find_other_counts(counted)]


def find_shared_tokens(calls):
    """Return the tokens that two machines sent for one subject."""
    machine_by_token = {}
    broken = {}
    for at_s, path, machine, token, content in calls:
        subject = (path, content.get('service'), content.get('zone'))
        first = machine_by_token.setdefault((subject, token), (machine, at_s))
        if first[0] != machine:
            key = (subject, token, machine)
            broken.setdefault(
                key,
                f'ONE: token {token} for {path} from {first[0]} at'
                f' {first[1]:.2f} s and from {machine} at {at_s:.2f} s',
            )
    return list(broken.values())


def find_other_counts(calls):
    """Return the windows that were reported with different counts."""
    counts_by_window = {}
    broken = []
    for at_s, path, machine, token, content in calls:
        if path != '/usage':
            continue
        text = json.dumps(content['counts'], sort_keys=True)
        window = content['window']
        first = counts_by_window.setdefault(window, text)
        if first != text:
            broken.append(
                f'ONE: window {window} is reported as {first} and at'
                f' {at_s:.2f} s by {machine} as {text}'
            )
    return broken


async def call(case, number, end_s):
    """Book again and again on one connection."""
    connection = case.fronts[number].connect()
    while case.now_s() < end_s:
        await case.book(connection)
        await asyncio.sleep(0.1)


if __name__ == '__main__':
    run(Path(__file__).parent, play)
