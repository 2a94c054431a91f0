"""
The command runs each stand-in as a process that answers and ends as ordered.

Benchmarks and tests with processes parse its ready line, inject faults over
HTTP and read the exit status. A stand-in that survives an injected crash would
make those runs pass without the fault.
"""

import contextlib
import json
import os
import signal
import subprocess
import sys
import urllib.error
import urllib.request

import pytest


@pytest.fixture
def start():
    """Yield a function that starts a stand-in as a process."""
    started = []

    def run(*arguments):
        process = subprocess.Popen(
            [sys.executable, '-m', 'cicadahoist.cmd.standin', *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        started.append(process)
        word, port = process.stdout.readline().split()
        assert word == 'ready'
        return process, f'http://127.0.0.1:{port}'

    yield run
    for process in started:
        process.kill()
        process.wait()
        process.stdout.close()


def call(url, body=None):
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(url, data=data) as response:
        return json.loads(response.read() or b'null')


def test_engine_process_exits_on_an_injected_crash(start):
    process, url = start('engine', '--name', 'e1', '--model', 'a')
    models = call(f'{url}/v1/models')
    assert [model['id'] for model in models['data']] == ['a']
    # The process may exit before it sends the answer.
    with contextlib.suppress(urllib.error.URLError, ConnectionError):
        call(f'{url}/standin/fault', {'kind': 'crash'})
    assert process.wait(timeout=30) == 70


def test_service_process_exits_after_executing_the_call(start):
    process, url = start('service')
    call(f'{url}/standin/fault', {'kind': 'die-after'})
    with pytest.raises((urllib.error.URLError, ConnectionError)):
        call(f'{url}/bookings', {'compound': 7})
    assert process.wait(timeout=30) == 70


def test_store_and_platform_processes_answer(start):
    _, store = start('store', '--writes-per-s', '100')
    assert call(f'{store}/names?prefix=') == {}
    _, platform = start(
        'platform',
        '--spare',
        'engine-9,zone-a,http://127.0.0.1:1,300,reclaimable',
        '--instance',
        'instance-1,zone-a,127.0.0.1,8090',
    )
    [instance] = call(f'{platform}/instances')['instances']
    assert instance['port'] == 8090
    order = {'token': '1.1', 'epoch': 1, 'zone': 'zone-a', 'kind': 'buy'}
    order['reclaimable'] = True
    assert call(f'{platform}/target-orders', order)['target'] == 'engine-9'


def test_unknown_fault_is_refused_with_the_known_ones(start):
    _, url = start('service')
    with pytest.raises(urllib.error.HTTPError) as caught:
        call(f'{url}/standin/fault', {'kind': 'fire'})
    assert caught.value.code == 400
    assert 'die-after' in caught.value.read().decode()


def test_stand_in_exits_cleanly_on_sigterm(start):
    process, _ = start('store')
    os.kill(process.pid, signal.SIGTERM)
    assert process.wait(timeout=30) == 0
