"""Minimal backend server and daemon context for tests of controllers."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import asynccontextmanager

import msgspec

from boragespool.bench.ports import free_address
from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import DOCUMENT_IN_FORCE
from boragespool.controllers.context import Context, Identity
from boragespool.http import HttpLimits, HttpServer, json_response
from boragespool.messages import WorkRequest
from boragespool.peers import PeerNetwork, PeerOptions
from boragespool.revisions import RevisionDocument
from boragespool.settings import ServerSettings, ServiceSettings, Settings
from boragespool.timers import LoopTimers
from boragespool.types import Rank, WorkKind

NUMBERS = itertools.count()


class FakeBackend:
    """Backend server that responds as the body of the work asks.

    The body is ``{"mode": ..., "delay_s": ...}``. Modes: ``shed``,
    ``draining``, ``deadline`` and ``not_held`` (refused with this reason),
    ``crash`` (stops the server), ``wrong`` (another attempt id), ``short``
    (fewer items than counted).

    Attributes
    ----------
    attempts : list of str
        Ids of the attempts received.
    peak_in_flight : int
        Largest number of attempts that ran at the same time.
    polls : int
        Number of status requests.
    deadlines : list of float
        Remaining time that each attempt was given, in seconds.
    cancelled : list of str
        Ids of the attempts that were cancelled.
    running : dict of str to asyncio.Future
        Running attempts by id.
    """

    def __init__(self, name='s', incarnation=1, address='127.0.0.1:0'):
        self.name, self.incarnation, self.address = name, incarnation, address
        self.state = 'serving'
        self.slots = 5
        self.attempts, self.peak_in_flight, self.polls = [], 0, 0
        self.deadlines = []
        self.cancelled = []
        self.running = {}

    async def __aenter__(self):
        limits = HttpLimits(connection_count=50)
        self._server = HttpServer(self.address, limits, self._handle)
        await self._server.__aenter__()
        self.address = self._server.address
        return self

    async def __aexit__(self, *exc_info):
        await self._server.__aexit__()

    @property
    def connection_count(self):
        """Number of open connections."""
        return self._server.connection_count

    async def _handle(self, request):
        if request.path == '/v1/status':
            self.polls += 1
            return json_response(
                {
                    'server': self.name,
                    'incarnation': self.incarnation,
                    'service': 'v',
                    'state': self.state,
                    'slots': self.slots,
                    'in_flight': len(self.running),
                    'load': 0.5,
                    'holdings': {'7': [[0, 100]]},
                },
            )
        body = msgspec.json.decode(request.body)
        attempt_id = body['attempt_id']
        if request.path == '/v1/cancel':
            task = self.running.get(attempt_id)
            if task is not None:
                self.cancelled.append(attempt_id)
                task.cancel()
            return json_response(
                {'cancelled': task is not None, 'run': 'not_run'},
            )
        return await self._work(body, attempt_id, body['body'] or {})

    async def _work(self, body, attempt_id, options):
        self.attempts.append(attempt_id)
        self.deadlines.append(body['deadline_s'])
        mode = options.get('mode')
        if mode in {'shed', 'draining', 'deadline'}:
            return json_response({'run': 'not_run', 'reason': mode}, 503)
        if mode == 'not_held':
            return json_response({'run': 'not_run', 'reason': mode}, 409)
        if mode == 'crash':
            asyncio.get_running_loop().call_soon(
                asyncio.ensure_future,
                self.__aexit__(),
            )
            await asyncio.sleep(5)
        task = asyncio.ensure_future(asyncio.sleep(options.get('delay_s', 0)))
        self.running[attempt_id] = task
        self.peak_in_flight = max(self.peak_in_flight, len(self.running))
        await asyncio.wait((task,))
        self.running.pop(attempt_id)
        if task.cancelled():
            return json_response({'run': 'not_run', 'reason': 'cancelled'}, 409)
        reply = {
            'attempt_id': 'other' if mode == 'wrong' else attempt_id,
            'version': body['version'],
            'start': body['start'],
            'end': body['end'],
            'items': [{'key': 1, 'value': options}],
            'item_count': 2 if mode == 'short' else 1,
            'run': 'run',
        }
        return json_response(reply)


def work_request(mode=None, delay_s=0, **options):
    """Return a request to the server ``s``, with a new attempt id."""
    number = next(NUMBERS)
    fields = {
        'attempt_id': f'a{number}',
        'request_id': f'r{number}',
        'kind': WorkKind.QUERY,
        'route': 'find',
        'server': 's',
        'rank': Rank.URGENT,
        'caller': 'c',
        'deadline_s': 2,
        'body': msgspec.json.encode({'mode': mode, 'delay_s': delay_s}),
        'fingerprint': number + 1_000,
        'version': 7,
        'start': 0,
        'end': 100,
    }
    return WorkRequest(**fields | options)


def document(addresses, **server_options):
    """Return a revision with one service ``v`` of the given servers."""
    servers = {
        name: ServerSettings(address, 'north', host=f'host-{name}')
        for name, address in addresses.items()
    }
    for name, options in server_options.items():
        servers[name] = ServerSettings(
            addresses[name],
            'north',
            host=f'host-{name}',
            **options,
        )
    service = ServiceSettings(slots=5, connections=8, servers=servers)
    return RevisionDocument(1, 'c', Settings(services={'v': service}))


@asynccontextmanager
async def daemon_context(revision, host='a', incarnation=1):
    """Yield the context of one daemon, with its own peer network."""
    address = free_address()
    identity = Identity(host, incarnation, 'north', 'r', address, 'x:1')
    board = Blackboard()
    board.post(DOCUMENT_IN_FORCE, revision)
    timers = LoopTimers()
    options = PeerOptions(host, incarnation, address)
    async with PeerNetwork(options, timers) as peers:
        yield Context(identity, board, timers, peers, lambda: 0.5)
