"""Injects faults under load; checks invariants on the stand-ins' records."""

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

API_KEY = 'demo-key'
TOKENS_PER_REQUEST = 60
STREAM_CLIENTS = 6
FILING_CLIENTS = 3
SENDS_PER_FILING = 6
CLIENT_PAUSE_S = 0.3
FAULT_PAUSE_S = 2.0
WINDOW_MS = 5000
USAGE_TIMEOUT_S = 60


class Tally:
    """
    Counts of the answers that clients received.

    :ivar complete_tokens: tokens of complete streams
    :ivar received_tokens: tokens of all streams, also of those cut off
    :ivar differing_texts: texts that differ from the first to the same prompt
    :ivar differing_filings: filings that got more than one answer
    """

    def __init__(self) -> None:
        self.complete_tokens = 0
        self.received_tokens = 0
        self.complete_answers = 0
        self.failures_by_reason: dict[str, int] = {}
        self.differing_texts = 0
        self.state_by_filing: dict[str, str] = {}
        self.differing_filings = 0

    def record_failure(self, reason: str) -> None:
        self.failures_by_reason[reason] = (
            self.failures_by_reason.get(reason, 0) + 1
        )


def fetch_json(url: str):
    with urllib.request.urlopen(url, timeout=5) as answer:
        return json.load(answer)


def post_json(url: str, body: dict) -> None:
    request = urllib.request.Request(
        url, data=json.dumps(body).encode(), method='POST'
    )
    urllib.request.urlopen(request, timeout=5).close()


async def send_request(url, method, path, body, headers):
    """Send a request on a new connection; return status or 0, and body."""
    parts = urlsplit(url)
    reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {parts.netloc}',
        f'Authorization: Bearer {API_KEY}',
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


async def send_chat(url, text, tally, words_by_text) -> None:
    """Stream one chat and record tokens, result and text in the tally."""
    body = json.dumps(
        {
            'model': 'demo-model',
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': TOKENS_PER_REQUEST,
            'stream': True,
        }
    ).encode()
    try:
        status, answer = await send_request(
            url, 'POST', '/v1/chat/completions', body, {}
        )
    except OSError:
        tally.record_failure('connection')
        return
    tokens = answer.count(b'"token_offset"')
    tally.received_tokens += tokens
    if status != 200 or b'[DONE]' not in answer:
        code = answer.partition(b'"code":"')[2].partition(b'"')[0].decode()
        tally.record_failure(code or f'cut off (status {status})')
        return
    tally.complete_answers += 1
    tally.complete_tokens += tokens
    words = [
        json.loads(line[6:])['choices'][0]['delta'].get('content', '')
        for line in answer.split(b'\n')
        if line.startswith(b'data: {')
    ]
    tally.differing_texts += words_by_text.setdefault(text, words) != words


async def run_stream_client(
    number, deployment, tally, words_by_text, end_s
) -> None:
    rng = random.Random(number)
    while time.monotonic() < end_s:
        url = rng.choice(deployment.entries)
        await send_chat(
            url, f'question {rng.randrange(20)}', tally, words_by_text
        )
        await asyncio.sleep(CLIENT_PAUSE_S)


async def run_filing_client(number, deployment, tally, end_s) -> None:
    """Send each filing several times under one idempotency key."""
    rng = random.Random(1000 + number)
    count = 0
    while time.monotonic() < end_s:
        count += 1
        key = f'filing-{number}-{count}'
        answers = set()
        for _ in range(SENDS_PER_FILING):
            url = rng.choice(deployment.entries)
            try:
                status, body = await send_request(
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
            await asyncio.sleep(CLIENT_PAUSE_S)
        tally.differing_filings += len(answers) > 1
        tally.state_by_filing[key] = 'answered' if answers else 'open'


def build_faults(deployment, rng):
    """Return the faults to choose from by name, with drawn processes."""
    entry = f'entry-{rng.randint(1, len(deployment.entries))}'
    control = f'control-{rng.randint(1, len(deployment.entries))}'
    engine = f'engine-{rng.randint(1, deployment.engine_count)}'
    store = deployment.store
    return {
        f'freeze {control}': lambda: freeze_process(deployment, control, rng),
        f'freeze {entry}': lambda: freeze_process(deployment, entry, rng),
        f'kill {control}': lambda: kill_and_respawn(deployment, control),
        f'kill {entry}': lambda: kill_and_respawn(deployment, entry),
        f'kill {engine}': lambda: kill_and_respawn(deployment, engine),
        'store outage': lambda: inject_store_fault(
            store, {'kind': 'outage'}, rng
        ),
        'store slow': lambda: inject_store_fault(
            store, {'kind': 'slow', 'delay_ms': 600}, rng
        ),
        'store loses answers': lambda: inject_store_fault(
            store, {'kind': 'lose-answers', 'share': 0.5}, rng
        ),
    }


async def freeze_process(deployment, name, rng) -> None:
    """Stop and continue a process; start it again if that ended it."""
    process = deployment.by_name[name]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.5, 9))
    process.send_signal(signal.SIGCONT)
    await asyncio.sleep(0.5)
    if process.poll() is not None:
        deployment.respawn(name)


