"""A deployment of real processes for one scenario."""

from __future__ import annotations

import http.client
import json

from boragespool.settings import Settings
from boragespool.settings.schema import (
    AddressSettings,
    RouteSettings,
    ServerSettings,
    ServiceSettings,
)
from boragespool.standins.items import shard_range
from boragespool.types import Rank, WorkKind
from features.partition import Partition
from tests.processes import (
    Processes,
    fetch,
    free_address,
    put_revision,
    wait_until,
)

#: Failure detection declares a silent daemon dead after about 2 s; the limit
#: allows for slow build machines.
DEAD_LIMIT_S = 15
READY_LIMIT_S = 20
#: How long a caller may use the addresses of an address answer.
ADDRESS_KEEP_S = 1
HOSTS = 'abcdef'
DATA_CENTRES = ('north', 'south')
CONNECTION_ERRORS = (OSError, http.client.HTTPException, json.JSONDecodeError)

ROUTES = {
    'find': RouteSettings('lots', Rank.ROUTINE, WorkKind.QUERY, 2_000),
    'claim': RouteSettings('ledger', Rank.URGENT, WorkKind.CLAIM, 3_000),
    'look-up': RouteSettings('ledger', Rank.ROUTINE, WorkKind.CLAIM, 2_000),
    'upload': RouteSettings('ledger', Rank.DEFERRABLE, WorkKind.CLAIM, 2_000),
    'report': RouteSettings('ledger', Rank.ROUTINE, WorkKind.QUERY, 2_000),
}


