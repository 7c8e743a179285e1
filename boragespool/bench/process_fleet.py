"""Deployment of real processes on 127.0.0.x: platform, servers and daemons."""

from __future__ import annotations

import contextlib
import json
import signal
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any, Final, Self

import msgspec

from boragespool.bench.placement import (
    PlacedDaemon,
    deployment_settings,
    describe_servers,
    place_daemons,
    place_servers,
)
from boragespool.bench.ports import free_address
from boragespool.bench.processes import ProcessGroup, fetch, wait_until
from boragespool.events import Event
from boragespool.revisions import RevisionDocument

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.bench.placement import PlacedServer
    from boragespool.bench.processes import RunningProcess
    from boragespool.bench.shapes import DeploymentShape
    from boragespool.settings import Settings
    from boragespool.types import Address, HostName, ServerName

_DAEMON_MODULE: Final = 'boragespool.daemon.main'
_PROFILED_DAEMON_MODULE: Final = 'boragespool.bench.profiled_entry'
_READY_TIMEOUT_S: Final = 40
_STOP_TIMEOUT_S: Final = 60
_HTTP_OK: Final = 200
_CONTROL_PATH: Final = '/v1/control'
_POST: Final = 'POST'
#: Last octet of the IP address of the first daemon, on 127.0.0.x.
_FIRST_DAEMON_OCTET: Final = 10


