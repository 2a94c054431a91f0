"""Starts a deployment with stand-ins for engines, services and platform."""

import json
import signal
import urllib.request

from bench.launch import Fleet, find_free_port

ZONES = ('zone-a', 'zone-b', 'zone-c')

ENTRY_SETTINGS = """
[instance]
name = {name}
zone = {zone}

[log]
format = json

[entry]
port = {port}
drain_grace = 200

[store]
url = {store}

[mesh]
port = {mesh_port}
local_port = {local_port}
seeds = {seeds}

[platform]
url = {platform}

[usage]
window = {window_ms}

[targets]
engine_credential = engine-credential
"""


class Deployment(Fleet):
    """
    Entries and control processes with stand-ins for all outer systems.

    :param engines: number of engine stand-ins
    :param services: number of service stand-ins
    :param window_ms: length of a usage window
    """

    def __init__(
        self, engines: int = 3, services: int = 2, window_ms: int = 60_000
    ) -> None:
        super().__init__()
        self.engine_count = engines
        self.service_count = services
        self.window_ms = window_ms
        self.store = ''
        self.platform = ''
        self.entries: list[str] = []
        self.target_urls: dict[str, str] = {}
        self._platform_instances: list[dict[str, str | int]] = []

    def start(
        self, entry_port: int = 0, entries: int = 2, zones: int = 2
    ) -> None:
        """Start stand-ins, then entries spread over the zones."""
        self.store = self.start_standin('store', 'store')
        self.platform = self.start_standin('platform', 'platform')
        for number in range(1, self.engine_count + 1):
            name = f'engine-{number}'
            self.target_urls[name] = self.start_standin(
                name, 'engine', '--name', name
            )
        for number in range(1, self.service_count + 1):
            name = f'service-{number}'
            self.target_urls[name] = self.start_standin(
                name, 'service', '--name', name
            )
        self.start_entries(entry_port, entries, zones)

    def start_entries(self, entry_port: int, entries: int, zones: int) -> None:
        """Start entries and control processes that form one mesh."""
        mesh_ports = [find_free_port() for _ in range(entries)]
        self._platform_instances = [
            {
                'name': f'entry-{number}',
                'zone': ZONES[(number - 1) % zones],
                'address': '127.0.0.1',
                'port': port,
            }
            for number, port in enumerate(mesh_ports, start=1)
        ]
        self._update_platform()
        seeds = ', '.join(f'127.0.0.1:{port}' for port in mesh_ports)
        for number, mesh_port in enumerate(mesh_ports, start=1):
            port = (
                entry_port if number == 1 and entry_port else find_free_port()
            )
            name = f'entry-{number}'
            settings = ENTRY_SETTINGS.format(
                name=name,
                zone=ZONES[(number - 1) % zones],
                port=port,
                store=self.store,
                mesh_port=mesh_port,
                local_port=find_free_port(),
                seeds=seeds,
                platform=self.platform,
                window_ms=self.window_ms,
            )
            self.start_daemon(name, 'entry', settings)
            self.start_daemon(f'control-{number}', 'control', settings)
            self.entries.append(f'http://127.0.0.1:{port}')
        for number, url in enumerate(self.entries, start=1):
            self.wait_for_url(f'entry-{number}', f'{url}/healthz')

    def terminate(self, name: str, signum: int = signal.SIGTERM) -> int:
        """End a process and remove its entry from the platform's list."""
        code = super().terminate(name, signum)
        self._platform_instances = [
            each for each in self._platform_instances if each['name'] != name
        ]
        self._update_platform()
        return code

    def _update_platform(self) -> None:
        body = json.dumps({'instances': self._platform_instances}).encode()
        url = f'{self.platform}/standin/instances'
        urllib.request.urlopen(
            urllib.request.Request(url, data=body, method='POST')
        ).close()

    def run_operator(self, *arguments: str) -> str:
        """Run an operator command; return its output."""
        return self.run_operator_command(self.store, *arguments)

    def create_demo_rows(self) -> None:
        """Create the rows of the demo workspace; wait until all are ready."""
        run = self.run_operator
        run('workspace', 'create', 'demo')
        run('key', 'create', 'demo', '--key', 'demo-key')
        for name, url in self.target_urls.items():
            kind = 'model' if name.startswith('engine') else 'service'
            run(
                *('target', 'add', name, '--url', url, '--zone', 'zone-a'),
                *('--pool', f'{kind}s', '--kind', kind),
            )
        run('model', 'create', 'demo-model', '--pool', 'models')
        run('table', 'set', 'demo', 'demo-model')
        self.wait_until_ready()

    def wait_until_ready(self) -> None:
        """Wait until each entry reports that it is ready."""
        for number, url in enumerate(self.entries, start=1):
            self.wait_for_url(f'entry-{number}', f'{url}/readyz')
