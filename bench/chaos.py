"""Kills, freezes and outages under load; invariants on what stand-ins saw."""

import argparse
import asyncio
import json
import random
import signal
import sys
import time
import urllib.request
from urllib.parse import urlsplit

from bench.deployment import Deployment

KEY = 'demo-key'
TOKENS = 60
STREAM_CLIENTS = 6
FILING_CLIENTS = 3
FILING_TRIES = 6
PAUSE_S = 0.3
FAULT_PAUSE_S = 2.0
WINDOW_MS = 5000
SETTLE_S = 60


class Tally:
    """What callers got."""

    def __init__(self) -> None:
        self.whole_tokens = 0
        self.all_tokens = 0
        self.whole = 0
        self.failed: dict[str, int] = {}
        self.wrong_texts = 0
        self.filings: dict[str, str] = {}
        self.differing = 0

    def fail(self, reason: str) -> None:
        self.failed[reason] = self.failed.get(reason, 0) + 1


def get(url: str):
    with urllib.request.urlopen(url, timeout=5) as answer:
        return json.load(answer)


def post(url: str, body: dict) -> None:
    request = urllib.request.Request(
        url, data=json.dumps(body).encode(), method='POST'
    )
    urllib.request.urlopen(request, timeout=5).close()


async def exchange(url, method, path, body, headers):
    """Send one request on a connection of its own; return status and body."""
    parts = urlsplit(url)
    reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {parts.netloc}',
        f'Authorization: Bearer {KEY}',
        f'Content-Length: {len(body)}',
        'Connection: close',
        *(f'{name}: {text}' for name, text in headers.items()),
    ]
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
    try:
        received = await reader.read(-1)
    finally:
        writer.close()
    head, _, rest = received.partition(b'\r\n\r\n')
    status = int(head.split()[1]) if head else 0
    return status, rest


async def ask(url, text, tally, expected) -> None:
    body = json.dumps(
        {
            'model': 'demo-model',
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': TOKENS,
            'stream': True,
        }
    ).encode()
    try:
        status, answer = await exchange(
            url, 'POST', '/v1/chat/completions', body, {}
        )
    except OSError:
        tally.fail('connection')
        return
    tokens = answer.count(b'"token_offset"')
    tally.all_tokens += tokens
    if status != 200 or b'[DONE]' not in answer:
        code = answer.partition(b'"code":"')[2].partition(b'"')[0].decode()
        tally.fail(code or f'cut off (status {status})')
        return
    tally.whole += 1
    tally.whole_tokens += tokens
    words = [
        json.loads(line[6:])['choices'][0]['delta'].get('content', '')
        for line in answer.split(b'\n')
        if line.startswith(b'data: {')
    ]
    tally.wrong_texts += expected.setdefault(text, words) != words


async def stream_client(number, deployment, tally, expected, until) -> None:
    rng = random.Random(number)
    while time.monotonic() < until:
        url = rng.choice(deployment.entries)
        await ask(url, f'question {rng.randrange(20)}', tally, expected)
        await asyncio.sleep(PAUSE_S)


async def filing_client(number, deployment, tally, until) -> None:
    rng = random.Random(1000 + number)
    count = 0
    while time.monotonic() < until:
        count += 1
        key = f'filing-{number}-{count}'
        answers = set()
        for _ in range(FILING_TRIES):
            url = rng.choice(deployment.entries)
            try:
                status, body = await exchange(
                    url,
                    'POST',
                    '/services/filing/returns',
                    key.encode(),
                    {'Idempotency-Key': key},
                )
            except OSError:
                status, body = 0, b''
            if status == 200:
                answers.add(body)
            await asyncio.sleep(PAUSE_S)
        tally.differing += len(answers) > 1
        tally.filings[key] = 'answered' if answers else 'open'


def faults(deployment, rng):
    """Return the faults that may strike, by name."""
    entry = f'entry-{rng.randint(1, len(deployment.entries))}'
    control = f'control-{rng.randint(1, len(deployment.entries))}'
    engine = f'engine-{rng.randint(1, deployment.engine_count)}'
    store = deployment.store
    return {
        f'freeze {control}': lambda: freeze(deployment, control, rng),
        f'freeze {entry}': lambda: freeze(deployment, entry, rng),
        f'kill {control}': lambda: restart(deployment, control),
        f'kill {entry}': lambda: restart(deployment, entry),
        f'kill {engine}': lambda: restart(deployment, engine),
        'store outage': lambda: store_fault(store, {'kind': 'outage'}, rng),
        'store slow': lambda: store_fault(
            store, {'kind': 'slow', 'delay_ms': 600}, rng
        ),
        'store loses answers': lambda: store_fault(
            store, {'kind': 'lose-answers', 'share': 0.5}, rng
        ),
    }


async def freeze(deployment, name, rng) -> None:
    process = deployment.by_name[name]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.5, 9))
    process.send_signal(signal.SIGCONT)
    await asyncio.sleep(0.5)
    if process.poll() is not None:
        deployment.respawn(name)


