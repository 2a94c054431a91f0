"""The program of the deploy file as processes, one for each machine."""

import asyncio
import os
import signal
import subprocess
import time
import tomllib
from pathlib import Path

from review.stand_ins_2.http import Connection, find_free_port

ROOT = Path(__file__).resolve().parents[2]
# Delay after which the platform starts a process again.
RESTART_S = 0.5
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
listen.front={host}:{port}
listen.ready={host}:{ready}
port-range={peer},{peer}
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
bounds.drain-ms=2000
bounds.grace-s=8
bounds.config-ms=2000
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
bounds.usage-late-s=10
platform.address=127.0.0.1:{store}
platform.form=objects
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
cloud.address=127.0.0.1:{cloud}
cloud.rate-per-s=50.0
cloud.duties=usage_report,autoscale
cloud.duty-per-s=50.0
"""


def _restore_hangup():
    """Give SIGHUP its default action, whatever started the script."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def read_command():
    """Return the command of the program that carries the traffic."""
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return deploy['roles']['front']['run'].split(' ')


class Front:
    """
    One machine, whose process the platform starts again when it ends.

    :param folder: temporary folder for the settings and the log
    :param record: writes what happens
    """

    def __init__(self, number, zone, folder, store_port, cloud_port, record):
        self.name = f'front-{zone}-{number}'
        # An address of its own, so that no other socket takes its ports
        # while the process is down.
        self.host = f'127.{64 + os.getpid() // 256 % 64}.{os.getpid() % 256}.{number + 1}'
        self.port = find_free_port()
        self.ready_port = find_free_port()
        self._record = record
        self._settings = folder / f'{self.name}.conf'
        self._log = (folder / f'{self.name}.log').open('wb')
        self._process = None
        self._is_stopped = False
        self._is_expected = False
        self.started_s = 0.0
        # Times at which the process ended although nobody stopped it.
        self.own_ends = []
        # Times of starts and of signals that stop it.
        self.disturbed_s = []
        self._watch = None
        self.write_settings(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=zone,
                port=self.port,
                ready=self.ready_port,
                peer=find_free_port(),
                store=store_port,
                cloud=cloud_port,
            )
        )

    def write_settings(self, text):
        """Replace the settings file at once."""
        new = self._settings.with_suffix('.new')
        new.write_text(text)
        new.replace(self._settings)

    def touch_settings(self):
        """Write a change that the program may ignore."""
        text = self._settings.read_text()
        self.write_settings(f'{text}note.change={time.time_ns()}\n')

    def start(self):
        """Start the process, and start it again whenever it ends."""
        self._launch()
        self._watch = asyncio.ensure_future(self._keep_running())

    def signal(self, number):
        """Send a signal to the process; return whether it still ran."""
        if self._process is None or self._process.poll() is not None:
            return False
        self._process.send_signal(number)
        return True

    def read_memory_mb(self):
        """Return the memory that the process has taken, without its files."""
        path = Path(f'/proc/{self._process.pid}/status')
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return 0
        taken = [line for line in lines if line.startswith('RssAnon:')]
        return int(taken[0].split()[1]) / 1024 if taken else 0

    async def restart(self):
        """Stop by SIGTERM, SIGKILL after the grace; return once it is back."""
        self._is_expected = True
        process = self._process
        self._record(f'{self.name}: SIGTERM')
        self.disturbed_s.append(time.monotonic())
        self.signal(signal.SIGTERM)
        end_s = time.monotonic() + 8
        while process.poll() is None and time.monotonic() < end_s:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
        while self._process is process:
            await asyncio.sleep(0.02)
        self._is_expected = False

    async def stop(self):
        """End the process for good."""
        self._is_stopped = True
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        if self._watch is not None:
            self._watch.cancel()
        self._log.close()

    async def is_ready(self):
        """Return whether the readiness check answers 200."""
        connection = Connection(self.ready_port, self.host)
        status, _, _ = await connection.call(
            'GET', '/cicadahoist/ready', {'Host': 'x'}, timeout_s=1
        )
        connection.close()
        return status == 200

    async def wait_ready(self, timeout_s=30):
        """Wait until it is ready; return whether it is in time."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def _launch(self):
        variables = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        variables['CICADAHOIST_CONFIG'] = str(self._settings)
        variables['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        variables['PYTHONDONTWRITEBYTECODE'] = '1'
        self._process = subprocess.Popen(
            read_command(),
            cwd=ROOT,
            env=variables,
            stdout=self._log,
            stderr=self._log,
            preexec_fn=_restore_hangup,
        )
        self.started_s = time.monotonic()
        self.disturbed_s.append(self.started_s)
        self._record(f'{self.name}: process {self._process.pid} started')

    async def _keep_running(self):
        while not self._is_stopped:
            await asyncio.sleep(0.01)
            if self._process.poll() is None:
                continue
            code = self._process.returncode
            self._record(f'{self.name}: process ended with {code}')
            if not self._is_expected:
                self.own_ends.append(time.monotonic())
            await asyncio.sleep(RESTART_S)
            if not self._is_stopped:
                self._launch()
