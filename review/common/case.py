"""A case: the processes that it starts, its record and its verdict."""

import asyncio
import itertools
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

from common.platform import Duties, Store
from common.web import Connection

ROOT = Path(__file__).resolve().parent.parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = 'ficu95.example'
KEY = '2b9wu3fexd9dnn2ctnfz'
TENANT = 'huka270'
ZONES = ('karratha', 'hedland', 'newman')
START_LIMIT_S = 25
PLAY_LIMIT_S = 105
PORT_TRIES = 200
PORT_RANGE = 16

# Bounds and limits of the sheet of pyg-yardhire.
SETTINGS = """node={name}
role=front
machine-class=front
serves=front
ip={host}
zone={zone}
region=wa-north
zones.karratha=wa-north
zones.hedland=wa-north
zones.newman=wa-north
listen.front={host}:{front}
listen.ready={host}:{ready}
port-range={peer},{last_peer}
bootstrap=true
limits.cpu-share=0.537
limits.cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
discovery=platform
entry=vip
heartbeat-ms=1200
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-ms=2000
bounds.rollback-slack-ms=250
bounds.skew-ms=5000
bounds.strict-revoke=true
bounds.revoke-ms=5000
bounds.retry-ratio=0.2
bounds.retry-window-s=10
bounds.retry-slack=52
bounds.require-fence=false
bounds.lease-ms=3000
bounds.thaw-ms=300
bounds.report-window-s=5
bounds.usage-off=0.05
bounds.usage-late-s=10
bounds.recover-s=12
bounds.transit-ms=120
bounds.again-s=3
platform.address={store}
platform.form=objects
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
cloud.address={cloud}
cloud.rate-per-s=50.0
cloud.duties=usage_report,autoscale
cloud.duty-per-s=50.0
"""

ROUTES = [
    {
        'name': 'yard-chat',
        'host': HOST,
        'path-prefix': '/chat/',
        'kind': 'streaming',
        'timeout-ms': 15000,
        'target-latency-ms': 250,
        'priority': 1,
        'service': 'yard-llm',
        'max-attempts': 1,
        'public': False,
        'sticky': True,
        'resumable': False,
        'gap-aim-ms': 150,
    },
    {
        'name': 'compound-book',
        'host': HOST,
        'path-prefix': '/book/',
        'kind': 'unsafe',
        'timeout-ms': 2000,
        'target-latency-ms': 300,
        'priority': 2,
        'service': 'hire-desk',
        'max-attempts': 1,
        'public': False,
        'sticky': False,
    },
]
SERVICES = [
    {
        'name': 'yard-llm',
        'health-path': '/health',
        'max-conns': 230,
        'protocol': 'h1',
        'tls': False,
        'engine': {
            'slots': 32,
            'kv-capacity-tokens': 232000,
            'token-kv-bytes': 327680,
            'kv-hold-s': 5.0,
            'role-switch-s': 3.0,
        },
    },
    {
        'name': 'hire-desk',
        'health-path': '/health',
        'max-conns': 96,
        'protocol': 'h1',
        'tls': False,
    },
]


def build_configuration(version=7, keys=(KEY,)):
    """Return the configuration of a small deployment."""
    return {
        'version': version,
        'routes': ROUTES,
        'services': SERVICES,
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api-keys': [*keys], 'priority': 1}],
    }


class NotRunError(Exception):
    """The case could not run."""


class Front:
    """
    An instance of the program, started as the deploy file says.

    :param case: the case
    :param number: number of the machine, from 1
    """

    def __init__(self, case, number):
        zone = ZONES[(number - 1) % len(ZONES)]
        self.name = f'front-{zone}-{number}'
        self.zone = zone
        self.host = f'127.0.0.{10 + number}'
        self.port = find_port(self.host)
        self.ready_port = find_port(self.host)
        peer = find_port(self.host, PORT_RANGE)
        self.settings = case.folder / f'{self.name}.conf'
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=zone,
                host=self.host,
                front=self.port,
                ready=self.ready_port,
                peer=peer,
                last_peer=peer + PORT_RANGE - 1,
                store=case.store.address,
                cloud=case.duties.address,
            )
        )
        self._case = case
        self.process = None

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        variables = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        variables['CICADAHOIST_CONFIG'] = str(self.settings)
        variables['PYTHONPATH'] = str(ROOT / 'target/deps')
        variables['PYTHONDONTWRITEBYTECODE'] = '1'
        log = (self._case.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            deploy['roles']['front']['run'].split(),
            cwd=ROOT,
            env=variables,
            stdout=log,
            stderr=log,
        )
        self._case.record(self.name, 'is started')

    def signal(self, number):
        """Send a signal to the process."""
        self._case.record(self.name, f'gets {signal.Signals(number).name}')
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the instance says that it is ready."""
        probe = Connection(self.host, self.ready_port)
        answer = await probe.send(
            'GET', '/cicadahoist/ready', {'Host': self.host}
        )
        probe.close()
        return answer.status == 200

    async def wait_until_ready(self):
        """Wait until the instance takes requests."""
        end_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end_s:
            if self.process.poll() is not None:
                raise NotRunError(f'{self.name} has ended')
            if await self.is_ready():
                self._case.record(self.name, 'is ready')
                return
            await asyncio.sleep(0.1)
        raise NotRunError(f'{self.name} is not ready')

    def connect(self):
        """Return a client's connection to the instance."""
        connection = Connection(self.host, self.port)
        self._case.connections.append(connection)
        return connection


