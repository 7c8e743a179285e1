"""Real processes for tests: platform, backend servers and daemons."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from typing import Self

import msgspec

from boragespool.revisions import RevisionDocument
from boragespool.settings import Settings

ROOT = pathlib.Path(__file__).resolve().parent.parent


def free_address(ip: str = '127.0.0.1') -> str:
    """Return an address on the loopback network that nobody uses."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return f'{ip}:{probe.getsockname()[1]}'


def fetch(address: str, path: str, body: object = None, method: str = 'GET'):
    """Return the status and the JSON of one HTTP exchange."""
    request = urllib.request.Request(
        f'http://{address}{path}',
        data=None if body is None else json.dumps(body).encode(),
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)


def until(condition, limit_s: float = 10, what: str = 'condition') -> float:
    """Wait for a true result; return how long it took."""
    began_s = time.monotonic()
    while not condition():
        took_s = time.monotonic() - began_s
        assert took_s < limit_s, f'{what}: not within {limit_s} s'
        time.sleep(0.05)
    return time.monotonic() - began_s


@dataclass
class Running:
    """One process that this harness started."""

    process: subprocess.Popen
    log_path: pathlib.Path
    address: str = ''
    peer_address: str = ''

    def events(self) -> list[dict]:
        """Return the events logged so far."""
        lines = self.log_path.read_text(encoding='utf-8').splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def event_numbers(self) -> list[int]:
        """Return the numbers of the events logged so far."""
        return [event['event'] for event in self.events()]

    def signal(self, number: int) -> None:
        """Send a signal to this process alone."""
        os.kill(self.process.pid, number)

    def wait(self, limit_s: float = 30) -> int:
        """Wait for the end; return the exit code."""
        return self.process.wait(limit_s)

    def wait_for_event(self, number: int, limit_s: float = 15) -> dict:
        """Return the first event with this number."""
        until(
            lambda: (
                self.process.poll() is not None
                or number in self.event_numbers()
            ),
            limit_s,
            f'event {number} in {self.log_path}',
        )
        log = self.log_path.read_text(encoding='utf-8')
        assert number in self.event_numbers(), log[-2_000:]
        return next(e for e in self.events() if e['event'] == number)


class Processes:
    """Starts processes and always ends them, a context manager."""

    def __init__(self) -> None:
        self.started: list[Running] = []
        self.entries: dict[str, Running] = {}
        self._directory = tempfile.TemporaryDirectory()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for running in self.started:
            if running.process.poll() is None:
                running.process.kill()
            running.process.wait()
        self._directory.cleanup()

    def start(self, module: str, *arguments: str, **variables: str) -> Running:
        """Start one module; both output streams go to its log."""
        name = f'{len(self.started)}-{module}.log'
        log_path = pathlib.Path(self._directory.name) / name
        with log_path.open('wb') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                cwd=ROOT,
                env=os.environ | {'PYTHONPATH': str(ROOT)} | variables,
                stdout=log,
                stderr=log,
            )
        running = Running(process, log_path)
        self.started.append(running)
        return running

    def start_platform(self, hosts: object = ()) -> Running:
        """Start the platform stand-in with a host list."""
        platform = self.start(
            'boragespool.standins.platform_main',
            f'--hosts={json.dumps(hosts)}',
        )
        platform.address = platform.wait_for_event(101)['address']
        return platform

    def start_backends(self, servers: object, *arguments: str) -> Running:
        """Start backend server stand-ins in one process."""
        backends = self.start(
            'boragespool.standins.backend_main',
            f'--servers={json.dumps(servers)}',
            *arguments,
        )
        backends.address = backends.wait_for_event(101)['address']
        return backends

    def start_entry(
        self,
        host: str,
        platform: str,
        *arguments: str,
        data_centre: str = 'north',
        caller_address: str = '',
        peer_address: str = '',
    ) -> Running:
        """Start a daemon on an address of its own; don't wait for it."""
        ip = f'127.0.0.{10 + len(self.started)}'
        caller_address = caller_address or free_address(ip)
        peer_address = peer_address or free_address(ip)
        entry = self.start(
            'boragespool.daemon.main',
            f'--host={host}',
            f'--data_centre={data_centre}',
            '--region=east',
            f'--caller_address={caller_address}',
            f'--peer_address={peer_address}',
            f'--platform_address={platform}',
            *arguments,
        )
        entry.address = caller_address
        entry.peer_address = peer_address
        self.entries[host] = entry
        return entry


def put_revision(platform: str, revision: int, settings: Settings) -> None:
    """Store a configuration as the operator command does."""
    document = RevisionDocument(revision, f'change-{revision}', settings)
    value = msgspec.json.encode(document).decode()
    body = {'value': value, 'expected_version': revision - 1}
    answer = fetch(platform, '/v1/kv/config/current', body, 'PUT')
    assert answer[0] == 200, answer


def stop_signals() -> tuple[int, int]:
    """Return the signals that start a graceful stop."""
    return signal.SIGTERM, signal.SIGINT
