"""Store, backend servers and daemons on the platform, in one process."""

from __future__ import annotations

import asyncio
import contextlib
import errno

import msgspec
from boragespool_platform.messages import CODEC
from boragespool_platform.settings import Boot, forwarding_options
from boragespool_platform.store import KeyValueStore

from boragespool.bench.ports import free_address
from boragespool.daemon.forwarder import Forwarder
from boragespool.http import HttpRequest, open_connection
from tests.platform_standins.server import ServerStandin
from tests.platform_standins.store import StoreStandin

DOMAIN = 'shop.example'


def record(number):
    """Return a 16-byte record that sorts by its number."""
    return number.to_bytes(16, 'big')


def route(**fields):
    """Return a route as operators write it in the configuration."""
    return {
        'name': 'r-0',
        'host': DOMAIN,
        'prefix': '/find/',
        'type': 'idempotent',
        'timeout_ms': 2000,
        'target_latency_ms': 400,
        'attempts': 2,
        'priority': 0,
    } | fields


def gather_route(shards, **fields):
    """Return a route that gathers the top 3 records of several shards."""
    return route(gather=shards, top_k=3, min_coverage=0.5, **fields)


def limits(**fields):
    """Return the limits of a configuration."""
    return {
        'max_header_bytes': 16_384,
        'max_body_bytes': 262_144,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15_000,
    } | fields


def settings_document(name, zone, store_address):
    """Return the contents of a daemon's settings file, with free ports."""
    return {
        'node': name,
        'zone': zone,
        'region': f'{zone}-region',
        'zones': {'here': 'here-region', 'there': 'there-region'},
        'listen_addrs': {
            use: free_address()
            for use in ('front', 'readiness', 'control', 'directory')
        },
        'platform': {'address': store_address},
    }


async def wait_until(condition, timeout_s=5):
    """Wait until a condition is true."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class Cluster:
    """A store, and the backend servers and daemons that a test starts.

    Attributes
    ----------
    version : int
        Version of the configuration that was written last.
    servers : dict of str to ServerStandin
        Backend servers by name.
    """

    def __init__(self):
        self.stack = contextlib.AsyncExitStack()
        self.version = 1
        self.servers = {}
        self.daemons = []

    async def __aenter__(self):
        self.store = await self.stack.enter_async_context(StoreStandin())
        return self

    async def __aexit__(self, *exc_info):
        await self.stack.aclose()

    def configure(self, *routes, services=(), **fields):
        """Write a configuration with the next version to the store."""
        self.version += 1
        document = {
            'version': self.version,
            'routes': list(routes),
            'services': list(services),
            'limits': limits(),
        }
        self.store.put('op/config', document | fields)

    async def serve(self, service, name, **fields):
        """Start a backend server and register it."""
        registered = fields.pop('registration', {})
        server = ServerStandin(name, **fields)
        await self.stack.enter_async_context(server)
        self.servers[name] = server
        self.register(service, name, **registered)
        return server

    def register(self, service, name, **fields):
        """Write the registration of a backend server to the store."""
        registration = self.servers[name].registration(service, **fields)
        self.store.put(f'servers/{name}', registration)

    def boot(self, name, zone='here', **fields):
        """Return the settings of a daemon."""
        bounds = {'bounds': {'grace_s': 3, 'budget_slack': 40}}
        document = settings_document(name, zone, self.store.address)
        return msgspec.convert(document | bounds | fields, Boot)

    async def _listen(self, boot):
        """Start a daemon; return None if one of its ports was taken."""
        options = forwarding_options(boot)
        store = KeyValueStore(
            boot.platform.address, options.record_response_limits
        )
        await self.stack.enter_async_context(store)
        daemon = Forwarder(options, CODEC, store)
        try:
            return await self.stack.enter_async_context(daemon)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            return None

    async def start(self, name='host-1', *, ready=True, **fields):
        """Start a daemon and by default wait until it is ready."""
        daemon = None
        while daemon is None:
            daemon = await self._listen(self.boot(name, **fields))
        self.daemons.append(daemon)
        if ready:
            await wait_until(lambda: daemon.is_ready)
            await wait_until(lambda: f'hosts/{name}' in self.store.items)
        return daemon


async def send(
    daemon,
    target='/find/x',
    method='GET',
    body=b'',
    timeout_s=5,
    **fields,
):
    """Send one request as a caller, on a new connection.

    Further keyword arguments are header fields.
    """
    connection = await open_connection(daemon.options.caller_address, 1)
    headers = [('host', DOMAIN)]
    headers += [(n.replace('_', '-'), str(v)) for n, v in fields.items()]
    if body:
        headers.append(('content-length', str(len(body))))
    async with connection:
        return await connection.exchange(
            HttpRequest(method, target, body, fields=tuple(headers)),
            timeout_s,
        )


def run(scenario):
    """Run a coroutine function with a new cluster."""

    async def main():
        async with Cluster() as cluster:
            await scenario(cluster)

    asyncio.run(main())
