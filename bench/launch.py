"""Starts and ends processes of the system and stand-ins on loopback."""

import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from contextlib import suppress
from pathlib import Path

START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 20
POLL_S = 0.05
ROOT = Path(__file__).resolve().parent.parent
# Below the range from which Linux chooses ports by default.
PORTS = (15_000, 32_000)


def find_free_port(kind: int = socket.SOCK_STREAM) -> int:
    """
    Return a port that is free at the time of the call.

    It is none of those that the kernel gives to sockets without a port of their
    own: such a socket could take it before the process that is to listen on it.
    """
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        with socket.socket(type=kind) as probe:
            with suppress(OSError):
                probe.bind(('127.0.0.1', port))
                return port


class Fleet:
    """Processes of one deployment and a temporary directory for their files."""

    def __init__(self) -> None:
        self.directory = tempfile.TemporaryDirectory()
        self.by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.port_by_name: dict[str, int] = {}
        self._command_by_name: dict[str, tuple[str, ...]] = {}

    def __enter__(self) -> 'Fleet':
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def path(self, name: str) -> Path:
        return Path(self.directory.name) / name

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Start a process that logs to ``NAME.log`` in the directory."""
        self._command_by_name[name] = (module, *arguments)
        log = self.path(f'{name}.log').open('ab')
        self.by_name[name] = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
            stdout=log,
            stderr=log,
        )

    def respawn(self, name: str) -> None:
        """Start a process again with its previous arguments."""
        self.spawn(name, *self._command_by_name[name])

    def start_standin(self, name: str, kind: str, *arguments: str) -> str:
        """Start a stand-in, wait until it is ready and return its URL."""
        port = find_free_port()
        self.spawn(
            name,
            'cicadahoist.cmd.standin',
            kind,
            '--port',
            str(port),
            *arguments,
        )
        self.port_by_name[name] = port
        self.wait_for_text(name, 'ready')
        return f'http://127.0.0.1:{port}'

    def start_daemon(self, name: str, program: str, settings: str) -> None:
        """Start a daemon with the given settings."""
        path = self.path(f'{name}.ini')
        path.write_text(settings)
        self.spawn(name, f'cicadahoist.cmd.{program}', '--config', str(path))

    def run_operator_command(self, store_url: str, *arguments: str) -> str:
        """
        Run an operator command.

        :return: its standard output
        :raises RuntimeError: the command failed
        """
        completed = subprocess.run(
            [
                sys.executable,
                '-m',
                'cicadahoist.cmd.operator',
                '--store-url',
                store_url,
                *arguments,
            ],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
            capture_output=True,
            text=True,
            check=False,
        )
        if completed.returncode:
            raise RuntimeError(
                f'{arguments}: {completed.stdout}{completed.stderr}'
            )
        return completed.stdout

    def wait_for_text(self, name: str, text: str) -> None:
        """Wait until the log of a process contains a text."""
        path = self.path(f'{name}.log')
        self.wait_until(name, lambda: text in path.read_text())

    def wait_for_url(self, name: str, url: str) -> None:
        """Wait until a process answers with status 200."""
        self.wait_until(name, lambda: is_answered(url))

    def wait_until(self, name: str, is_met) -> None:
        """
        Wait for a condition.

        :raises RuntimeError: the process ended or the start timed out
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while not is_met():
            is_late = time.monotonic() > deadline
            if is_late or self.by_name[name].poll() is not None:
                log = self.path(f'{name}.log').read_text()
                raise RuntimeError(f'{name} did not start:\n{log}')
            time.sleep(POLL_S)

    def terminate(self, name: str, signum: int = signal.SIGTERM) -> int:
        """End one process and return its exit code."""
        process = self.by_name.pop(name)
        process.send_signal(signum)
        return process.wait(STOP_TIMEOUT_S)

    def stop(self) -> None:
        """End all processes that this fleet started."""
        for process in self.by_name.values():
            process.terminate()
        for process in self.by_name.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
        self.by_name.clear()
        self.directory.cleanup()


def is_answered(url: str) -> bool:
    """Return whether a URL answers with status 200."""
    try:
        with urllib.request.urlopen(url, timeout=1) as answer:
            return answer.status == 200
    except (OSError, urllib.error.URLError):
        return False