class Case:
    """
    Stand-ins, instances and the record of one case.

    :param folder: folder of the case
    """

    def __init__(self, folder):
        self.rng = random.Random(int(os.environ.get('SEED', '1')))
        self._began_s = time.monotonic()
        self._lines = []
        self._path = Path(folder) / 'record.txt'
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._ids = itertools.count(1)
        self._prefix = f'{random.getrandbits(40):010x}'
        self.store = Store(self.record)
        self.duties = Duties(self.record, self.now_s)
        self.fronts = []
        self.connections = []

    def now_s(self):
        """Return the time since the start of the case."""
        return time.monotonic() - self._began_s

    def record(self, who, what):
        """Add a line to the record."""
        self._lines.append(f'{self.now_s():8.3f} {who}: {what}')

    def new_attempt(self):
        """Return the id of a new attempt of a client."""
        return f'{self._prefix}{next(self._ids):06x}'

    async def start_platform(self):
        """Start the store with a configuration, and the duties' interface."""
        await self.store.start()
        await self.duties.start()
        self.store.put('config', 'main', build_configuration())

    async def start_fronts(self, count):
        """Start instances and wait until they are ready."""
        for number in range(1, count + 1):
            front = Front(self, number)
            self.fronts.append(front)
            front.start()
        for front in self.fronts:
            await front.wait_until_ready()

    async def book(self, connection, key=KEY, booking='1'):
        """Send a booking, which may run once; return its id and answer."""
        attempt = self.new_attempt()
        headers = {
            'Host': HOST,
            'X-Cicadahoist-Attempt-Id': attempt,
            'X-Cicadahoist-Deadline-Ms': 4000,
            'Authorization': f'Token {key}',
        }
        self.record('client', f'books {booking} as {attempt}')
        answer = await connection.send(
            'POST', f'/book/{booking}', headers, b'{}'
        )
        kind = 'whole' if answer.is_whole else 'cut'
        self.record('client', f'{attempt} gets {answer.status} {kind}')
        return attempt, answer

    async def chat(self, connection, tokens, prompt_tokens=220):
        """Send a request for a stream; return its id and answer."""
        attempt = self.new_attempt()
        headers = {
            'Host': HOST,
            'X-Cicadahoist-Attempt-Id': attempt,
            'X-Cicadahoist-Deadline-Ms': 15000,
            'X-Cicadahoist-Model': 'm',
            'X-Cicadahoist-Token-Count': f'{prompt_tokens},{tokens}',
            'X-Cicadahoist-Prompt-Prefix': (
                f'5c1e07a2:79,{attempt}:{prompt_tokens - 79}'
            ),
            'X-Cicadahoist-Length-Hint': tokens,
            'Authorization': f'Token {KEY}',
        }
        self.record('client', f'asks {attempt} for {tokens} events')
        answer = await connection.send('POST', '/chat/1', headers, b'{}')
        kind = 'whole' if answer.is_whole else 'cut'
        count = answer.body.count(b'id: ')
        self.record(
            'client', f'{attempt} gets {answer.status} {kind}, {count} events'
        )
        return attempt, answer

    def end_fronts(self):
        """End all processes of the case."""
        for front in self.fronts:
            if front.process is not None and front.process.poll() is None:
                front.process.send_signal(signal.SIGCONT)
                front.process.kill()
                front.process.wait()

    def close(self, verdict):
        """End all processes and write the record."""
        self.end_fronts()
        self._lines.append(f'exit code {verdict}')
        self._path.write_text('\n'.join([*self._lines, '']))
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for log in self.folder.glob('*.log'):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


async def _play(case, play):
    try:
        return await asyncio.wait_for(play(case), PLAY_LIMIT_S)
    finally:
        for connection in case.connections:
            connection.close()
        case.end_fronts()
        # Stand-ins end after they have noticed the closed connections.
        await asyncio.sleep(0.3)
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def find_port(host, count=1):
    """Return the first of some consecutive ports that are free."""
    for _ in range(PORT_TRIES):
        first = random.randrange(20000, 32000)
        if all(_is_free(host, first + offset) for offset in range(count)):
            return first
    raise NotRunError(f'no free ports on {host}')


def _is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def run(folder, play):
    """
    Play a case and exit with its verdict.

    :param folder: folder of the case
    :param play: coroutine that plays it and returns what broke the rule
    """
    case = Case(folder)
    verdict = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        broken = asyncio.run(_play(case, play))
        for line in broken:
            case.record('verdict', line)
        case.record('verdict', f'{len(broken)} violations')
        print(f'{len(broken)} violations', *broken[:3], sep='\n')
        verdict = BROKEN if broken else HELD
    except Exception:
        case.record('case', traceback.format_exc())
        print(traceback.format_exc())
    finally:
        case.close(verdict)
    sys.exit(verdict)
