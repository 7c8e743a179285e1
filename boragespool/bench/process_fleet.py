"""A whole deployment as real processes on 127.0.0.x."""

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
    free_address,
    place_daemons,
    place_servers,
)
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

_ENTRY: Final = 'boragespool.daemon.main'
_PROFILED_ENTRY: Final = 'boragespool.bench.profiled_entry'
_READY_S: Final = 40
_STOP_S: Final = 60
_OK: Final = 200
_CONTROL: Final = '/v1/control'
_POST: Final = 'POST'
#: First last byte of the daemons' addresses on 127.0.0.x.
_FIRST_ENTRY_IP: Final = 10


@dataclass
class ProcessFleet:
    """Platform, backend servers and daemons of a shape, a context manager.

    Parameters
    ----------
    shape : DeploymentShape
        What to start.
    backend_process_count : int
        Processes over which the backend servers are spread.
    profile_path_by_host : dict
        Daemons to run under cProfile and the files that they write.
    variables : dict
        Further environment variables of the daemons.

    Attributes
    ----------
    settings : Settings
        Settings of the last revision that was applied.
    daemons_by_host : dict
        Daemons that were started last under each name.
    """

    shape: DeploymentShape
    backend_process_count: int = 3
    profile_path_by_host: dict[HostName, str] = field(default_factory=dict)
    variables: dict[str, str] = field(default_factory=dict)
    daemons_by_host: dict[HostName, RunningProcess] = field(
        default_factory=dict
    )
    placed: tuple[PlacedServer, ...] = ()
    revision: int = 0

    settings: Settings = field(init=False)
    platform: RunningProcess = field(init=False)
    backends: tuple[RunningProcess, ...] = ()
    _processes: ProcessGroup = field(default_factory=ProcessGroup)
    _process_by_server: dict[ServerName, RunningProcess] = field(
        default_factory=dict,
    )

    def __enter__(self) -> Self:
        """Start everything and wait until all daemons are ready."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._processes)
            self._start()
            stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End everything that was started."""
        self._processes.__exit__(*exc_info)

    @property
    def addresses(self) -> tuple[Address, ...]:
        """Caller addresses of all daemons."""
        return tuple(entry.address for entry in self.daemons_by_host.values())

    def apply(self, settings: Settings) -> None:
        """Put settings in force at every daemon.

        Raises
        ------
        RuntimeError
            If the store refuses the write.
        """
        revision = self.revision + 1
        document = RevisionDocument(revision, f'change-{revision}', settings)
        body = {
            'value': msgspec.json.encode(document).decode(),
            'expected_version': self.revision,
        }
        path = '/v1/kv/config/current'
        written, answer = fetch(self.platform.address, path, body, 'PUT')
        if written != _OK:
            raise RuntimeError(f'store answered {written!r}: {answer!r}')
        self.settings = settings
        self.revision = revision
        wait_until(self._has_revision, _READY_S, f'revision {revision}')

    def control(self, servers: Iterable[ServerName], **changes: Any) -> None:
        """Change switches of backend servers; see `BackendSwitches`.

        Raises
        ------
        RuntimeError
            If a switch is refused.
        """
        names_by_address: dict[Address, list[ServerName]] = {}
        for name in servers:
            address = self._process_by_server[name].address
            names_by_address.setdefault(address, []).append(name)
        for address, names in names_by_address.items():
            body = {'servers': names} | changes
            status, answer = fetch(address, _CONTROL, body, _POST)
            if status != _OK:
                raise RuntimeError(f'{address!r} answered {answer!r}')

    def control_platform(self, **changes: Any) -> None:
        """Change switches of the platform; see `PlatformSwitches`."""
        fetch(self.platform.address, _CONTROL, changes, _POST)

    def reports(self) -> dict[ServerName, Any]:
        """Return the report of each backend server.

        Raises
        ------
        RuntimeError
            If the process of some of them refuses.
        """
        merged: dict[ServerName, Any] = {}
        for process in self.backends:
            status, answer = fetch(process.address, _CONTROL)
            if status != _OK:
                raise RuntimeError(f'{process.address!r} answered {answer!r}')
            merged |= answer
        return merged

    def start_daemon(
        self,
        host: HostName,
        peer_address: Address = '',
    ) -> RunningProcess:
        """Start a daemon, also as the replacement of one of that name."""
        placed = {entry.host: entry for entry in place_daemons(self.shape)}
        return self._start_entry(placed[host], peer_address)

    def replace_daemons(
        self,
        hosts: Iterable[HostName],
        number: int = signal.SIGTERM,
    ) -> tuple[int, ...]:
        """Stop daemons at once, start others; return the exit codes."""
        stopped = {host: self.daemons_by_host[host] for host in hosts}
        for entry in stopped.values():
            entry.signal(number)
        exit_codes = tuple(one.wait(_STOP_S) for one in stopped.values())
        for host in stopped:
            self.start_daemon(host)
        for started in stopped:
            self._wait_until_ready(started)
        return exit_codes

    def _start(self) -> None:
        self.platform = self._processes.start(
            'boragespool.standins.platform_main',
        )
        self.placed = place_servers(self.shape)
        self.backends = tuple(
            self._start_backends(
                self.placed[number :: self.backend_process_count],
            )
            for number in range(self.backend_process_count)
        )
        self.platform.address = self._ready_event(self.platform)['address']
        address_by_server: dict[ServerName, Address] = {}
        for process in self.backends:
            event = self._ready_event(process)
            process.address = event['address']
            address_by_server |= event['servers']
        entries = place_daemons(self.shape)
        peers = {
            entry.host: free_address(_entry_ip(number))
            for number, entry in enumerate(entries)
        }
        for entry in entries:
            self._start_entry(entry, peers[entry.host], peers)
        self.apply(
            deployment_settings(self.shape, self.placed, address_by_server),
        )
        for host in self.daemons_by_host:
            self._wait_until_ready(host)

    def _start_backends(
        self,
        placed: Iterable[PlacedServer],
    ) -> RunningProcess:
        described = list(describe_servers(placed))
        process = self._processes.start(
            'boragespool.standins.backend_main',
            f'--servers={json.dumps(described)}',
        )
        for server in described:
            self._process_by_server[server['name']] = process
        return process

    def _start_entry(
        self,
        placed: PlacedDaemon,
        peer_address: Address = '',
        peers: dict[HostName, Address] | None = None,
    ) -> RunningProcess:
        if peers is None:
            peers = {
                host: running.peer_address
                for host, running in self.daemons_by_host.items()
                if host != placed.host
            }
        number = list(place_daemons(self.shape)).index(placed)
        caller_address = free_address(_entry_ip(number))
        peer_address = peer_address or free_address(_entry_ip(number))
        joined = ','.join(f'{host}={peers[host]}' for host in peers)
        profile_path = self.profile_path_by_host.get(placed.host)
        entry = self._processes.start(
            _PROFILED_ENTRY if profile_path else _ENTRY,
            f'--host={placed.host}',
            f'--data_centre={placed.data_centre}',
            f'--region={placed.data_centre}',
            f'--caller_address={caller_address}',
            f'--peer_address={peer_address}',
            f'--platform_address={self.platform.address}',
            f'--peers={joined}',
            PROFILE_PATH=profile_path or '',
            **self.variables,
        )
        entry.address = caller_address
        entry.peer_address = peer_address
        self.daemons_by_host[placed.host] = entry
        return entry

    def _ready_event(self, process: RunningProcess) -> dict[str, Any]:
        return process.wait_for_event(Event.PROCESS_READY, _READY_S)

    def _status(self, host: HostName) -> dict[str, Any]:
        """Return the status of a daemon; empty while it does not answer."""
        address = self.daemons_by_host[host].address
        try:
            return dict(fetch(address, '/v1/status')[1])
        except OSError:
            return {}

    def _wait_until_ready(self, host: HostName) -> None:
        wait_until(partial(self._is_ready, host), _READY_S, f'{host} is ready')

    def _has_revision(self) -> bool:
        return all(
            self._status(host).get('revision') == self.revision
            for host in self.daemons_by_host
        )

    def _is_ready(self, host: HostName) -> bool:
        """Tell whether a daemon serves and knows all others and servers."""
        status = self._status(host)
        alive = [
            member
            for member in status.get('members', ())
            if member['status'] == 'alive'
        ]
        return (
            status.get('phase') == 'ready'
            and len(alive) == len(self.daemons_by_host)
            and len(status['servers']) == len(self.placed)
        )


def _entry_ip(number: int) -> str:
    return f'127.0.0.{_FIRST_ENTRY_IP + number}'
