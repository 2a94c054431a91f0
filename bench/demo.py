"""Runs the main jobs of both deployments on stand-ins through two entries."""

import sys
import threading
import time
import urllib.error
import urllib.request

import msgspec
import openai

from bench.deployment import Deployment

LEDGER_LINES = 2000
WINDOW_MS = 4000
REPORT_TIMEOUT_S = 40
QUESTIONS = 8
FIRST_TOKEN_GOAL_MS = 480

TABLE_ROWS = [
    ('tayside-helpline', 'demo-model', 'weight=4', 'priority=0'),
    (
        'tayside-ledgers',
        'demo-model',
        'weight=1',
        'priority=5',
        'deadline_ms=120000',
        'first_token_ms=60000',
    ),
    ('tayside-ledgers', 'filing', 'deadline_ms=10000'),
    ('pilbara-yards', 'yards', 'deadline_ms=2000'),
    ('pilbara-yards', 'bookings', 'deadline_ms=10000'),
]
WORKSPACES = ('tayside-helpline', 'tayside-ledgers', 'pilbara-yards')


class Check:
    """Prints the result of each check and counts the failed ones."""

    def __init__(self) -> None:
        self.failed_count = 0

    def expect(self, is_ok: bool, text: str) -> None:
        self.failed_count += not is_ok
        print(f'{"ok  " if is_ok else "FAIL"} {text}', flush=True)


def create_rows(deployment: Deployment) -> None:
    run = deployment.run_operator
    for workspace in WORKSPACES:
        run('workspace', 'create', workspace)
        run('key', 'create', workspace, '--key', f'key-of-{workspace}')
    for name, url in deployment.target_urls.items():
        kind = 'model' if name.startswith('engine') else 'service'
        run(
            *('target', 'add', name, '--url', url, '--zone', 'zone-a'),
            *('--pool', f'{kind}s', '--kind', kind),
        )
    run('model', 'create', 'demo-model', '--pool', 'models')
    service = ('--pool', 'services', '--kind', 'service')
    run('route', 'create', 'filing', *service, '--unrepeatable')
    run('route', 'create', 'bookings', *service, '--unrepeatable')
    run('route', 'create', 'yards', *service)
    for row in TABLE_ROWS:
        run('table', 'set', *row)
    deployment.wait_until_ready()
    time.sleep(1)


def create_client(url: str, workspace: str) -> openai.OpenAI:
    return openai.OpenAI(
        base_url=f'{url}/v1', api_key=f'key-of-{workspace}', max_retries=0
    )


def stream_chat(url: str, workspace: str, text: str, tokens: int):
    """Return the time to first token in ms and the finish reason."""
    sent_s = time.perf_counter()
    first_token_ms = 0.0
    reason = None
    stream = create_client(url, workspace).chat.completions.create(
        model='demo-model',
        messages=[{'role': 'user', 'content': text}],
        max_tokens=tokens,
        stream=True,
    )
    for chunk in stream:
        first_token_ms = first_token_ms or (time.perf_counter() - sent_s) * 1000
        reason = chunk.choices[0].finish_reason or reason
    return first_token_ms, reason


