"""Stand-ins for the review's scripts; only the standard library is used.

`Store` is the platform's key-value store, `Backend` a backend server, `Daemon`
a process of this project that is started with the command of the deploy file,
and `exchange` a client. They speak what PROTOCOL.md says. All addresses are
loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shlex
import signal
import socket
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
GRACE_S = 6
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_window_ms': 5000,
    'ack_ms': 6000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_s': GRACE_S,
    'loss_slack_ms': 200,
    'config_apply_ms': 3000,
    'rollback_slack_ms': 250,
    'outer_ms': 15000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 52,
    'recovery_s': 12,
    'ttl_max_s': 5,
}


class Record:
    """Writes what was sent, answered and run to a file, with times."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._start_s = time.monotonic()

    def now_s(self):
        """Return the time since the start of the record, in seconds."""
        return time.monotonic() - self._start_s

    def write(self, text):
        """Append one line."""
        self._file.write(f'{self.now_s():8.3f} {text}\n')
        self._file.flush()


class Message:
    """A request or response: first line, fields in lower case, body."""

    def __init__(self, first_line, fields, body=b''):
        self.first_line, self.fields, self.body = first_line, fields, body

    def field(self, name, default=''):
        """Return the first value of a field as text."""
        for field_name, value in self.fields:
            if field_name == name:
                return value.decode('latin-1')
        return default

    @property
    def status(self):
        """Status of a response."""
        return int(self.first_line.split()[1])


