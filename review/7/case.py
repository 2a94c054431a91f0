"""A request that makes its workers go dark comes again and again."""

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

# Without the disruption, the workers reset their connections as they crash.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CONTACT_S = 3.0
ALLOWED_RETRIES = 3
PERIOD_S = 1.5
PLAY_S = 40.0
WORKERS = 3


async def scenario(record, folder):
    """Play the case and return its verdict."""
    deployment = Deployment(
        record, folder, worker_count=WORKERS, is_dark=TROUBLE
    )
    try:
        if not await deployment.start():
            return NOT_RUN
        return await _play(deployment, record)
    finally:
        await deployment.stop()


async def _play(deployment, record):
    record(f'one request to {HOST}/look/2f that crashes each worker')
    await asyncio.sleep(CONTACT_S)
    end_s = time.monotonic() + PLAY_S
    sent_s_by_attempt = {}
    bookings = {}
    sending = []
    turn = 0
    while time.monotonic() < end_s:
        front = deployment.fronts[turn % 3]
        turn += 1
        attempt = deployment.draw_id()
        sent_s_by_attempt[attempt] = time.monotonic()
        sending.append(_send(deployment, front, attempt, 'look', POISON))
        for _ in range(3):
            booking = deployment.draw_id()
            bookings[booking] = None
            sending.append(
                _send(deployment, front, booking, 'book', b'one', bookings)
            )
        sending = [asyncio.ensure_future(one) for one in sending]
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*sending)
    lost = [status for status in bookings.values() if status != 200]
    record(f'bookings: {len(bookings)}, without success: {len(lost)}')
    return _judge(deployment, sent_s_by_attempt, record)


async def _send(deployment, front, attempt, route, body, statuses=None):
    connection = Connection(front.port, front.host)
    _, status = await deployment.call(
        connection, route, 'keyone', body, attempt
    )
    connection.close()
    deployment.record(f'{attempt} {route} at {front.name}: answer {status}')
    if statuses is not None:
        statuses[attempt] = status


def _judge(deployment, sent_s_by_attempt, record):
    third_s = None
    crashes = 0
    retries = set()
    for run_s, attempt in deployment.runs:
        sent_s = sent_s_by_attempt.get(attempt)
        if sent_s is None:
            continue
        if third_s is not None and sent_s > third_s + CONTACT_S:
            retries.add(attempt)
        crashes += 1
        if crashes == 3:
            third_s = run_s
    record(f'crashes: {crashes}; retries that reached workers: {len(retries)}')
    return BROKEN if len(retries) > ALLOWED_RETRIES else KEPT


if __name__ == '__main__':
    play(__file__, scenario)
