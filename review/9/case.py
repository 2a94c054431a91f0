"""A request that crashes its workers comes again during a rolling restart."""

import asyncio
import os
import time

from review.stand_ins_2.deployment import (
    BROKEN,
    HOST,
    KEPT,
    NOT_RUN,
    Deployment,
    play,
)
from review.stand_ins_2.http import Connection
from review.stand_ins_2.worker import POISON

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CONTACT_S = 3.0
ALLOWED_RETRIES = 3
# The caller comes again this often, at each machine in turn.
PERIOD_S = 0.7
BEFORE_S = 8.0
AFTER_S = 11.0
WORKERS = 6


class Caller:
    """Sends one request again and again, with a new id for each attempt."""

    def __init__(self, deployment):
        self._deployment = deployment
        # Time of sending and machine of each attempt.
        self.sent_by_attempt = {}
        self.is_stopped = False

    async def run(self):
        """Send the request to each machine in turn until stopped."""
        sending = []
        turn = 0
        while not self.is_stopped:
            fronts = self._deployment.fronts
            front = fronts[turn % len(fronts)]
            turn += 1
            sending.append(asyncio.ensure_future(self._send(front)))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*sending)

    async def _send(self, front):
        deployment = self._deployment
        attempt = deployment.draw_id()
        self.sent_by_attempt[attempt] = (time.monotonic(), front)
        connection = Connection(front.port, front.host)
        _, status = await deployment.call(
            connection, 'look', 'keyone', POISON, attempt
        )
        connection.close()
        deployment.record(f'{attempt} at {front.name}: answer {status}')


async def scenario(record, folder):
    """Play the case and return its verdict."""
    deployment = Deployment(record, folder, worker_count=WORKERS)
    try:
        if not await deployment.start():
            return NOT_RUN
        return await _play(deployment, record)
    finally:
        await deployment.stop()


async def _play(deployment, record):
    record(f'one request to {HOST}/look/2f that crashes each worker')
    await asyncio.sleep(CONTACT_S)
    caller = Caller(deployment)
    calling = asyncio.ensure_future(caller.run())
    await asyncio.sleep(BEFORE_S)
    for front in deployment.fronts:
        if TROUBLE:
            await front.restart()
            await front.wait_ready()
            record(f'{front.name}: back and ready')
        await asyncio.sleep(AFTER_S)
    caller.is_stopped = True
    await calling
    return _judge(deployment, caller, record)


def _judge(deployment, caller, record):
    crashes = 0
    third_s = None
    retries = set()
    for run_s, attempt in deployment.runs:
        sent_s, front = caller.sent_by_attempt[attempt]
        if third_s is not None and sent_s > third_s + CONTACT_S:
            if _is_in_touch(front, sent_s, run_s):
                retries.add(attempt)
        crashes += 1
        if crashes == 3:
            third_s = run_s
    record(f'crashes: {crashes}; retries that reached workers: {len(retries)}')
    return BROKEN if len(retries) > ALLOWED_RETRIES else KEPT


def _is_in_touch(front, sent_s, run_s):
    """Return whether nothing happened to a machine for long enough."""
    return all(
        time_s < sent_s - CONTACT_S or time_s > run_s
        for time_s in front.disturbed_s
    )


if __name__ == '__main__':
    play(__file__, scenario)
