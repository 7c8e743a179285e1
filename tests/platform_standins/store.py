"""Stand-in for the users' store, in the protocol of their platform."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools

import msgspec

from boragespool.http import HttpLimits, HttpResponse, HttpServer, json_response

LEASE_CHECK_S = 0.05


class StoreStandin:
    """Key-value store in memory, with switches for its failures.

    `refusing` holds peer addresses' ports that get 503; `down` refuses all;
    `silent` answers nobody; `page_size` bounds a range.
    """

    def __init__(self, address='127.0.0.1:0'):
        self.address = address
        self.items = {}
        self.history = []
        self.revision = 1
        self.oldest = 1
        self.leases = {}
        self.down = False
        self.silent = False
        self.delay_s = 0
        self.lose_writes = False
        self.page_size = 500
        self.stale_page = None
        self.calls = []
        self._numbers = itertools.count(100)
        self._changed = asyncio.Event()

    async def __aenter__(self):
        limits = HttpLimits(connection_count=500, idle_timeout_s=300)
        self._server = HttpServer(self.address, limits, self._handle)
        await self._server.__aenter__()
        self.address = self._server.address
        self._expiry = asyncio.create_task(self._expire())
        return self

    async def __aexit__(self, *exc_info):
        self._expiry.cancel()
        await self._server.__aexit__(*exc_info)

    def put(self, key, value, lease=0):
        """Write a key as the operator or a backend server does."""
        if not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        self.revision += 1
        before = self.items.get(key)
        made = before['create_rev'] if before else self.revision
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'create_rev': made,
            'lease': lease,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {'key': key, 'revision': self.revision, 'removed': True},
            )

    def compact(self):
        """Forget the history."""
        self.oldest = self.revision
        self.history.clear()
        self._wake()

    def _note(self, event):
        self.history.append(event)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            for lease, (_, until_s) in tuple(self.leases.items()):
                if loop.time() > until_s:
                    self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    async def _handle(self, request):
        self.calls.append(f'{request.method} {request.path}')
        if self.silent:
            await asyncio.sleep(3600)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.down:
            return HttpResponse(503)
        if request.path == '/v1/kv-watch':
            return await self._watch(request.query)
        response = self._answer(request)
        if self.lose_writes and request.path == '/v1/kv-txn':
            await asyncio.sleep(3600)
        return response

    def _answer(self, request):
        path, _, name = request.path.rpartition('/')
        if request.path == '/v1/kv-range':
            return self._range(request.query)
        if path == '/v1/kv-keep':
            return self._keep(int(name))
        if path == '/v1/kv-lease-end':
            self._end(int(name))
            return json_response({})
        answers = {'/v1/kv-txn': self._txn, '/v1/kv-lease': self._grant}
        if request.path not in answers:
            return HttpResponse(404)
        return answers[request.path](msgspec.json.decode(request.body))

    def freeze_stale_reads(self):
        """Let stale reads return the present state from now on."""
        self.stale_page = (dict(self.items), self.revision)

    def _range(self, query):
        items, revision = self.items, self.revision
        if query.get('stale_ok') == '1' and self.stale_page:
            items, revision = self.stale_page
        keys = sorted(
            key
            for key in items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        page = keys[: self.page_size]
        return json_response(
            {
                'items': [items[key] for key in page],
                'truncated': len(keys) > len(page),
                'current_rev': revision,
            },
        )

    async def _watch(self, query):
        after, prefix = int(query['after']), query['prefix']
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                while True:
                    if after < self.oldest and self.oldest > 1:
                        return HttpResponse(410)
                    if self._events(prefix, after) or self.down:
                        break
                    await self._changed.wait()
        if self.silent:
            await asyncio.sleep(3600)
        if self.down:
            return HttpResponse(503)
        return json_response(
            {
                'events': self._events(prefix, after),
                'current_rev': self.revision,
            },
        )

    def _events(self, prefix, after):
        return [
            event
            for event in self.history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    def _txn(self, body):
        for row in body['expected']:
            held = self.items.get(row['key'])
            if (held['revision'] if held else 0) != row['revision']:
                return json_response({'items': []}, 412)
        for put in body['puts']:
            lease = put.get('lease', 0)
            if lease and lease not in self.leases:
                return HttpResponse(404)
            self.put(put['key'], base64.b64decode(put['value']), lease)
        for key in body['deletes']:
            self.remove(key)
        return json_response({'revision': self.revision})

    def _grant(self, body):
        lease = next(self._numbers)
        ttl_s = body['ttl_ms'] / 1000
        until_s = asyncio.get_running_loop().time() + ttl_s
        self.leases[lease] = (ttl_s, until_s)
        return json_response({'lease': lease, 'ttl_ms': body['ttl_ms']})

    def _keep(self, lease):
        if lease not in self.leases:
            return HttpResponse(404)
        ttl_s, _ = self.leases[lease]
        until_s = asyncio.get_running_loop().time() + ttl_s
        self.leases[lease] = (ttl_s, until_s)
        return json_response({'ttl_ms': int(ttl_s * 1000)})
