"""Instances of the program as processes, each behind its own proxies."""

import os
import signal
import socket
import sys
from contextlib import suppress
from pathlib import Path

from twisted.internet import protocol

from bench.launch import find_free_port
from soak.duties import LEASE_MS
from soak.promises import DRAIN_MS, GRACE_MS, REVOKE_MS
from soak.proxy import HOST, Link

ROOT = Path(__file__).resolve().parent.parent
RESTART_S = 0.4
# Longest time from SIGTERM until the process is gone.
ENDING_MS = GRACE_MS + 1000
SETTINGS = """
node={name}
zone={zone}
zones.zone-a=region
zones.zone-b=region
ip=127.0.0.1
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
port-range={peer},{peer}
platform.address=127.0.0.1:{store}
cloud.address=127.0.0.1:{cloud}
bounds.grace-s={grace_s}
bounds.drain-ms={drain_ms}
bounds.revoke-ms={revoke_ms}
bounds.lease-ms={lease_ms}
bounds.report-window-s=3
bounds.usage-late-s=8
bounds.retry-ratio=0.2
bounds.retry-window-s=10
bounds.retry-slack=60
"""


class _Process(protocol.ProcessProtocol):
    def __init__(self, instance) -> None:
        self._instance = instance

    def outReceived(self, data) -> None:
        self._instance.log.write(data)

    def errReceived(self, data) -> None:
        self._instance.log.write(data)

    def processEnded(self, reason) -> None:
        self._instance.handle_process_end()


class Instance:
    """
    Instance whose process is restarted when it ends.

    :param world: the deployment
    :param number: number of the instance, from 0
    :param zone: zone of the instance
    :param folder: folder for settings and logs
    :param root: folder of the program that it runs
    """

    def __init__(
        self, world, number: int, zone: str, folder: Path, root: Path = ROOT
    ) -> None:
        self.world = world
        self._root = root
        self.name = f'front-{zone}-{number}'
        self.zone = zone
        self.terminated_ms: int | None = None
        self.is_stopped = False
        self.front_port, self._ready = find_free_port(), find_free_port()
        self.callers = Link(world.reactor, self.front_port)
        self.store = Link(world.reactor, world.listen_for_store(self.name))
        self.cloud = Link(world.reactor, world.cloud_port)
        self.log = (folder / f'{self.name}.log').open('ab')
        self._settings = folder / f'{self.name}.conf'
        self._process = None
        self._write_settings(find_peer_port())

    def start(self) -> None:
        if self.is_stopped:
            return
        arguments = [sys.executable, '-m', 'cicadahoist.cmd.front']
        arguments += ['--config', 'deploy/front.ini']
        variables = {
            **os.environ,
            'CICADAHOIST_CONFIG': str(self._settings),
            'PYTHONPATH': str(self._root),
        }
        self._process = self.world.reactor.spawnProcess(
            _Process(self),
            sys.executable,
            arguments,
            variables,
            str(self._root),
        )

    def handle_process_end(self) -> None:
        self.log.flush()
        if self.is_stopped:
            return
        self.world.reactor.callLater(RESTART_S, self.start)

    def signal(self, name: str) -> None:
        """Send a signal to the current process of the instance."""
        if self._process is None or self._process.pid is None:
            return
        try:
            os.kill(self._process.pid, getattr(signal, f'SIG{name}'))
        except ProcessLookupError:
            return

    def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        self.terminated_ms = self.world.now_ms()
        self.signal('TERM')
        process = self._process
        self.world.reactor.callLater(
            GRACE_MS / 1000, self._kill_if_running, process
        )

    def is_ending(self, at_ms: int) -> bool:
        """Return whether a process of the instance may be leaving."""
        return (
            self.terminated_ms is not None
            and self.terminated_ms > at_ms - ENDING_MS
        )

    def reload(self) -> None:
        self._settings.write_text(self._settings.read_text())
        self.signal('HUP')

    def stop(self) -> None:
        self.is_stopped = True
        self.signal('CONT')
        self.signal('KILL')
        for link in (self.callers, self.store, self.cloud):
            link.stop()

    @property
    def ready_url(self) -> str:
        return f'http://{HOST}:{self._ready}/cicadahoist/ready'

    def _kill_if_running(self, process) -> None:
        if process is self._process and process.pid is not None:
            self.world.promises.record_disturbance(self.name)
            os.kill(process.pid, signal.SIGKILL)

    def _write_settings(self, peer_port: int) -> None:
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                front=self.front_port,
                ready=self._ready,
                peer=peer_port,
                store=self.store.port,
                cloud=self.cloud.port,
                grace_s=GRACE_MS // 1000,
                drain_ms=DRAIN_MS,
                revoke_ms=REVOKE_MS,
                lease_ms=LEASE_MS,
            )
        )


def find_peer_port() -> int:
    """Return a port that is free for datagrams and for the relay."""
    while True:
        port = find_free_port()
        with socket.socket(type=socket.SOCK_DGRAM) as probe:
            with suppress(OSError):
                probe.bind((HOST, port))
                return port
