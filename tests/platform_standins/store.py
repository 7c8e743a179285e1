"""Stand-in for the key-value store, in the protocol of the platform."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools

import msgspec

from boragespool.http import HttpLimits, HttpResponse, HttpServer, json_response

LEASE_CHECK_INTERVAL_S = 0.05


class StoreStandin:
    """In-memory key-value store with revisions, watches, leases and faults.

    Attributes
    ----------
    items : dict
        Current items by key, as they are sent.
    history : list of dict
        Changes since the last compaction, which watches return.
    oldest_revision : int
        Revision of the last compaction; a watch from an earlier one gets 410.
    leases : dict
        Time to live in seconds and time of expiry, by lease.
    down : bool
        Whether every request gets 503.
    silent : bool
        Whether requests get no response.
    delay_s : float
        Delay before each response.
    lose_write_replies : bool
        Whether transactions are applied but get no response.
    page_size : int
        Maximum number of items in a range response.
    stale_state : tuple or None
        Items and revision that stale reads return, if not the current ones.
    calls : list of str
        Method and path of every request.
    """

    def __init__(self, address='127.0.0.1:0'):
        self.address = address
        self.items = {}
        self.history = []
        self.revision = 1
        self.oldest_revision = 1
        self.leases = {}
        self.down = False
        self.silent = False
        self.delay_s = 0
        self.lose_write_replies = False
        self.page_size = 500
        self.stale_state = None
        self.calls = []
        self._lease_ids = itertools.count(100)
        self._changed = asyncio.Event()

    async def __aenter__(self):
        limits = HttpLimits(connection_count=500, idle_timeout_s=300)
        self._server = HttpServer(self.address, limits, self._handle)
        await self._server.__aenter__()
        self.address = self._server.address
        self._expiry_task = asyncio.create_task(self._expire_leases())
        return self

    async def __aexit__(self, *exc_info):
        self._expiry_task.cancel()
        await self._server.__aexit__(*exc_info)

    def put(self, key, value, lease=0):
        """Write a key, as the operator or a backend server does."""
        if not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        self.revision += 1
        before = self.items.get(key)
        create_revision = before['create_rev'] if before else self.revision
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'create_rev': create_revision,
            'lease': lease,
        }
        self.items[key] = item
        self._append_event(item)

    def remove(self, key):
        """Remove a key, if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event(
                {'key': key, 'revision': self.revision, 'removed': True},
            )

    def compact(self):
        """Drop the history, so that watches of older revisions get 410."""
        self.oldest_revision = self.revision
        self.history.clear()
        self._wake_watches()

    def _append_event(self, event):
        self.history.append(event)
        self._wake_watches()

    def _wake_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            for lease, (_, until_s) in tuple(self.leases.items()):
                if loop.time() > until_s:
                    self._end_lease(lease)

    def _end_lease(self, lease):
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
        if self.lose_write_replies and request.path == '/v1/kv-txn':
            await asyncio.sleep(3600)
        return response

    def _answer(self, request):
        path, _, name = request.path.rpartition('/')
        if request.path == '/v1/kv-range':
            return self._range(request.query)
        if path == '/v1/kv-keep':
            return self._renew_lease(int(name))
        if path == '/v1/kv-lease-end':
            self._end_lease(int(name))
            return json_response({})
        answers = {'/v1/kv-txn': self._txn, '/v1/kv-lease': self._grant_lease}
        if request.path not in answers:
            return HttpResponse(404)
        return answers[request.path](msgspec.json.decode(request.body))

    def freeze_stale_reads(self):
        """Make stale reads return the current state from now on."""
        self.stale_state = (dict(self.items), self.revision)

    def _range(self, query):
        items, revision = self.items, self.revision
        if query.get('stale_ok') == '1' and self.stale_state:
            items, revision = self.stale_state
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
                    if (
                        after < self.oldest_revision
                        and self.oldest_revision > 1
                    ):
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
        for condition in body['expected']:
            current = self.items.get(condition['key'])
            if (current['revision'] if current else 0) != condition['revision']:
                return json_response({'items': []}, 412)
        for put in body['puts']:
            lease = put.get('lease', 0)
            if lease and lease not in self.leases:
                return HttpResponse(404)
            self.put(put['key'], base64.b64decode(put['value']), lease)
        for key in body['deletes']:
            self.remove(key)
        return json_response({'revision': self.revision})

    def _grant_lease(self, body):
        lease = next(self._lease_ids)
        ttl_s = body['ttl_ms'] / 1000
        until_s = asyncio.get_running_loop().time() + ttl_s
        self.leases[lease] = (ttl_s, until_s)
        return json_response({'lease': lease, 'ttl_ms': body['ttl_ms']})

    def _renew_lease(self, lease):
        if lease not in self.leases:
            return HttpResponse(404)
        ttl_s, _ = self.leases[lease]
        until_s = asyncio.get_running_loop().time() + ttl_s
        self.leases[lease] = (ttl_s, until_s)
        return json_response({'ttl_ms': int(ttl_s * 1000)})
