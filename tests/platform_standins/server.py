"""Stand-in for a backend server, in the protocol of the platform."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import h11

SIGNED = 'response-signature'
_CHUNKED = b'Transfer-Encoding: chunked\r\n'


class ServerStandin:
    """HTTP server that answers each request in the next mode of `modes`.

    The last mode applies to all further requests.

    Modes: ``ok``, ``error`` (500), ``shed`` (503, not executed), ``other``
    (421 of another instance), ``reset`` (runs the request, then resets the
    connection), ``truncated`` (three bytes short), ``garbage`` (not HTTP),
    ``unframed`` (no content length, ends with the connection),
    ``unframed-reset`` (the same, ends with a reset), ``stale`` (preceded by
    a response to another request), ``doubled`` (the response twice),
    ``encoded`` (with a content encoding), ``silent`` (no response),
    ``chunked`` (chunked transfer encoding), ``closing`` (with
    ``Connection: close``), ``cut-head`` (half of the head, then the end of
    the connection), ``cut-head-reset`` (the same, ends with a reset),
    ``endless`` (a body that goes on until the caller closes),
    ``endless-chunks`` (the same in chunks).

    Attributes
    ----------
    runs : list of str
        Ids of the requests that were run, in order.
    requests : list of tuple
        Method, target, header fields and body of every request received.
    abandoned_count : int
        Number of requests whose caller closed the connection during
        `delay_s`.
    endless_bytes : int
        Number of bytes of bodies without end that callers took.
    crashing_path, crashing_target : str or None
        Path, or path with query, of requests that end the server when it runs
        them.
    crashing_fields : dict of str to str
        Header fields that such requests must have too.
    limit_per_s : float or None
        Requests a second that the server names as its limit.
    down_s : float
        Time after which the server is back from a crash.
    arrivals : list of tuple
        Time of arrival and path of every request, on the clock of the loop.
    crash_times_s : list of float
        Times of all crashes, on the clock of the loop.
    """

    def __init__(self, name, address='127.0.0.1:0', body=b'', delay_s=0):
        self.name, self.address, self.body = name, address, body
        self.crashing_path = None
        self.crashing_target = None
        self.crashing_fields = {}
        self.limit_per_s = None
        self.down_s = 3
        self.arrivals = []
        self.crash_times_s = []
        self._return_task = None
        self.modes = ['ok']
        self.delay_s = delay_s
        self.runs = []
        self.requests = []
        self.abandoned_count = 0
        self.connection_count = 0
        self.endless_bytes = 0
        self._writers = set()

    async def __aenter__(self):
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(self, *exc_info):
        if self._return_task is not None:
            self._return_task.cancel()
        self._end()

    def crash(self):
        """End at once, and be back on the same address after `down_s`."""
        self.crash_times_s.append(asyncio.get_running_loop().time())
        self._end()
        self._return_task = asyncio.create_task(self._return())

    def _end(self):
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _return(self):
        await asyncio.sleep(self.down_s)
        await self.__aenter__()

    def registration(self, service, **fields):
        """Return the entry that the server writes to the store."""
        return {
            'service': service,
            'address': self.address,
            'zone': 'here',
            'version': 'v1',
            'concurrency': 5,
            'state': 'ready',
            'warmup_left_ms': 0,
            'sequence': 1,
        } | fields

    async def _serve(self, reader, writer):
        self.connection_count += 1
        self._writers.add(writer)
        protocol = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError):
            while await self._serve_one(protocol, reader, writer):
                protocol.start_next_cycle()
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(self, protocol, reader, writer):
        received = await _read_request(protocol, reader)
        if received is None:
            return False
        head, body = received
        fields = {n.decode(): v.decode() for n, v in head.headers}
        target = head.target.decode()
        self.requests.append((head.method.decode(), target, fields, body))
        path = target.partition('?')[0]
        self.arrivals.append((asyncio.get_running_loop().time(), path))
        is_crashing = (
            self.crashing_path == path or self.crashing_target == target
        ) and self.crashing_fields.items() <= fields.items()
        return await self._respond(
            protocol, reader, writer, (is_crashing, fields)
        )

    async def _respond(self, protocol, reader, writer, request):
        is_crashing, fields = request
        mode = self.modes.pop(0) if len(self.modes) > 1 else self.modes[0]
        request_id = fields.get('request-id', '')
        if mode == 'shed':
            writer.write(_empty_response(503, b'Not-Executed: 1\r\n'))
            return _complete_cycle(protocol)
        if mode == 'other' or fields.get('target-instance') != self.name:
            writer.write(_empty_response(421, b'Instance-Id: i-other\r\n'))
            return False
        self.runs.append(request_id)
        if is_crashing:
            self.crash()
            return False
        if self.delay_s and not await self._wait_for_delay(reader):
            self.abandoned_count += 1
            return False
        if mode == 'silent':
            await asyncio.sleep(3600)
        if mode in {'endless', 'endless-chunks'}:
            await self._write_without_end(mode, request_id, writer)
        if self._write_response(mode, request_id, writer):
            return _complete_cycle(protocol)
        return False

    async def _wait_for_delay(self, reader):
        """Wait for `delay_s`; return False if the caller closes meanwhile."""
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closed}, timeout=self.delay_s)
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        return not done

    async def _write_without_end(self, mode, request_id, writer):
        """Write until the caller closes, which raises `OSError`."""
        part = b'x' * 16_384
        head = self._response(request_id, b'', framed=False)
        if mode == 'endless-chunks':
            part = b'4000\r\n' + part + b'\r\n'
            head = self._head(request_id, extra=_CHUNKED) + b'\r\n'
        writer.write(head)
        while True:
            writer.write(part)
            await writer.drain()
            self.endless_bytes += len(part)

    def _write_response(self, mode, request_id, writer):
        """Write the response; return whether the connection is kept open."""
        closing_responses = {
            'reset': b'',
            'truncated': self._response(request_id)[:-3],
            'garbage': b'\x00\xff not http\r\n\r\n',
            'unframed': self._response(request_id, framed=False),
            'unframed-reset': self._response(request_id, framed=False),
            'cut-head': self._head(request_id)[:-20],
            'cut-head-reset': self._head(request_id)[:-20],
            'closing': self._response(
                request_id, extra=b'Connection: close\r\n'
            ),
        }
        if mode in closing_responses:
            writer.write(closing_responses[mode])
            if mode.endswith('reset'):
                _reset_connection(writer)
            return False
        complete = self._response(request_id)
        kept_responses = {
            'stale': self._response('another', b'x' * 32) + complete,
            'doubled': complete + complete,
            'encoded': self._response(
                request_id, extra=b'Content-Encoding: br\r\n'
            ),
            'error': self._response(request_id, status=500),
            'chunked': self._chunked(request_id),
        }
        writer.write(kept_responses.get(mode, complete))
        return True

    def _head(self, request_id, status=200, extra=b''):
        if self.limit_per_s is not None:
            extra += f'Server-Limit: {self.limit_per_s}\r\n'.encode()
        return (
            f'HTTP/1.1 {status} x\r\nRequest-Id: {request_id}\r\n'
            f'Response-Signature: {self.name}.{request_id}\r\n'
        ).encode() + extra

    def _response(
        self, request_id, body=None, status=200, *, framed=True, extra=b''
    ):
        body = self.body if body is None else body
        head = self._head(request_id, status, extra)
        if framed:
            head += f'Content-Length: {len(body)}\r\n'.encode()
        return head + b'\r\n' + body

    def _chunked(self, request_id):
        head = self._head(request_id, extra=_CHUNKED)
        size = f'{len(self.body):x}'.encode()
        return head + b'\r\n' + size + b'\r\n' + self.body + b'\r\n0\r\n\r\n'


async def _read_request(protocol, reader):
    """Return the head and the body, or None if the connection ended."""
    head, body = None, b''
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(65_536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            is_complete = isinstance(event, h11.EndOfMessage)
            return (head, body) if is_complete else None


def _complete_cycle(protocol):
    """Record the response in the protocol, so that its next cycle can start."""
    protocol.send(h11.Response(status_code=200, headers=[]))
    protocol.send(h11.EndOfMessage())
    return True


def _reset_connection(writer):
    """Close with a TCP reset; without SO_LINGER 0 the peer would see a FIN."""
    linger = struct.pack('ii', 1, 0)
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    writer.transport.abort()


def _empty_response(status, extra):
    return (
        f'HTTP/1.1 {status} x\r\nContent-Length: 0\r\n'.encode()
        + extra
        + b'\r\n'
    )
