"""One seeded run of the soak test."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import random
import signal
import tempfile

import msgspec

from boragespool.http import ExchangeFailure, HttpRequest, open_connection
from tests.platform_standins.cluster import DOMAIN, limits, route
from tests.platform_standins.server import ServerStandin
from tests.platform_standins.store import StoreStandin
from tests.soak.daemons import DaemonProcess
from tests.soak.invariants import Invariants, expected_body
from tests.soak.proxy import Proxy

BOUNDS = {
    'drain_ms': 3000,
    'config_apply_ms': 3000,
    'stable_window_ms': 5000,
    'budget_slack': 200,
}
SHARD_SETS = (['s-0', 's-1', 's-2', 's-3'], ['t-0', 't-1', 't-2'])
REPLICAS = 2
CALLER_COUNT = 6
REQUEST_INTERVAL_S = 0.03
START_TIMEOUT_S = 20
#: Time after a fault in which daemons may still act on outdated
#: registrations, in seconds.
SETTLE_S = 5


class SoakServer(ServerStandin):
    """Backend server whose bodies differ by server and request."""

    def __init__(self, name, service, soak):
        super().__init__(name)
        self.service, self.soak = service, soak

    def _response(self, request_id, body=None, status=200, **options):
        if body is None and status == 200:
            body = expected_body(self.name, request_id)
        return super()._response(request_id, body, status, **options)

    def _head(self, request_id, status=200, extra=b''):
        return (
            f'HTTP/1.1 {status} x\r\nRequest-Id: {request_id}\r\n'
            f'Response-Signature: {self.name} {request_id}\r\n'
        ).encode() + extra

    def _chunked(self, request_id):
        self.body = expected_body(self.name, request_id)
        return super()._chunked(request_id)

    def _write_response(self, mode, request_id, writer):
        self.soak.record_run(self, request_id)
        return super()._write_response(mode, request_id, writer)


class Soak:
    """Store, servers, daemons, callers and faults of one run.

    Attributes
    ----------
    invariants : Invariants
        The checks and their violations.
    injected_faults : list of (float, str)
        Time and description of each fault.
    stable_since_s : float
        Time from which registrations must reach the daemons on time again;
        infinite while a fault that delays them lasts.
    """

    def __init__(self, seed, daemon_count=4):
        self.random = random.Random(seed)
        self.invariants = Invariants()
        self.daemon_count = daemon_count
        self.injected_faults = []
        self.stable_since_s = 0.0
        self._active_fault_count = 0
        self._request_numbers = itertools.count()
        self._version = 1

    async def run(self, seconds):
        """Run callers and faults for some seconds; return the violations."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            callers = [
                asyncio.create_task(self._run_caller(number))
                for number in range(CALLER_COUNT)
            ]
            faults = [
                asyncio.create_task(self._repeat_fault(kind))
                for kind in (
                    self._inject_daemon_fault,
                    self._inject_network_fault,
                    self._inject_store_fault,
                    self._change_state,
                    self._inject_server_fault,
                )
            ]
            await asyncio.sleep(seconds)
            await self._cancel(faults)
            await self._check_recovery()
            await self._cancel(callers)
        return self.invariants.violations

    def record_run(self, server, request_id):
        """Record a request that a backend server runs."""
        self.invariants.record_run(
            server.name,
            server.service,
            request_id,
            self._now_s(),
            self.stable_since_s,
        )

    def _now_s(self):
        return asyncio.get_running_loop().time()

    async def _start(self, stack):
        enter = stack.enter_async_context
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.store = await enter(StoreStandin())
        self.servers = []
        self.server_proxies = []
        services = [*SHARD_SETS[0], *SHARD_SETS[1], 'one']
        for service in services:
            for number in range(REPLICAS):
                name = f'{service}-{number}'
                server = await enter(SoakServer(name, service, self))
                server.proxy = await enter(
                    Proxy(server.address, self.random.random)
                )
                self.server_proxies.append(server.proxy)
                self.servers.append(server)
                self._register(server)
        self._configure()
        self.daemons = []
        for number in range(self.daemon_count):
            proxy = await enter(Proxy(self.store.address, self.random.random))
            zone = ('here', 'there')[number % 2]
            seeds = [d.boot['listen_addrs']['control'] for d in self.daemons]
            daemon = DaemonProcess(
                f'host-{number}', zone, proxy.address, seeds[:3], folder, BOUNDS
            )
            daemon.proxy = proxy
            self.daemons.append(await enter(daemon))
        async with asyncio.timeout(START_TIMEOUT_S):
            while sum(key.startswith('hosts/') for key in self.store.items) < (
                self.daemon_count
            ):
                await asyncio.sleep(0.05)

    def _register(self, server, **fields):
        zone = ('here', 'there')[server.name.endswith('1')]
        entry = server.registration(server.service, zone=zone)
        entry |= {'address': server.proxy.address} | fields
        server.sequence = entry['sequence'] = getattr(server, 'sequence', 0) + 1
        if entry['state'] == 'ready':
            self.invariants.draining_since_s.pop(server.name, None)
        self.store.put(f'servers/{server.name}', entry)

    def _configure(self):
        self._version += self.random.randint(1, 3)
        shards = SHARD_SETS[self._version % 2]
        gathered = route(name='all', gather=shards, top_k=3, min_coverage=0.5)
        single = route(
            name='once',
            prefix='/once/',
            type='non_idempotent',
            service='one',
        )
        self.store.put(
            'op/config',
            {
                'version': self._version,
                'routes': [gathered, single],
                'services': [],
                'limits': limits(),
            },
        )

    async def _run_caller(self, number):
        """Send requests until cancelled, mostly on reused connections."""
        connection = daemon = None
        while True:
            if connection is None or not connection.usable:
                daemon = self.random.choice(self.daemons)
                connection = await open_connection(daemon.caller_address, 1)
            if isinstance(connection, ExchangeFailure):
                self.invariants.outcomes['no connection'] += 1
                connection = None
                await asyncio.sleep(0.1)
                continue
            await self._send_request(connection, daemon)
            if self.random.random() < 0.1:
                connection.close()
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _send_request(self, connection, daemon):
        """Send one request and check its answer.

        A missing answer is excused while the daemon is disturbed, and if the
        exchange failed so early that the daemon may not have read it, as on
        a connection that it was closing.
        """
        is_once = self.random.random() < 0.3
        kind = 'once' if is_once else 'all'
        request_id = f'{kind}-{next(self._request_numbers)}'
        fields = [
            ('host', DOMAIN),
            ('request-id', request_id),
            ('request-timeout-ms', '1500'),
        ]
        body = b'pay' if is_once else b''
        if is_once:
            fields.append(('content-length', str(len(body))))
        request = HttpRequest(
            'POST' if is_once else 'GET',
            '/once/x' if is_once else '/find/x',
            body,
            fields=tuple(fields),
        )
        began_s = self._now_s()
        answer = await connection.exchange(request, 2)
        if isinstance(answer, ExchangeFailure):
            is_disturbed = daemon.disturbed_until_s >= began_s
            may_be_unread = not answer.sent or self._now_s() - began_s < 0.05
            self.invariants.record_failure(
                request_id,
                answer.kind.value,
                is_excused=is_disturbed or may_be_unread,
            )
            return
        self.invariants.check_answer(
            request_id,
            answer.status,
            dict(answer.fields),
            answer.body,
            SHARD_SETS,
        )

    async def _repeat_fault(self, fault):
        """Repeat one kind of fault at random times."""
        while True:
            await asyncio.sleep(0.5 + 3 * self.random.random())
            await fault()

    @contextlib.contextmanager
    def _unstable(self):
        """Mark the system as unstable until `SETTLE_S` after the block."""
        self._active_fault_count += 1
        self.stable_since_s = math.inf
        try:
            yield
        finally:
            self._active_fault_count -= 1
            if not self._active_fault_count:
                self.stable_since_s = self._now_s() + SETTLE_S

    def _record_fault(self, text):
        self.injected_faults.append((round(self._now_s(), 2), text))

    def _mark_disturbed(self, daemon, duration_s):
        until_s = self._now_s() + duration_s
        daemon.disturbed_until_s = max(daemon.disturbed_until_s, until_s)

    async def _inject_daemon_fault(self):
        daemon = self.random.choice(self.daemons)
        kind = self.random.choice(('kill', 'pause', 'stop', 'hup'))
        self._record_fault(f'{kind} {daemon.name}')
        if kind == 'kill':
            self._mark_disturbed(daemon, 1)
            daemon.send_signal(signal.SIGKILL)
        elif kind == 'pause':
            pause_s = 0.5 + 3 * self.random.random()
            self._mark_disturbed(daemon, pause_s + 2)
            with self._unstable():
                daemon.send_signal(signal.SIGSTOP)
                await asyncio.sleep(pause_s)
                daemon.send_signal(signal.SIGCONT)
        elif kind == 'stop':
            if not await daemon.stop():
                self.invariants.violations.append(
                    f'{daemon.name} did not exit within its grace period'
                )
        else:
            daemon.send_signal(signal.SIGHUP)

    async def _inject_network_fault(self):
        proxy = self.random.choice(
            self.server_proxies + [daemon.proxy for daemon in self.daemons]
        )
        mode = self.random.choice(
            ('delay', 'reset', 'to_target', 'to_caller', 'silent')
        )
        self._record_fault(f'{mode} {proxy.target}')
        with self._unstable():
            proxy.set_mode(mode)
            await asyncio.sleep(0.5 + 3 * self.random.random())
            proxy.set_mode('pass')

    async def _inject_store_fault(self):
        kind = self.random.choice(('down', 'silent', 'slow', 'compact'))
        self._record_fault(f'store {kind}')
        if kind == 'compact':
            self.store.compact()
            return
        with self._unstable():
            if kind == 'slow':
                self.store.delay_s = 0.25
            else:
                setattr(self.store, kind, True)
            await asyncio.sleep(0.5 + 3 * self.random.random())
            self._restore_store()

    async def _change_state(self):
        """Write a new configuration, or drain a server for 3 to 5 s."""
        if self.random.random() < 0.5:
            self._record_fault('configuration')
            self._configure()
            return
        server = self.random.choice(self.servers)
        self._record_fault(f'drain {server.name}')
        self._register(server, state='draining')
        self.invariants.draining_since_s[server.name] = self._now_s()
        await asyncio.sleep(3 + 2 * self.random.random())
        self._register(server)

    async def _inject_server_fault(self):
        server = self.random.choice(self.servers)
        server.modes = [
            self.random.choice(
                (
                    'reset',
                    'truncated',
                    'garbage',
                    'unframed-reset',
                    'stale',
                    'doubled',
                    'error',
                    'shed',
                    'other',
                    'closing',
                    'chunked',
                )
            )
        ]
        server.delay_s = self.random.choice((0, 0, 0.05, 0.4))
        self._record_fault(f'{server.modes[0]} {server.name}')
        await asyncio.sleep(0.5 + 3 * self.random.random())
        server.modes, server.delay_s = ['ok'], 0

    def _restore_store(self):
        self.store.delay_s, self.store.down = 0, False
        self.store.silent = False

    async def _cancel(self, tasks):
        for task in tasks:
            task.cancel()
        for ended in await asyncio.gather(*tasks, return_exceptions=True):
            if not isinstance(ended, asyncio.CancelledError):
                raise ended

    async def _check_recovery(self):
        """End all faults; check that 95 % of the requests succeed again."""
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGCONT)
            daemon.proxy.set_mode('pass')
        for server in self.servers:
            server.proxy.set_mode('pass')
            server.modes, server.delay_s = ['ok'], 0
            self._register(server)
        self._restore_store()
        self._configure()
        await asyncio.sleep(10)
        previous_success_count = self.invariants.outcomes[200]
        previous_count = self.invariants.outcomes.total()
        await asyncio.sleep(2)
        success_count = self.invariants.outcomes[200] - previous_success_count
        request_count = self.invariants.outcomes.total() - previous_count
        if success_count < 0.95 * request_count or not request_count:
            self.invariants.violations.append(
                f'only {success_count} of {request_count} requests succeeded '
                'after the faults'
            )


def summary(soak):
    """Return the counts of a run and its first violations as JSON."""
    return msgspec.json.encode(
        {
            'outcomes': {
                str(k): v for k, v in soak.invariants.outcomes.items()
            },
            'faults': len(soak.injected_faults),
            'broken': len(soak.invariants.violations),
            'first': soak.invariants.violations[:5],
        }
    ).decode()
