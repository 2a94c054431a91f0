"""Closed-loop load of streamed requests over loopback."""

import asyncio
import json
import statistics
import time
from urllib.parse import urlsplit

READ_BYTES = 65_536
PERCENTILE_STEPS = 100


class StreamTimes:
    """Arrival times of the chunks of one answer."""

    def __init__(self, sent_s: float) -> None:
        self.sent_s = sent_s
        self.arrivals_s: list[float] = []
        self.token_count = 0
        self.is_complete = False

    @property
    def first_token_ms(self) -> float:
        return (self.arrivals_s[0] - self.sent_s) * 1000

    def compute_gaps_ms(self) -> list[float]:
        pairs = zip(self.arrivals_s, self.arrivals_s[1:])
        return [(later - earlier) * 1000 for earlier, later in pairs]


async def send_streamed_chat(
    url: str, key: str, model: str, tokens: int, text: str
):
    """Send one streamed chat and return the times of its chunks."""
    parts = urlsplit(url)
    body = json.dumps(
        {
            'model': model,
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': tokens,
            'stream': True,
        }
    ).encode()
    head = (
        'POST /v1/chat/completions HTTP/1.1\r\n'
        f'Host: {parts.netloc}\r\nAuthorization: Bearer {key}\r\n'
        'Content-Type: application/json\r\nConnection: close\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode()
    reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
    times = StreamTimes(time.perf_counter())
    writer.write(head + body)
    while received := await reader.read(READ_BYTES):
        now = time.perf_counter()
        received_tokens = received.count(b'"token_offset"')
        times.token_count += received_tokens
        if received_tokens:
            times.arrivals_s.append(now)
        if b'[DONE]' in received:
            times.is_complete = True
    writer.close()
    return times


async def run_load(url, key, model, *, streams, rounds, tokens):
    """Run ``streams`` concurrent clients that send ``rounds`` requests each."""

    async def client(number):
        done = []
        await asyncio.sleep(number * 0.005)
        for turn in range(rounds):
            text = f'client {number} turn {turn} ' * 8
            done.append(await send_streamed_chat(url, key, model, tokens, text))
        return done

    done = await asyncio.gather(*(client(n) for n in range(streams)))
    return [times for each in done for times in each]


def compute_percentile(values: list[float], percent: int) -> float:
    """Return a percentile of some values."""
    if len(values) < 2:
        return values[0] if values else 0
    steps = statistics.quantiles(values, n=PERCENTILE_STEPS)
    return steps[percent - 1]
