"""A small deployment: platform, workers and machines, with a record."""

import asyncio
import sys
import tempfile
import time
from itertools import count
from pathlib import Path

from review.stand_ins_2.front import Front
from review.stand_ins_2.http import Connection
from review.stand_ins_2.platform import Cloud, Store
from review.stand_ins_2.worker import Worker

ZONES = ('karratha', 'hedland', 'newman')
HOST = 'ficu95.example'
KEPT = 0
BROKEN = 1
NOT_RUN = 2


class Record:
    """Writes lines with the time since the start to a file."""

    def __init__(self, path):
        self._file = path.open('w')
        self._began_s = time.monotonic()

    def __call__(self, text):
        """Write a line."""
        passed_s = time.monotonic() - self._began_s
        self._file.write(f'{passed_s:9.3f} {text}\n')
        self._file.flush()


class Deployment:
    """Store, duty interface, workers of one service and three machines."""

    def __init__(self, record, folder, worker_count=3, **options):
        self.record = record
        self._folder = Path(folder)
        self._numbers = count(1)
        self.store = Store()
        self.cloud = Cloud()
        self.runs = []
        self.keys = {'huka270': ['keyone'], 'puhu251': ['keytwo']}
        self._version = 0
        self.workers = [
            Worker(
                self.store,
                number,
                ZONES[number % 3],
                self._note_run,
                **options,
            )
            for number in range(worker_count)
        ]
        self.fronts = []

    async def start(self):
        """Start everything; return whether all machines become ready."""
        await self.store.server.start()
        await self.cloud.server.start()
        self.write_config()
        for worker in self.workers:
            await worker.start()
        for number, zone in enumerate(ZONES):
            front = Front(
                number,
                zone,
                self._folder,
                self.store.server.port,
                self.cloud.server.port,
                self.record,
            )
            self.fronts.append(front)
            front.start()
        ready = await asyncio.gather(
            *(front.wait_ready() for front in self.fronts)
        )
        self.record(f'machines ready: {ready}')
        return all(ready)

    async def stop(self):
        """End all processes and servers."""
        for front in self.fronts:
            await front.stop()
        for worker in self.workers:
            worker.server.stop()
        self.store.server.stop()
        self.cloud.server.stop()
        # Lets the connections end before the event loop does.
        await asyncio.sleep(0.5)

    def write_config(self):
        """Write a configuration with the present keys; return its time."""
        self._version += 3
        routes = [
            _build_route('book', 'unsafe', 1),
            _build_route('look', 'safe', 1),
            _build_route('chat', 'unsafe', 1, 15000),
        ]
        config = {
            'version': self._version,
            'routes': routes,
            'services': [
                {
                    'name': 'desk',
                    'health-path': '/health',
                    'max-conns': 96,
                    'protocol': 'h1',
                    'tls': False,
                }
            ],
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 4194304,
                'header-timeout-ms': 3000,
                'idle-timeout-ms': 15000,
            },
            'tenants': [
                {'name': tenant, 'api-keys': keys, 'priority': 1}
                for tenant, keys in self.keys.items()
            ],
        }
        self.store.put('config', 'main', config)
        self.record(f'configuration {self._version}: keys {self.keys}')
        return time.monotonic()

    def draw_id(self):
        """Return an id for a client attempt."""
        return f'{next(self._numbers):016x}'

    async def call(self, connection, route, key, body=b'', attempt=None):
        """Send a client attempt over a connection; return id and status."""
        attempt = attempt or self.draw_id()
        headers = {
            'Host': HOST,
            'X-Cicadahoist-Attempt-Id': attempt,
            'X-Cicadahoist-Deadline-Ms': '4000',
            'Authorization': f'Token {key}',
        }
        method = 'POST' if body else 'GET'
        status, _, _ = await connection.call(
            method, f'/{route}/2f', headers, body, timeout_s=4
        )
        return attempt, status

    async def call_once(self, front, route, key, body=b''):
        """Send a client attempt over a new connection."""
        connection = Connection(front.port, front.host)
        outcome = await self.call(connection, route, key, body)
        connection.close()
        return outcome

    def _note_run(self, worker, attempt):
        self.runs.append((time.monotonic(), attempt))
        self.record(f'{attempt} runs at worker {worker.name}')


def _build_route(name, kind, attempts, timeout_ms=4000):
    return {
        'name': f'r-{name}',
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': timeout_ms,
        'target-latency-ms': 400,
        'priority': 2,
        'service': 'desk',
        'max-attempts': attempts,
        'public': False,
        'sticky': False,
        'resumable': False,
    }


def play(path, scenario):
    """
    Run a scenario and exit with its verdict.

    :param path: path of the script, beside which the record is written
    :param scenario: coroutine function of the record and a folder
    """
    folder = Path(path).resolve().parent
    record = Record(folder / 'record.txt')
    with tempfile.TemporaryDirectory() as temporary:
        try:
            verdict = asyncio.run(scenario(record, Path(temporary)))
        except Exception as error:
            record(f'could not run: {error!r}')
            verdict = NOT_RUN
    record(f'exit status {verdict}')
    sys.exit(verdict)