class Fleet:
    """The platform, backend servers and daemons of one scenario.

    The service ``lots`` has shards with replicas and answers queries. Each
    server of the service ``ledger`` holds the whole key range and runs claims.

    Attributes
    ----------
    specs : list of dict
        Backend servers to start: name, service, address, shard and switches.
    relay_address_by_server : dict
        Addresses in the settings that replace those of the servers.
    partition : Partition or None
        Relays through which the daemons reach each other, if the scenario
        cuts the network.
    """

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        self.specs: list[dict] = []
        self.settings = Settings()
        self.platform = None
        self.backends = None
        self.relay_address_by_server: dict[str, str] = {}
        self.partition: Partition | None = None

    @property
    def entries(self):
        """The latest process of each daemon, by host."""
        return self.processes.daemons_by_host

    def addresses(self) -> tuple[str, ...]:
        """Return the caller addresses of all daemons."""
        return tuple(entry.address for entry in self.entries.values())

    def add_servers(self, service, shards, replicas, **switches) -> None:
        """Add the servers of a service, which `start` starts."""
        for number in range(shards * replicas):
            shard, replica = divmod(number, replicas)
            self.specs.append(
                {
                    'name': f'{service}-{shard}-{replica}',
                    'service': service,
                    'address': free_address(),
                    'shard': shard,
                    'shards': shards,
                    'switches': switches,
                }
            )

    def start(self, daemon_count: int) -> None:
        """Start servers, platform and daemons, and wait until all are ready."""
        self.backends = self.processes.start_backends(self.specs)
        self.settings = self._settings()
        self.platform = self.processes.start_platform(self.host_list())
        put_revision(self.platform.address, 1, self.settings)
        for host in HOSTS[:daemon_count]:
            self.start_daemon(host)
        self.wait_ready()

    def start_daemon(self, host: str) -> None:
        """Start a daemon; a restarted one keeps its addresses."""
        before = self.entries.get(host)
        peers = [
            f'{name}={entry.peer_address}'
            for name, entry in self.entries.items()
            if name != host
        ]
        addresses = {
            'caller_address': before.address if before else '',
            'peer_address': before.peer_address if before else '',
        }
        platform = self.platform.address
        if self.partition is not None:
            platform = self.partition.platform_address_for(host, platform)
            addresses |= self.partition.add_peer_relay(host)
        self.processes.start_daemon(
            host,
            platform,
            f'--peers={",".join(peers)}',
            data_centre=DATA_CENTRES[HOSTS.index(host) % 2],
            **addresses,
        )

    def host_list(self, *leaving: str) -> list[dict]:
        """Return the platform's host list, with one host per server."""
        return [
            {
                'host': f'host-{spec["name"]}',
                'state': 'leaving' if spec['name'] in leaving else 'live',
                'data_centre': 'north',
            }
            for spec in self.specs
        ]

    def status(self, host: str) -> dict:
        """Return the status report of a daemon."""
        return fetch(self.entries[host].address, '/v1/status')[1]

    def member_status(self, observer: str, host: str) -> str:
        """Return the status of `host` in the view of `observer`, or ''."""
        members = self.status(observer)['members']
        return {m['host']: m['status'] for m in members}.get(host, '')

    def wait_member_status(self, host: str, status: str) -> None:
        """Wait until all other running daemons see `host` in this status."""
        for observer, entry in self.entries.items():
            if observer == host or entry.process.poll() is not None:
                continue
            wait_until(
                lambda seen=observer: self.member_status(seen, host) == status,
                DEAD_LIMIT_S,
                f'{observer} sees {host} {status}',
            )

    def wait_ready(self) -> None:
        """Wait until each daemon sees all members alive and servers serving."""
        for host, entry in self.entries.items():
            entry.wait_for_event(101)
            wait_until(
                lambda host=host: self._is_ready(host),
                READY_LIMIT_S,
                f'{host} is ready',
            )

    def revision(self, host: str) -> int | None:
        """Return the revision in force; None if unreachable or starting."""
        try:
            report = self.status(host)
        except CONNECTION_ERRORS:
            return None
        return None if report['phase'] == 'starting' else report['revision']

    def control_servers(self, *names: str, **switches) -> None:
        """Set switches of the named backend servers, by default of all."""
        body = switches | ({'servers': names} if names else {})
        answer = fetch(self.backends.address, '/v1/control', body, 'POST')
        assert answer[0] == 200, answer

    def control_platform(self, **switches) -> None:
        """Set switches of the platform."""
        answer = fetch(self.platform.address, '/v1/control', switches, 'POST')
        assert answer[0] == 200, answer

    def report(self) -> dict[str, dict]:
        """Return the reports of the backend servers by name."""
        return fetch(self.backends.address, '/v1/control')[1]

    def counters(self) -> dict[str, dict]:
        """Return the counters of the backend servers by name."""
        return {name: r['counters'] for name, r in self.report().items()}

    def claim_runs(self) -> dict[str, int]:
        """Return the number of runs of each claim, summed over all servers."""
        runs: dict[str, int] = {}
        for counters in self.counters().values():
            for claim_id, count in counters['claims_run_by_id'].items():
                runs[claim_id] = runs.get(claim_id, 0) + count
        return runs

    def wait_idle(self) -> None:
        """Wait until no daemon or backend server has a request in flight."""
        wait_until(
            lambda: not any(self._in_flight_counts()), 10, 'nothing in flight'
        )

    def print_logs(self) -> None:
        """Print the last 1,500 characters of each log."""
        for running in self.processes.started:
            log = running.log_path.read_text(encoding='utf-8')
            print(f'--- {running.log_path.name}\n{log[-1_500:]}')

    def _in_flight_counts(self):
        for report in self.report().values():
            yield report['in_flight']
        for host, entry in self.entries.items():
            if entry.process.poll() is None:
                yield self.status(host)['in_flight']

    def _is_ready(self, host: str) -> bool:
        report = self.status(host)
        alive = [m for m in report['members'] if m['status'] == 'alive']
        states = [server['state'] for server in report['servers']]
        return (
            len(alive) == len(self.entries)
            and len(states) == len(self.specs)
            and set(states) <= {'serving'}
        )

    def _settings(self) -> Settings:
        servers: dict[str, dict[str, ServerSettings]] = {}
        for number, spec in enumerate(self.specs):
            name = spec['name']
            servers.setdefault(spec['service'], {})[name] = ServerSettings(
                self.relay_address_by_server.get(name, spec['address']),
                DATA_CENTRES[number % 2],
                host=f'host-{name}',
            )
        return Settings(
            services={
                name: ServiceSettings(
                    self.slots(name), 40, members, connection_cost_ms=1
                )
                for name, members in servers.items()
            },
            routes={
                name: route
                for name, route in ROUTES.items()
                if route.service in servers
            },
            addresses=AddressSettings(keep_s=ADDRESS_KEEP_S, count=4),
        )

    def slots(self, service: str) -> int:
        """Return the slot count of each server of a service."""
        spec = next(s for s in self.specs if s['service'] == service)
        return spec['switches'].get('slots', 5)


def shard_key_range(shard: int, shards: int) -> list[int]:
    """Return the key range of a shard as a list, as it is in JSON."""
    return list(shard_range(shard, shards))
