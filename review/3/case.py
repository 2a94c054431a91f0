"""A stop, beside callers that use their connections again at once."""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common.case import ZONES, run
from common.workers import Worker

# TROUBLE=0 plays the case without its disruption.
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
CLIENTS = 8
# Time between the begins of two clients.
APART_S = 0.033
# Pause between two events of a stream: the target is 66 ms, the limit 150 ms.
EVENT_S = 0.066
FIRST_EVENTS = 62
# The mean of the sheet; the longest stream of the site file has 211 events.
SECOND_EVENTS = 90
STOP_AFTER_S = 0.5
GRACE_S = 8.0
# A request that is sent later than this after SIGTERM may not be cut off.
EXCUSED_S = 3.0


async def play(case):
    """Stop an instance while streams that began before are running."""
    await case.start_platform()
    workers = [
        Worker(
            case.store,
            'yard-llm',
            zone,
            case.record,
            float,
            slots=32,
            queue=64,
            stage='decode',
            event_s=EVENT_S,
        )
        for zone in ZONES
    ]
    for number, worker in enumerate(workers, 1):
        await worker.start(1_700_000_000_000 + number)
    await case.start_fronts(2)
    stopped = case.fronts[0]
    calls = [
        asyncio.ensure_future(call(case, stopped, number * APART_S))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(STOP_AFTER_S)
    stop_s = case.now_s()
    if IS_TROUBLED:
        stopped.signal(signal.SIGTERM)
        asyncio.ensure_future(kill_after_grace(stopped))
    ran = {}
    broken = []
    for sent_s, attempt, answer, ended_s in await asyncio.gather(*calls):
        for worker in workers:
            ran.update(dict.fromkeys(worker.ran, worker.name))
        is_planned = ended_s <= stop_s + GRACE_S + 1
        is_late = sent_s > stop_s + EXCUSED_S
        if answer.is_whole or attempt not in ran:
            continue
        if is_planned and is_late:
            broken.append(
                f'LOST: {attempt}, sent {sent_s - stop_s:.2f} s after SIGTERM,'
                f' ran at {ran[attempt]} and was cut'
                f' {ended_s - stop_s:.2f} s after SIGTERM'
            )
    return broken


async def call(case, front, delay_s):
    """Ask twice on one connection, the second time at once."""
    await asyncio.sleep(delay_s)
    connection = front.connect()
    await case.chat(connection, FIRST_EVENTS)
    sent_s = case.now_s()
    attempt, answer = await case.chat(connection, SECOND_EVENTS)
    return sent_s, attempt, answer, case.now_s()


async def kill_after_grace(front):
    """Kill a process that outlives its grace."""
    await asyncio.sleep(GRACE_S)
    if front.process.poll() is None:
        front.signal(signal.SIGKILL)


if __name__ == '__main__':
    run(Path(__file__).parent, play)