@dataclass
class ProcessFleet:
    """Context manager that runs a deployment, one process per daemon.

    The platform stand-in is one process, and the backend server stand-ins
    share a few.

    Parameters
    ----------
    shape : DeploymentShape
        Sizes, services and routes of the deployment.
    backend_process_count : int
        Number of processes that host the backend server stand-ins.
    profile_paths_by_host : dict
        Hosts whose daemon runs under cProfile, with the output file of each.
    variables : dict
        Additional environment variables of the daemons.

    Attributes
    ----------
    settings : Settings
        Settings of the most recently applied revision.
    daemons_by_host : dict
        Most recently started daemon process of each host.
    placed_servers : tuple of PlacedServer
        Backend servers of the deployment.
    revision : int
        Number of the most recently applied revision.
    """

    shape: DeploymentShape
    backend_process_count: int = 3
    profile_paths_by_host: dict[HostName, str] = field(default_factory=dict)
    variables: dict[str, str] = field(default_factory=dict)
    daemons_by_host: dict[HostName, RunningProcess] = field(
        default_factory=dict
    )
    placed_servers: tuple[PlacedServer, ...] = ()
    revision: int = 0

    settings: Settings = field(init=False)
    platform: RunningProcess = field(init=False)
    backends: tuple[RunningProcess, ...] = ()
    _processes: ProcessGroup = field(default_factory=ProcessGroup)
    _processes_by_server: dict[ServerName, RunningProcess] = field(
        default_factory=dict,
    )

    def __enter__(self) -> Self:
        """Start all processes and wait until every daemon is ready."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._processes)
            self._start()
            stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill all processes that are still running."""
        self._processes.__exit__(*exc_info)

    @property
    def addresses(self) -> tuple[Address, ...]:
        """Addresses at which the daemons accept callers."""
        return tuple(daemon.address for daemon in self.daemons_by_host.values())

    def apply(self, settings: Settings) -> None:
        """Write settings as a new revision and wait until all daemons use it.

        Raises
        ------
        RuntimeError
            If the store rejects the write.
        """
        revision = self.revision + 1
        document = RevisionDocument(revision, f'change-{revision}', settings)
        body = {
            'value': msgspec.json.encode(document).decode(),
            'expected_version': self.revision,
        }
        path = '/v1/kv/config/current'
        status, answer = fetch(self.platform.address, path, body, 'PUT')
        if status != _HTTP_OK:
            raise RuntimeError(
                f'store rejected the write with status {status!r}: {answer!r}',
            )
        self.settings = settings
        self.revision = revision
        wait_until(
            self._has_revision,
            _READY_TIMEOUT_S,
            f'revision {revision}',
        )

    def control(self, servers: Iterable[ServerName], **changes: Any) -> None:
        """Set fields of `BackendSwitches` at some backend server stand-ins.

        Raises
        ------
        RuntimeError
            If a stand-in rejects the change.
        """
        names_by_address: dict[Address, list[ServerName]] = {}
        for name in servers:
            address = self._processes_by_server[name].address
            names_by_address.setdefault(address, []).append(name)
        for address, names in names_by_address.items():
            body = {'servers': names} | changes
            status, answer = fetch(address, _CONTROL_PATH, body, _POST)
            if status != _HTTP_OK:
                raise RuntimeError(
                    f'{address!r} rejected the change: {answer!r}',
                )

    def control_platform(self, **changes: Any) -> None:
        """Set fields of `PlatformSwitches` at the platform stand-in."""
        fetch(self.platform.address, _CONTROL_PATH, changes, _POST)

    def server_reports(self) -> dict[ServerName, Any]:
        """Return the report of each backend server stand-in, by its name.

        Raises
        ------
        RuntimeError
            If a process does not answer with status 200.
        """
        merged: dict[ServerName, Any] = {}
        for process in self.backends:
            status, answer = fetch(process.address, _CONTROL_PATH)
            if status != _HTTP_OK:
                raise RuntimeError(
                    f'{process.address!r} returned no report: {answer!r}',
                )
            merged |= answer
        return merged

    def start_daemon(
        self,
        host: HostName,
        peer_address: Address = '',
    ) -> RunningProcess:
        """Start the daemon of a host, for the first time or as a replacement."""
        placed_by_host = {
            daemon.host: daemon for daemon in place_daemons(self.shape)
        }
        return self._start_daemon(placed_by_host[host], peer_address)

    def replace_daemons(
        self,
        hosts: Iterable[HostName],
        signal_number: int = signal.SIGTERM,
    ) -> tuple[int, ...]:
        """Stop several daemons at once and replace them.

        Parameters
        ----------
        hosts : iterable of str
            Hosts whose daemons are replaced.
        signal_number : int
            Signal that stops the daemons.

        Returns
        -------
        tuple of int
            Exit codes of the stopped daemons.
        """
        stopped = {host: self.daemons_by_host[host] for host in hosts}
        for stopped_daemon in stopped.values():
            stopped_daemon.signal(signal_number)
        exit_codes = tuple(
            daemon.wait(_STOP_TIMEOUT_S) for daemon in stopped.values()
        )
        for host in stopped:
            self.start_daemon(host)
        for started in stopped:
            self._wait_until_ready(started)
        return exit_codes

    def _start(self) -> None:
        self.platform = self._processes.start(
            'boragespool.standins.platform_main',
        )
        self.placed_servers = place_servers(self.shape)
        self.backends = tuple(
            self._start_backends(
                self.placed_servers[number :: self.backend_process_count],
            )
            for number in range(self.backend_process_count)
        )
        self.platform.address = self._ready_event(self.platform)['address']
        addresses_by_server: dict[ServerName, Address] = {}
        for process in self.backends:
            event = self._ready_event(process)
            process.address = event['address']
            addresses_by_server |= event['servers']
        placed_daemons = place_daemons(self.shape)
        peer_addresses = {
            daemon.host: free_address(_daemon_ip(number))
            for number, daemon in enumerate(placed_daemons)
        }
        for daemon in placed_daemons:
            self._start_daemon(
                daemon, peer_addresses[daemon.host], peer_addresses
            )
        self.apply(
            deployment_settings(
                self.shape, self.placed_servers, addresses_by_server
            ),
        )
        for host in self.daemons_by_host:
            self._wait_until_ready(host)

    def _start_backends(
        self,
        placed: Iterable[PlacedServer],
    ) -> RunningProcess:
        server_specs = list(describe_servers(placed))
        process = self._processes.start(
            'boragespool.standins.backend_main',
            f'--servers={json.dumps(server_specs)}',
        )
        for server in server_specs:
            self._processes_by_server[server['name']] = process
        return process

    def _start_daemon(
        self,
        placed: PlacedDaemon,
        peer_address: Address = '',
        peer_addresses: dict[HostName, Address] | None = None,
    ) -> RunningProcess:
        if peer_addresses is None:
            peer_addresses = {
                host: running.peer_address
                for host, running in self.daemons_by_host.items()
                if host != placed.host
            }
        number = list(place_daemons(self.shape)).index(placed)
        caller_address = free_address(_daemon_ip(number))
        peer_address = peer_address or free_address(_daemon_ip(number))
        peers_flag = ','.join(
            f'{host}={peer_addresses[host]}' for host in peer_addresses
        )
        profile_path = self.profile_paths_by_host.get(placed.host)
        daemon = self._processes.start(
            _PROFILED_DAEMON_MODULE if profile_path else _DAEMON_MODULE,
            f'--host={placed.host}',
            f'--data_centre={placed.data_centre}',
            f'--region={placed.data_centre}',
            f'--caller_address={caller_address}',
            f'--peer_address={peer_address}',
            f'--platform_address={self.platform.address}',
            f'--peers={peers_flag}',
            PROFILE_PATH=profile_path or '',
            **self.variables,
        )
        daemon.address = caller_address
        daemon.peer_address = peer_address
        self.daemons_by_host[placed.host] = daemon
        return daemon

    def _ready_event(self, process: RunningProcess) -> dict[str, Any]:
        return process.wait_for_event(Event.PROCESS_READY, _READY_TIMEOUT_S)

    def _status(self, host: HostName) -> dict[str, Any]:
        """Return the status of a daemon, or an empty dict if unreachable."""
        address = self.daemons_by_host[host].address
        try:
            return dict(fetch(address, '/v1/status')[1])
        except OSError:
            return {}

    def _wait_until_ready(self, host: HostName) -> None:
        wait_until(
            partial(self._is_ready, host),
            _READY_TIMEOUT_S,
            f'{host} is ready',
        )

    def _has_revision(self) -> bool:
        return all(
            self._status(host).get('revision') == self.revision
            for host in self.daemons_by_host
        )

    def _is_ready(self, host: HostName) -> bool:
        """Whether a daemon is ready and knows all daemons and servers."""
        status = self._status(host)
        alive = [
            member
            for member in status.get('members', ())
            if member['status'] == 'alive'
        ]
        return (
            status.get('phase') == 'ready'
            and len(alive) == len(self.daemons_by_host)
            and len(status['servers']) == len(self.placed_servers)
        )


def _daemon_ip(number: int) -> str:
    return f'127.0.0.{_FIRST_DAEMON_OCTET + number}'