def call_service(url: str, workspace: str, method: str, path: str, **options):
    """Call a service; return status and decoded body."""
    request = urllib.request.Request(
        f'{url}/services/{path}',
        method=method,
        data=options.get('body'),
        headers={
            'Authorization': f'Bearer key-of-{workspace}',
            **options.get('headers', {}),
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.status, msgspec.json.decode(answer.read())
    except urllib.error.HTTPError as refused:
        return refused.code, msgspec.json.decode(refused.read())


def run_tayside(deployment: Deployment, check: Check) -> None:
    """Read a long ledger beside short questions; send a filing twice."""
    print('Tayside: a nightly ledger and the helpline beside it')
    ledgers: list = []
    text = '\n'.join(
        f'{line};site 7;inert;{line % 40} t' for line in range(LEDGER_LINES)
    )
    ledger_thread = threading.Thread(
        target=lambda: ledgers.append(
            stream_chat(deployment.entries[0], 'tayside-ledgers', text, 40)
        )
    )
    ledger_thread.start()
    first_tokens_ms = []
    for number in range(QUESTIONS):
        url = deployment.entries[number % len(deployment.entries)]
        first_token_ms, reason = stream_chat(
            url, 'tayside-helpline', f'Which band is question {number}?', 20
        )
        first_tokens_ms.append(first_token_ms)
        check.expect(reason is not None, f'question {number}: whole answer')
    ledger_thread.join()
    worst_ms = max(first_tokens_ms)
    check.expect(
        worst_ms <= FIRST_TOKEN_GOAL_MS,
        f'helpline: worst first token {worst_ms:.0f} ms '
        f'(goal {FIRST_TOKEN_GOAL_MS})',
    )
    check.expect(bool(ledgers and ledgers[0][1]), 'ledger: whole answer')
    check_sent_twice(deployment, check, 'tayside-ledgers', 'filing/returns')


def run_pilbara(deployment: Deployment, check: Check) -> None:
    """Send yard checks, and a booking twice."""
    print('Pilbara: yard checks and a booking sent twice')
    for number in range(3):
        url = deployment.entries[number % len(deployment.entries)]
        status, _ = call_service(url, 'pilbara-yards', 'GET', f'yards/{number}')
        check.expect(status == 200, f'yard check {number}: {status}')
    check_sent_twice(deployment, check, 'pilbara-yards', 'bookings/compound-4')


def check_sent_twice(deployment, check, workspace, path) -> None:
    """Check that a request sent through both entries runs once."""
    headers = {'Idempotency-Key': f'once-{path}'}
    answers = [
        call_service(
            url, workspace, 'POST', path, body=b'once', headers=headers
        )
        for url in deployment.entries
    ]
    runs = 0
    for name, url in deployment.target_urls.items():
        if name.startswith('service'):
            with urllib.request.urlopen(f'{url}/standin/seen') as answer:
                seen = msgspec.json.decode(answer.read())
            runs += seen['runs_by_key'].get(f'once-{path}', 0)
    check.expect(
        answers[0] == answers[1] and runs == 1,
        f'{path}: sent through both entries, same answer, ran {runs} time(s)',
    )


def check_usage(deployment: Deployment, check: Check) -> None:
    """Check that the platform receives the usage of the questions."""
    print('Usage reports')
    expected = QUESTIONS * 20
    reported: dict = {}
    deadline_s = time.monotonic() + REPORT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with urllib.request.urlopen(
            f'{deployment.platform}/standin/seen'
        ) as answer:
            reported = msgspec.json.decode(answer.read())
        if sum_output_tokens(reported, 'tayside-helpline') >= expected:
            break
        time.sleep(0.5)
    tokens = sum_output_tokens(reported, 'tayside-helpline')
    check.expect(
        tokens == expected,
        f'helpline: {tokens} output tokens reported, {expected} received',
    )


def sum_output_tokens(reported: dict, workspace: str) -> int:
    """Return the output tokens reported for a workspace."""
    return sum(
        figures['output_tokens']
        for name, figures in reported['usage_by_window'].items()
        if name.startswith(f'{workspace}/')
    )


def check_withdrawn_key(deployment: Deployment, check: Check) -> None:
    """Check that every entry refuses a withdrawn key."""
    print('A withdrawn key')
    deployment.run_operator(
        'key', 'withdraw', *find_key_digests(deployment, 'pilbara-yards')
    )
    withdrawn_s = time.monotonic()
    for url in deployment.entries:
        status = 200
        while status == 200 and time.monotonic() - withdrawn_s < 10:
            status, _ = call_service(url, 'pilbara-yards', 'GET', 'yards/1')
        elapsed_s = time.monotonic() - withdrawn_s
        check.expect(
            status == 401 and elapsed_s <= 3,
            f'refused with {status} after {elapsed_s:.2f} s (goal 3 s)',
        )


def find_key_digests(deployment: Deployment, workspace: str) -> list[str]:
    listed = msgspec.json.decode(
        deployment.run_operator('key', 'list', '--output', 'json')
    )
    return [key['digest'] for key in listed if key['workspace'] == workspace]


def main() -> int:
    """Run the demonstration; return 0 if all checks passed."""
    check = Check()
    with Deployment(window_ms=WINDOW_MS) as deployment:
        print('starting stand-ins and two entries', flush=True)
        deployment.start()
        create_rows(deployment)
        run_tayside(deployment, check)
        run_pilbara(deployment, check)
        check_usage(deployment, check)
        check_withdrawn_key(deployment, check)
        print('leaving: SIGTERM to both entries')
        for name in ('entry-1', 'entry-2'):
            check.expect(
                deployment.terminate(name) == 0, f'{name}: exit code 0'
            )
    print(
        'all well' if not check.failed_count else f'{check.failed_count} failed'
    )
    return int(bool(check.failed_count))


if __name__ == '__main__':
    sys.exit(main())