async def restart(deployment, name) -> None:
    process = deployment.by_name[name]
    process.kill()
    process.wait()
    await asyncio.sleep(1)
    deployment.respawn(name)


async def store_fault(store, body, rng) -> None:
    post(f'{store}/standin/fault', body)
    await asyncio.sleep(rng.uniform(1, 6))
    post(f'{store}/standin/fault', {'kind': 'none'})


async def strike(deployment, seed, until) -> list[str]:
    rng = random.Random(seed)
    struck = []
    while time.monotonic() < until:
        await asyncio.sleep(FAULT_PAUSE_S)
        by_name = faults(deployment, rng)
        name = rng.choice(sorted(by_name))
        struck.append(name)
        await by_name[name]()
    return struck


def reported_tokens(deployment) -> int:
    seen = get(f'{deployment.platform}/standin/seen')
    return sum(
        figures['output_tokens']
        for name, figures in seen['usage_by_window'].items()
        if name.startswith('demo/')
    )


def check(deployment, tally, lost) -> int:
    """Print each invariant; return how many are broken."""
    broken = 0
    runs: dict[str, int] = {}
    for name in ('service-1', 'service-2'):
        seen = get(f'{deployment.target_urls[name]}/standin/seen')
        for key, count in seen['runs_by_key'].items():
            runs[key] = runs.get(key, 0) + count
    orders = [
        get(f'{deployment.target_urls[f"engine-{n}"]}/standin/seen')['orders']
        for n in range(1, deployment.engine_count + 1)
    ]
    usage = get(f'{deployment.platform}/standin/seen')['usage']
    reported = reported_tokens(deployment)
    lines = [
        ('filings that ran twice', sum(n > 1 for n in runs.values()), 0),
        ('filings with differing answers', tally.differing, 0),
        ('texts that differ from the first', tally.wrong_texts, 0),
        (
            'conflicting engine orders',
            sum(o['overlapping'] + o['stale'] + o['differing'] for o in orders),
            0,
        ),
        (
            'conflicting usage reports',
            usage['conflicting'] + usage['stale'],
            0,
        ),
    ]
    for name, found, allowed in lines:
        broken += found > allowed
        print(f'{"ok  " if found <= allowed else "FAIL"} {name}: {found}')
    least = tally.whole_tokens
    is_billed = least <= reported <= tally.all_tokens + lost
    broken += not is_billed
    print(
        f'{"ok  " if is_billed else "FAIL"} tokens reported: {reported}, '
        f'in whole answers {least}, in all {tally.all_tokens} (+{lost})'
    )
    return broken


async def run(deployment, seed, seconds, tally) -> list[str]:
    until = time.monotonic() + seconds
    expected: dict = {}
    clients = [
        stream_client(number, deployment, tally, expected, until)
        for number in range(STREAM_CLIENTS)
    ]
    clients += [
        filing_client(number, deployment, tally, until)
        for number in range(FILING_CLIENTS)
    ]
    struck, *_ = await asyncio.gather(strike(deployment, seed, until), *clients)
    return struck


def settle(deployment, least) -> None:
    """Wait until all usage is reported, or the time for it is over."""
    until = time.monotonic() + SETTLE_S
    before = -1
    while time.monotonic() < until:
        reported = reported_tokens(deployment)
        if reported >= least and reported == before:
            return
        before = reported
        time.sleep(2 * WINDOW_MS / 1000)


def main() -> int:
    """Run one seed; 0 where every invariant held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=int, default=60)
    parser.add_argument('--logs', action='store_true')
    options = parser.parse_args()
    tally = Tally()
    with Deployment(engines=3, services=2, window_ms=WINDOW_MS) as deployment:
        deployment.start(entries=3, zones=1)
        deployment.create_demo_rows()
        deployment.run_operator(
            *('route', 'create', 'filing', '--pool', 'services'),
            *('--kind', 'service', '--unrepeatable'),
        )
        deployment.run_operator('table', 'set', 'demo', 'filing')
        time.sleep(2)
        struck = asyncio.run(
            run(deployment, options.seed, options.seconds, tally)
        )
        print(f'seed {options.seed}: ' + ', '.join(struck))
        answered = sum(s == 'answered' for s in tally.filings.values())
        print(
            f'whole answers {tally.whole}, failed {tally.failed}; '
            f'filings {len(tally.filings)}, answered {answered}'
        )
        settle(deployment, tally.whole_tokens)
        broken = check(deployment, tally, len(struck) * STREAM_CLIENTS * TOKENS)
        if options.logs:
            for name in sorted(deployment.by_name):
                print(f'--- {name}')
                print(deployment.path(f'{name}.log').read_text()[-4000:])
    print('all held' if not broken else f'{broken} broken')
    return int(bool(broken))


if __name__ == '__main__':
    sys.exit(main())
