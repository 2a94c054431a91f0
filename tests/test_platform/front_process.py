"""Test harness: ``cicadahoist-front`` as a process, beside stand-ins."""

import os
import socket
import sys
import tempfile

import treq
from twisted.internet import error, protocol, reactor
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from soak.platform_pages import CloudStandIn, StoreStandIn
from tests.loopback import LoopbackCase
from tests.test_platform.target_pages import TargetPages

SETTINGS = """
node=front-a-1
zone=zone-a
zones.zone-a=region
ip=127.0.0.1
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
port-range={peer},{peer}
platform.address=127.0.0.1:{store}
cloud.address=127.0.0.1:{cloud}
bounds.grace-s=8
bounds.lease-ms=1000
bounds.report-window-s=1
"""
KEY = 'k1'
ROUTE = {
    'host': 'h.example',
    'timeout-ms': 5000,
    'target-latency-ms': 500,
    'max-attempts': 1,
}


def config(version, keys, limits=None):
    return {
        'version': version,
        'routes': [
            {
                **ROUTE,
                'name': 'submit',
                'path-prefix': '/submit/',
                'kind': 'unsafe',
                'service': 'app',
            },
            {
                **ROUTE,
                'name': 'check',
                'path-prefix': '/check/',
                'kind': 'streaming',
                'service': 'llm',
                'sticky': True,
            },
        ],
        'services': [{'name': 'app'}, {'name': 'llm', 'engine': {}}],
        'limits': limits or {},
        'tenants': [{'name': 'w1', 'api-keys': keys}],
    }


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Program(protocol.ProcessProtocol):
    """Collects the output and the exit status of a process."""

    def __init__(self) -> None:
        self.output = b''
        self.ended = Deferred()

    def outReceived(self, data):
        self.output += data

    def errReceived(self, data):
        self.output += data

    def processEnded(self, reason):
        self.ended.callback(reason.value)


class FrontProcessCase(LoopbackCase):
    """Starts the program with its settings; ends it after each test."""

    timeout = 60
    settings_text = SETTINGS
    limits = {}

    def setUp(self):
        super().setUp()
        self.store = StoreStandIn(reactor)
        self.cloud = CloudStandIn()
        self.targets = TargetPages(reactor)
        ports = {
            'store': self.listen(self.store),
            'cloud': self.listen(self.cloud),
            'front': free_port(),
            'ready': free_port(),
            'peer': free_port(),
        }
        self.store_address = f'127.0.0.1:{ports["store"]}'
        self.front = f'http://127.0.0.1:{ports["front"]}'
        self.ready = f'http://127.0.0.1:{ports["ready"]}'
        address = f'127.0.0.1:{self.listen(self.targets)}'
        for name, service, stage in (
            ('t1', 'app', ''),
            ('p1', 'llm', 'prefill'),
            ('d1', 'llm', 'decode'),
        ):
            entry = {'service': service, 'address': address, 'stage': stage}
            entry['version'] = 'v1'
            entry |= {'state': 'ready', 'zone': 'zone-a', 'slots': 8}
            self.store.put('servers', name, entry)
        self.store.put('config', 'main', config(1, [KEY], self.limits))
        # trial creates its temporary names in the working directory.
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = os.path.join(folder.name, 'boot.conf')
        with open(self.settings, 'w') as settings:
            settings.write(self.settings_text.format(**ports))
        self.addCleanup(self.store.close)
        self.program = self.start_program()

    def listen(self, pages):
        port = reactor.listenTCP(
            0, Site(pages.app.resource()), interface='127.0.0.1'
        )
        self.addCleanup(port.stopListening)
        return port.getHost().port

    def start_program(self):
        program = Program()
        arguments = [sys.executable, '-m', 'cicadahoist.cmd.front']
        arguments += ['--config', 'deploy/front.ini']
        transport = reactor.spawnProcess(
            program,
            sys.executable,
            arguments,
            env={**os.environ, 'CICADAHOIST_CONFIG': self.settings},
            path=os.getcwd(),
        )
        self.addCleanup(self.kill, program, transport)
        return program

    async def kill(self, program, transport):
        if not program.ended.called:
            transport.signalProcess('KILL')
            await program.ended

    async def get(self, url):
        try:
            return (await treq.get(url, persistent=False)).code
        except (error.ConnectError, error.ConnectionLost):
            return None

    async def until_ready(self):
        while await self.get(f'{self.ready}/cicadahoist/ready') != 200:
            await self.clock.sleep(50)

    async def post(self, path, key=KEY, body=b'body', **headers):
        response = await treq.post(
            f'{self.front}{path}',
            body,
            headers={
                'Host': 'h.example',
                'X-Cicadahoist-Attempt-Id': f'a{len(self.targets.seen)}',
                'Authorization': f'Token {key}',
                **headers,
            },
            persistent=False,
        )
        return response.code, await response.content()
