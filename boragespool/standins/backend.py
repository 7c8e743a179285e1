"""Stand-in for one backend server: HTTP API, crashes and test switches.

Owns the listener and its connections. `Workload` runs the work.
"""

from __future__ import annotations

import asyncio
import time
import weakref
from dataclasses import asdict, dataclass, field, replace
from typing import TYPE_CHECKING, Any, Final, Self

import msgspec

from boragespool.http import (
    HttpLimits,
    HttpServer,
    failure_response,
    json_response,
)
from boragespool.results import Failure, ResultCode
from boragespool.standins.attempts import Work
from boragespool.standins.switches import (
    BackendSwitches,
    decode_changes,
    drop_connection,
    with_changes,
)
from boragespool.standins.workload import Workload
from boragespool.types import Address, ServerName, ServerState, ServiceName

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.http import HttpRequest, HttpResponse

_ACTION_NAMES: Final = ('silence', 'crash', 'restart')
_MS_PER_S: Final = 1_000


@dataclass(frozen=True, slots=True)
class BackendSpec:
    """Configuration of one stand-in backend server.

    Attributes
    ----------
    address : str
        ``ip:port`` to listen on; port 0 selects a free port.
    connections : int
        Maximum number of connections that its listener accepts.
    seed : int
        Seed of the random choice of stragglers, combined with the name.
    switches : BackendSwitches
        Initial values of the test switches.
    """

    name: ServerName
    service: ServiceName
    address: Address = '127.0.0.1:0'
    connections: int = 40
    seed: int = 0
    switches: BackendSwitches = field(default_factory=BackendSwitches)


