"""Platform, backend servers and daemons as child processes of a test."""

from __future__ import annotations

import json
import signal

import msgspec

from boragespool.bench.ports import free_address
from boragespool.bench.processes import (
    ROOT,
    ProcessGroup,
    RunningProcess,
    fetch,
    wait_until,
)
from boragespool.revisions import RevisionDocument
from boragespool.settings import Settings

__all__ = (
    'ROOT',
    'Processes',
    'fetch',
    'free_address',
    'put_revision',
    'stop_signals',
    'wait_until',
)


class Processes(ProcessGroup):
    """Child processes of a test, all ended when the context is left."""

    def __init__(self) -> None:
        super().__init__()
        self.daemons_by_host: dict[str, RunningProcess] = {}

    def start_platform(self, hosts: object = ()) -> RunningProcess:
        """Start the platform stand-in with a host list and wait for it."""
        platform = self.start(
            'boragespool.standins.platform_main',
            f'--hosts={json.dumps(hosts)}',
        )
        platform.address = platform.wait_for_event(101)['address']
        return platform

    def start_backends(
        self, servers: object, *arguments: str
    ) -> RunningProcess:
        """Start backend server stand-ins in one process and wait for it."""
        backends = self.start(
            'boragespool.standins.backend_main',
            f'--servers={json.dumps(servers)}',
            *arguments,
        )
        backends.address = backends.wait_for_event(101)['address']
        return backends

    def start_daemon(
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
        """Start a daemon on its own loopback address without waiting for it."""
        ip = f'127.0.0.{10 + len(self.started)}'
        caller_address = caller_address or free_address(ip)
        peer_address = peer_address or free_address(ip)
        daemon = self.start(
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
        daemon.address = caller_address
        daemon.peer_address = peer_address
        self.daemons_by_host[host] = daemon
        return daemon


def put_revision(platform: str, revision: int, settings: Settings) -> None:
    """Store a revision as the operator command does; fail unless accepted."""
    document = RevisionDocument(revision, f'change-{revision}', settings)
    value = msgspec.json.encode(document).decode()
    body = {'value': value, 'expected_version': revision - 1}
    answer = fetch(platform, '/v1/kv/config/current', body, 'PUT')
    assert answer[0] == 200, answer


def stop_signals() -> tuple[int, int]:
    """Return the signals that start a graceful stop."""
    return signal.SIGTERM, signal.SIGINT