async def read_message(reader, *, is_response=False):
    """Read one message; None if the peer closed before its first byte."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError('closed within a head') from error
        return None
    first_line, *lines = head[:-4].split(b'\r\n')
    fields = []
    for line in lines:
        name, _, value = line.partition(b':')
        fields.append((name.strip().lower().decode('ascii'), value.strip()))
    message = Message(first_line.decode('latin-1'), tuple(fields))
    try:
        if message.field('transfer-encoding') == 'chunked':
            message.body = await _read_chunks(reader)
        elif message.field('content-length'):
            size = int(message.field('content-length'))
            message.body = await reader.readexactly(size)
        elif is_response:
            message.body = await reader.read()
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError('closed within a body') from error
    return message


async def _read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        part = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return b''.join(parts)
        parts.append(part)


class HttpStandin:
    """HTTP server that answers each request with `answer`."""

    def __init__(self, port=0):
        self._port = port
        self.address = ''
        self._writers = set()

    async def start(self):
        """Listen on a loopback address."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self._port, limit=1_048_576
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{self._port}'
        return self

    def stop(self):
        """Stop listening and close all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                response = await self.answer(message)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def answer(self, message):
        """Return the bytes of the response; None closes the connection."""
        raise NotImplementedError


def encode_response(status, body=b'', fields=()):
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} x'.encode()]
    for name, value in fields:
        raw = value if isinstance(value, bytes) else value.encode()
        lines.append(name.encode() + b': ' + raw)
    lines.append(f'Content-Length: {len(body)}'.encode())
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


class Store(HttpStandin):
    """The platform's store: linearizable, with leases and watches."""

    def __init__(self):
        super().__init__()
        self.items, self.history, self.revision = {}, [], 1
        self._leases, self._next_lease = {}, 100
        self._changed = asyncio.Event()

    async def start(self):
        await super().start()
        self._expiry = asyncio.create_task(self._expire())
        return self

    def put(self, key, value, lease=0):
        """Write a key; the return is the acknowledgement."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get('create_rev', self.revision)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(raw).decode(),
            'revision': self.revision,
            'create_rev': created,
            'lease': lease,
        }
        self._add_event(self.items[key])

    def remove(self, key):
        """Remove a key; the return is the acknowledgement."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {'key': key, 'revision': self.revision, 'removed': True}
            self._add_event(event)

    def _add_event(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, until_s) in tuple(self._leases.items()):
                if time.monotonic() > until_s:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    async def answer(self, message):
        method, target, _ = message.first_line.split()
        path, _, query_text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        body = json.loads(message.body) if message.body else {}
        if path == '/v1/kv-watch':
            status, document = await self._watch(query)
        else:
            await asyncio.sleep(0.004)
            status, document = self._call(method, path, query, body)
        return encode_response(
            status,
            json.dumps(document).encode(),
            (('Content-Type', 'application/json'),),
        )

    def _call(self, method, path, query, body):
        if path == '/v1/kv-key':
            item = self.items.get(query['key'])
            return (200, item) if item else (404, {})
        if path == '/v1/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query['prefix'])
                and key > query.get('after', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'truncated': len(keys) > 500,
                'current_rev': self.revision,
            }
        if path == '/v1/kv-txn':
            return self._transact(body)
        if path == '/v1/kv-lease':
            self._next_lease += 1
            lease, ttl_s = self._next_lease, body['ttl_ms'] / 1000
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'lease': lease, 'ttl_ms': body['ttl_ms']}
        lease = int(path.rpartition('/')[2])
        if path.startswith('/v1/kv-lease-end/'):
            self._end_lease(lease)
            return 200, {}
        if lease not in self._leases:
            return 404, {}
        ttl_s = self._leases[lease][0]
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {'lease': lease, 'ttl_ms': int(ttl_s * 1000)}

    def _transact(self, body):
        rows = body.get('expected', ())
        for row in rows:
            current = self.items.get(row['key'], {'revision': 0})
            if current['revision'] != row['revision']:
                kept = [self.items.get(r['key']) for r in rows]
                return 412, {'items': [item for item in kept if item]}
        puts = body.get('puts', ())
        if any(p.get('lease') and p['lease'] not in self._leases for p in puts):
            return 404, {}
        for put in puts:
            value = base64.b64decode(put['value'])
            self.put(put['key'], value, put.get('lease', 0))
        for key in body.get('deletes', ()):
            self.remove(key)
        return 200, {'revision': self.revision}

    async def _watch(self, query):
        after, prefix = int(query['after']), query['prefix']
        until_s = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Backend(HttpStandin):
    """Backend server of one service.

    Attributes
    ----------
    runs : list of (float, str, str)
        Time, id and path of each request that was run.
    """

    def __init__(self, name, service, record, zone='here', work_s=0.01):
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.record, self.work_s = record, work_s
        self.runs = []
        self.sequence = 0
        self.born = int(time.time() * 1000)

    def entry(self, state='ready'):
        """Return the next entry of the server in the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'concurrency': 6,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def answer(self, message):
        _, target, _ = message.first_line.split()
        request_id = message.field('request-id')
        if target == '/health':
            return encode_response(200, b'', (('Instance-Id', self.name),))
        wanted = message.field('target-instance')
        if wanted and wanted != self.name:
            return encode_response(421, b'', (('Instance-Id', self.name),))
        self.runs.append((self.record.now_s(), request_id, target))
        self.record.write(f'{self.name} runs {request_id} {target}')
        await asyncio.sleep(self.work_s)
        return self.respond(message, request_id)

    def signed_fields(self, request_id):
        """Return the fields of each answer."""
        return (
            ('Request-Id', request_id),
            ('Response-Signature', f'{self.name}.{request_id}'),
        )

    def respond(self, _, request_id):
        """Return the bytes of the answer to a request that was run."""
        body = f'{self.name} {request_id}'.encode()
        return encode_response(200, body, self.signed_fields(request_id))


def free_ports(count):
    """Return free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(('127.0.0.1', 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


class Daemon:
    """One process of the system, started as the deploy file says."""

    def __init__(self, name, store_address, folder, record, zone='here'):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._command = shlex.split(deploy['roles']['entry']['run'])
        self.name, self.record = name, record
        front, readiness, control, directory = free_ports(4)
        self.front, self.readiness, self.directory = front, readiness, directory
        self.settings = {
            'node': name,
            'role': 'entry',
            'machine_class': 'front',
            'serves': ['front', 'directory', 'control'],
            'ip': '127.0.0.1',
            'zone': zone,
            'region': f'{zone}-region',
            'zones': {'here': 'here-region', 'there': 'there-region'},
            'listen_addrs': {
                'front': f'127.0.0.1:{front}',
                'readiness': f'127.0.0.1:{readiness}',
                'control': f'127.0.0.1:{control}',
                'directory': f'127.0.0.1:{directory}',
            },
            'seeds': [],
            'bootstrap': True,
            'limits': {
                'cpu_share': 0.537,
                'cpu_cores': 2,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'heartbeat_ms': 1200,
            'bounds': BOUNDS,
            'platform': {
                'address': store_address,
                'form': 'kv',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'ttl_min_ms': 1000,
            },
        }
        self._path = pathlib.Path(folder) / f'{name}.json'
        self._log_path = pathlib.Path(folder) / f'{name}.log'
        self.process = None

    async def start(self):
        """Start the process."""
        self._path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['BORAGESPOOL_BOOT'] = str(self._path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with self._log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f'start {self.name}')
        return self

    async def wait_until_ready(self, timeout_s=20):
        """Wait for a 200 from the readiness address."""
        async with asyncio.timeout(timeout_s):
            while True:
                with contextlib.suppress(OSError, TimeoutError):
                    answer = await exchange(self.readiness, 'GET /v1/ready')
                    if answer.status == 200:
                        return
                await asyncio.sleep(0.05)

    def signal(self, number):
        """Send a signal to the process."""
        self.record.write(f'{signal.Signals(number).name} to {self.name}')
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def stop(self):
        """Stop the process as the platform does."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def kill(self):
        """End the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def encode_request(first_words, fields=(), body=b''):
    """Return the bytes of a request, such as ``'GET /path'``."""
    lines = [f'{first_words} HTTP/1.1'.encode()]
    for name, value in fields:
        raw = value if isinstance(value, bytes) else value.encode()
        lines.append(name.encode() + b': ' + raw)
    if body or not first_words.startswith('GET'):
        lines.append(f'Content-Length: {len(body)}'.encode())
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


async def exchange(port, first_words, fields=(), body=b'', timeout_s=5):
    """Send one request on a new connection; return the answer.

    Raises
    ------
    OSError, TimeoutError
        If the connection ends, or the time, without a complete answer.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            all_fields = fields or (('Host', 'none.example'),)
            writer.write(encode_request(first_words, all_fields, body))
            answer = await read_message(reader, is_response=True)
            if answer is None:
                raise ConnectionResetError('closed without an answer')
            return answer
        finally:
            writer.close()


def configuration(version, routes, services=()):
    """Return a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': list(routes),
        'services': [{'name': s, 'max_conns': 96} for s in services],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def route(name, prefix, **fields):
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': prefix,
        'type': 'idempotent',
        'timeout_ms': 6000,
        'target_latency_ms': 2000,
        'attempts': 2,
        'priority': 1,
    } | fields