class BackendServer:
    """Server of the backend server protocol, an async context manager.

    Parameters
    ----------
    spec : BackendSpec
        Name, service, address and initial switches.

    Attributes
    ----------
    spec : BackendSpec
        Configuration; after the first start its address has the port in use.
    switches : BackendSwitches
        Test switches in force.
    incarnation : int
        Wall time of the last start, in milliseconds; it increases with each
        start.
    counters : Counters
        Counts of all starts together.
    """

    def __init__(self, spec: BackendSpec) -> None:
        """Set up a server that does not listen before `__aenter__`."""
        self.spec = spec
        self.switches = spec.switches
        self.incarnation = 0
        self._listener: HttpServer | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._restart_task: asyncio.Task[None] | None = None
        # One task of the listener serves each connection and identifies it.
        self._connections: weakref.WeakSet[asyncio.Task[Any]] = (
            weakref.WeakSet()
        )
        self._silenced_connections: weakref.WeakSet[asyncio.Task[Any]] = (
            weakref.WeakSet()
        )
        self._workload = Workload(
            spec.name,
            spec.service,
            spec.seed,
            lambda: self.switches,
            self.crash,
        )
        self.counters = self._workload.counters

    async def __aenter__(self) -> Self:
        """Start to listen."""
        await self._start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening and close the connections."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stop()

    @property
    def address(self) -> Address:
        """``ip:port`` of the server; a restart keeps it."""
        return self.spec.address

    @property
    def is_listening(self) -> bool:
        """Whether the listener is open; it is not between crash and restart."""
        return self._listener is not None

    def silence(self) -> None:
        """Stop answering on the connections used so far.

        Requests on new connections are answered.
        """
        self._silenced_connections.update(self._connections)
        self.counters.silenced += 1

    def crash(self) -> None:
        """Close the listener and abort all connections.

        The server restarts after `BackendSwitches.restart_s` seconds. If that
        is None, it stays down until `restart` is called.
        """
        listener = self._listener
        if listener is not None:
            self._listener = None
            self.counters.crashes += 1
            self._create_task(self._crash(listener))

    def restart(self) -> None:
        """Start a new incarnation; a running server crashes first."""
        self.crash()
        self._restart_task = self._create_task(self._start())

    async def wait_for_restart(self) -> None:
        """Wait until the server listens after a call of `restart`, if any."""
        if self._restart_task is not None:
            await asyncio.wait((self._restart_task,))

    def control(self, changes: Mapping[str, Any]) -> Failure | None:
        """Change test switches and run actions.

        Parameters
        ----------
        changes : mapping
            New values of `BackendSwitches` by name. ``silence``, ``crash``
            and ``restart`` set to true call the method of that name.

        Returns
        -------
        Failure or None
            ``MALFORMED_BODY`` if a switch is unknown or its value invalid;
            then nothing changes.
        """
        switches = with_changes(
            self.switches,
            {
                name: changes[name]
                for name in changes
                if name not in _ACTION_NAMES
            },
        )
        if isinstance(switches, Failure):
            return switches
        self.switches = switches
        for name in _ACTION_NAMES:
            if changes.get(name):
                getattr(self, name)()
        return None

    def status(self) -> dict[str, Any]:
        """Return the body of ``GET /v1/status``.

        `BackendSwitches.reported` overrides the actual values.
        """
        in_flight = self._workload.reported_in_flight()
        state = ServerState.SERVING
        if self._workload.is_cold:
            state = ServerState.COLD
        if self.switches.draining:
            state = ServerState.DRAINING
        actual = {
            'server': self.spec.name,
            'incarnation': self.incarnation,
            'service': self.spec.service,
            'state': state,
            'slots': self.switches.slots,
            'in_flight': in_flight,
            'load': in_flight / max(1, self.switches.slots),
            'holdings': self.switches.holdings,
        }
        return actual | self.switches.reported

    def report(self) -> dict[str, Any]:
        """Return the body of ``GET /v1/control``: counters and switches."""
        listener = self._listener
        return {
            'name': self.spec.name,
            'address': self.address,
            'incarnation': self.incarnation,
            'listening': self.is_listening,
            'in_flight': self._workload.in_flight,
            'connections': listener.connection_count if listener else 0,
            # In Python 3.11, `asdict` rebuilds a Counter from its items and so
            # counts the (key, value) pairs.
            'counters': msgspec.to_builtins(self.counters),
            'switches': asdict(self.switches),
        }

    async def _start(self) -> None:
        if self._listener is not None:
            return
        listener = HttpServer(
            self.spec.address,
            HttpLimits(connection_count=self.spec.connections),
            self._handle,
        )
        self._listener = listener
        await listener.__aenter__()
        self.spec = replace(self.spec, address=listener.address)
        now_ms = int(time.time() * _MS_PER_S)
        self.incarnation = max(self.incarnation + 1, now_ms)
        self._workload.start()

    async def _stop(self) -> None:
        listener = self._listener
        if listener is not None:
            self._listener = None
            await listener.__aexit__()

    async def _crash(self, listener: HttpServer) -> None:
        await listener.__aexit__()
        if self.switches.restart_s is not None:
            await asyncio.sleep(self.switches.restart_s)
            await self._start()

    def _create_task(self, coroutine: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        connection = asyncio.current_task()
        if connection is not None and connection not in self._connections:
            self._connections.add(connection)
            self.counters.connections_opened += 1
            await asyncio.sleep(self.switches.connection_cost_s)
        await self._drop_if_silenced(connection)
        response = await self._serve(request)
        await self._drop_if_silenced(connection)
        return response

    async def _drop_if_silenced(
        self,
        connection: asyncio.Task[Any] | None,
    ) -> None:
        if connection in self._silenced_connections:
            await asyncio.sleep(self.switches.silent_hold_s)
            drop_connection()

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        match (request.method, request.path):
            case ('POST', '/v1/work'):
                return await self._serve_work(request.body)
            case ('POST', '/v1/cancel'):
                return self._serve_cancel(request.body)
            case ('GET', '/v1/status'):
                return json_response(self.status())
            case ('GET', '/v1/control'):
                return json_response(self.report())
            case ('POST', '/v1/control'):
                return self._serve_control(request.body)
        return failure_response(
            Failure(
                ResultCode.UNKNOWN_PATH,
                f'no {request.method!r} at {request.path!r}',
            ),
        )

    async def _serve_work(self, body: bytes) -> HttpResponse:
        try:
            work = msgspec.json.decode(body, type=Work)
        except msgspec.MsgspecError as error:
            return _malformed_body_response(error)
        return await self._workload.run(work)

    def _serve_cancel(self, body: bytes) -> HttpResponse:
        try:
            cancel_body = msgspec.json.decode(body, type=dict[str, str])
        except msgspec.MsgspecError as error:
            return _malformed_body_response(error)
        return self._workload.cancel(cancel_body.get('attempt_id', ''))

    def _serve_control(self, body: bytes) -> HttpResponse:
        changes = decode_changes(body)
        failure = (
            changes if isinstance(changes, Failure) else self.control(changes)
        )
        if failure is not None:
            return failure_response(failure)
        return json_response(self.report())


def _malformed_body_response(error: Exception) -> HttpResponse:
    return failure_response(Failure(ResultCode.MALFORMED_BODY, str(error)))