async def kill_and_respawn(deployment, name) -> None:
    process = deployment.by_name[name]
    process.kill()
    process.wait()
    await asyncio.sleep(1)
    deployment.respawn(name)


async def inject_store_fault(store, body, rng) -> None:
    post_json(f'{store}/standin/fault', body)
    await asyncio.sleep(rng.uniform(1, 6))
    post_json(f'{store}/standin/fault', {'kind': 'none'})


async def inject_faults(deployment, seed, end_s) -> list[str]:
    """Inject one fault after the other; return their names."""
    rng = random.Random(seed)
    injected_faults = []
    while time.monotonic() < end_s:
        await asyncio.sleep(FAULT_PAUSE_S)
        by_name = build_faults(deployment, rng)
        name = rng.choice(sorted(by_name))
        injected_faults.append(name)
        await by_name[name]()
    return injected_faults


def fetch_reported_tokens(deployment) -> int:
    seen = fetch_json(f'{deployment.platform}/standin/seen')
    return sum(
        figures['output_tokens']
        for name, figures in seen['usage_by_window'].items()
        if name.startswith('demo/')
    )


def check_invariants(deployment, tally, uncertain_tokens) -> int:
    """
    Print each invariant; return how many are violated.

    :param uncertain_tokens: tokens that may be reported although no client
        received them, since faults cut their streams off
    """
    broken = 0
    runs: dict[str, int] = {}
    for name in ('service-1', 'service-2'):
        seen = fetch_json(f'{deployment.target_urls[name]}/standin/seen')
        for key, count in seen['runs_by_key'].items():
            runs[key] = runs.get(key, 0) + count
    orders = [
        fetch_json(f'{deployment.target_urls[f"engine-{n}"]}/standin/seen')[
            'orders'
        ]
        for n in range(1, deployment.engine_count + 1)
    ]
    usage = fetch_json(f'{deployment.platform}/standin/seen')['usage']
    reported = fetch_reported_tokens(deployment)
    lines = [
        ('filings that ran twice', sum(n > 1 for n in runs.values()), 0),
        ('filings with differing answers', tally.differing_filings, 0),
        ('texts that differ from the first', tally.differing_texts, 0),
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
    min_tokens = tally.complete_tokens
    is_billed = (
        min_tokens <= reported <= tally.received_tokens + uncertain_tokens
    )
    broken += not is_billed
    print(
        f'{"ok  " if is_billed else "FAIL"} tokens reported: {reported}, '
        f'in whole answers {min_tokens}, in all {tally.received_tokens} '
        f'(+{uncertain_tokens})'
    )
    return broken


async def run_load_and_faults(deployment, seed, seconds, tally) -> list[str]:
    end_s = time.monotonic() + seconds
    words_by_text: dict = {}
    clients = [
        run_stream_client(number, deployment, tally, words_by_text, end_s)
        for number in range(STREAM_CLIENTS)
    ]
    clients += [
        run_filing_client(number, deployment, tally, end_s)
        for number in range(FILING_CLIENTS)
    ]
    injected_faults, *_ = await asyncio.gather(
        inject_faults(deployment, seed, end_s), *clients
    )
    return injected_faults


def wait_for_usage(deployment, min_tokens) -> None:
    """Wait until reported usage stops growing, or until the timeout."""
    end_s = time.monotonic() + USAGE_TIMEOUT_S
    before = -1
    while time.monotonic() < end_s:
        reported = fetch_reported_tokens(deployment)
        if reported >= min_tokens and reported == before:
            return
        before = reported
        time.sleep(2 * WINDOW_MS / 1000)


def main() -> int:
    """Run one seed; return 0 if every invariant held."""
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
        injected_faults = asyncio.run(
            run_load_and_faults(
                deployment, options.seed, options.seconds, tally
            )
        )
        print(f'seed {options.seed}: ' + ', '.join(injected_faults))
        answered = sum(s == 'answered' for s in tally.state_by_filing.values())
        print(
            f'whole answers {tally.complete_answers}, '
            f'failed {tally.failures_by_reason}; '
            f'filings {len(tally.state_by_filing)}, answered {answered}'
        )
        wait_for_usage(deployment, tally.complete_tokens)
        broken = check_invariants(
            deployment,
            tally,
            len(injected_faults) * STREAM_CLIENTS * TOKENS_PER_REQUEST,
        )
        if options.logs:
            for name in sorted(deployment.by_name):
                print(f'--- {name}')
                print(deployment.path(f'{name}.log').read_text()[-4000:])
    print('all held' if not broken else f'{broken} broken')
    return int(bool(broken))


if __name__ == '__main__':
    sys.exit(main())
