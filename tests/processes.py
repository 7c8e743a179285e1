"""Real processes for tests: platform, backend servers and daemons."""

from __future__ import annotations

import json
import signal

import msgspec

from boragespool.bench.placement import free_address
from boragespool.bench.processes import (
    ROOT,
    ProcessGroup,
    RunningProcess,
    fetch,
)
from boragespool.bench.processes import wait_until as until
from boragespool.revisions import RevisionDocument
from boragespool.settings import Settings

__all__ = (
    'ROOT',
    'Processes',
    'fetch',
    'free_address',
    'put_revision',
    'stop_signals',
    'until',
)


class Processes(ProcessGroup):
    """Starts stand-ins and daemons and always ends them."""

    def __init__(self) -> None:
        super().__init__()
        self.entries: dict[str, RunningProcess] = {}

    def start_platform(self, hosts: object = ()) -> RunningProcess:
        """Start the platform stand-in with a host list."""
        platform = self.start(
            'boragespool.standins.platform_main',
            f'--hosts={json.dumps(hosts)}',
        )
        platform.address = platform.wait_for_event(101)['address']
        return platform

    def start_backends(
        self, servers: object, *arguments: str
    ) -> RunningProcess:
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
        module: str = 'boragespool.daemon.main',
        **variables: str,
    ) -> RunningProcess:
        """Start a daemon on an address of its own; don't wait for it."""
        ip = f'127.0.0.{10 + len(self.started)}'
        caller_address = caller_address or free_address(ip)
        peer_address = peer_address or free_address(ip)
        entry = self.start(
            module,
            f'--host={host}',
            f'--data_centre={data_centre}',
            '--region=east',
            f'--caller_address={caller_address}',
            f'--peer_address={peer_address}',
            f'--platform_address={platform}',
            *arguments,
            **variables,
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
