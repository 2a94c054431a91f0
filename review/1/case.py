"""A late copy of a rejection, on a connection that is in use again."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common.case import ZONES, run
from common.workers import Worker

# TROUBLE=0 plays the case without its disruption.
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
CLIENTS = 60
# Retries of a client, as on the sheet.
RETRIES = 1
TRAFFIC_S = 16
# Limits of the site file for `garble`, how `extra late`; it comes twice.
TROUBLES_FROM_S = (2, 9)
TROUBLE_S = 5
COPIED_SHARE = 0.03
REFUSALS = frozenset((408, 421, 429, 503))


async def play(case):
    """Let clients book beyond what the workers take at once."""
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
    await case.start_fronts(1)
    began_s = case.now_s()
    if IS_TROUBLED:
        # One worker of three: the limit is a share of 0.6.
        workers[0].sends_copy = Copies(case, workers[0]).draw
    refused = {}
    attempts_by_booking = {}
    await asyncio.gather(
        *(
            call(
                case,
                began_s + TRAFFIC_S,
                f'{number}',
                refused,
                attempts_by_booking,
            )
            for number in range(CLIENTS)
        )
    )
    await asyncio.sleep(1)
    for worker in workers:
        case.record(
            worker.name,
            f'{worker.answered} answers, {len(worker.copied)} repeated',
        )
    for booking, attempts in attempts_by_booking.items():
        count = sum(one in worker.ran for one in attempts for worker in workers)
        if count > 1:
            case.record('clients', f'booking {booking} has run {count} times')
    return [
        f'REFUSED: {attempt} got {status} and ran at {worker.name}'
        for attempt, status in refused.items()
        for worker in workers
        if attempt in worker.ran
    ]


class Copies:
    """
    Draws the answers of a worker that are repeated, within the limits.

    :param case: the case
    :param worker: the worker
    """

    def __init__(self, case, worker):
        self._case = case
        self._worker = worker
        self._began_s = case.now_s()
        # Answers and copies before each time of trouble.
        self._before = {}

    def draw(self):
        """Return whether the answer that was just sent is repeated."""
        passed_s = self._case.now_s() - self._began_s
        copied = len(self._worker.copied)
        for from_s in TROUBLES_FROM_S:
            if from_s <= passed_s < from_s + TROUBLE_S:
                answered, copies = self._before.setdefault(
                    from_s, (self._worker.answered - 1, copied)
                )
                limit = COPIED_SHARE * (self._worker.answered - answered)
                is_within = copied - copies + 1 <= limit
                return is_within and self._case.rng.random() < 0.1
        return False


async def call(case, end_s, client, refused, attempts_by_booking):
    """Book again and again; try a refused booking once more, as told."""
    connection = case.fronts[0].connect()
    number = 0
    while case.now_s() < end_s:
        number += 1
        booking = f'{client}-{number}'
        for _ in range(1 + RETRIES):
            attempt, answer = await case.book(connection, booking=booking)
            attempts_by_booking.setdefault(booking, []).append(attempt)
            if answer.status not in REFUSALS or not answer.is_whole:
                break
            refused[attempt] = answer.status
            await asyncio.sleep(float(answer.headers.get('retry-after', 0.1)))
    connection.close()


if __name__ == '__main__':
    run(Path(__file__).parent, play)
