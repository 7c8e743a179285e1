"""Stand-in for one backend server: listener, crashes and switches."""

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

_ACTIONS: Final = ('silence', 'crash', 'restart')
_MS_PER_S: Final = 1_000


@dataclass(frozen=True, slots=True)
class BackendSpec:
    """One backend server of a stand-in process.

    Attributes
    ----------
    connections : int
        Connections that its listener accepts.
    seed : int
        Seed of its stragglers, together with its name.
    """

    name: ServerName
    service: ServiceName
    address: Address = '127.0.0.1:0'
    connections: int = 40
    seed: int = 0
    switches: BackendSwitches = field(default_factory=BackendSwitches)


class BackendServer:
    """Listener with the backend server protocol, an async context manager.

    Attributes
    ----------
    spec : BackendSpec
        Its address is the one in use after the first start.
    incarnation : int
        Wall time of the last start in milliseconds, always increasing.
    """

    def __init__(self, spec: BackendSpec) -> None:
        """Keep the settings; `__aenter__` listens."""
        self.spec = spec
        self.switches = spec.switches
        self.incarnation = 0
        self._listener: HttpServer | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._starting: asyncio.Task[None] | None = None
        # Each connection is served by one task of the listener.
        self._connections: weakref.WeakSet[asyncio.Task[Any]] = (
            weakref.WeakSet()
        )
        self._silent: weakref.WeakSet[asyncio.Task[Any]] = weakref.WeakSet()
        self._workload = Workload(
            spec.name,
            spec.service,
            spec.seed,
            lambda: self.switches,
            self.crash,
        )
        self.counters = self._workload.counters

    async def __aenter__(self) -> Self:
        """Listen."""
        await self._start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening and drop the connections."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stop()

    @property
    def address(self) -> Address:
        """Address in use; a restart keeps it."""
        return self.spec.address

    @property
    def is_listening(self) -> bool:
        """False between a crash and the restart."""
        return self._listener is not None

    def silence(self) -> None:
        """Swallow all further data of the connections used so far."""
        self._silent.update(self._connections)
        self.counters.silenced += 1

    def crash(self) -> None:
        """Close the listener and all connections abruptly.

        The server restarts after `BackendSwitches.restart_s`, or with
        `restart` if that is None.
        """
        listener = self._listener
        if listener is not None:
            self._listener = None
            self.counters.crashes += 1
            self._spawn(self._crash(listener))

    def restart(self) -> None:
        """Start a new incarnation, after a crash if there was none."""
        self.crash()
        self._starting = self._spawn(self._start())

    async def settled(self) -> None:
        """Wait until a restart that was asked for listens."""
        if self._starting is not None:
            await asyncio.wait((self._starting,))

    def control(self, changes: Mapping[str, Any]) -> Failure | None:
        """Change switches; a true `silence`, `crash` or `restart` acts."""
        switches = with_changes(
            self.switches,
            {name: changes[name] for name in changes if name not in _ACTIONS},
        )
        if isinstance(switches, Failure):
            return switches
        self.switches = switches
        for name in _ACTIONS:
            if changes.get(name):
                getattr(self, name)()
        return None

    def status(self) -> dict[str, Any]:
        """Return the body of ``GET /v1/status``, false fields included."""
        in_flight = self._workload.reported_in_flight()
        state = ServerState.SERVING
        if self._workload.is_cold:
            state = ServerState.COLD
        if self.switches.draining:
            state = ServerState.DRAINING
        honest = {
            'server': self.spec.name,
            'incarnation': self.incarnation,
            'service': self.spec.service,
            'state': state,
            'slots': self.switches.slots,
            'in_flight': in_flight,
            'load': in_flight / max(1, self.switches.slots),
            'holdings': self.switches.holdings,
        }
        return honest | self.switches.reported

    def report(self) -> dict[str, Any]:
        """Return the body of ``GET /v1/control``."""
        listener = self._listener
        return {
            'name': self.spec.name,
            'address': self.address,
            'incarnation': self.incarnation,
            'listening': self.is_listening,
            'in_flight': self._workload.in_flight,
            'connections': listener.connection_count if listener else 0,
            # `asdict` of Python 3.11 would count the pairs of a Counter.
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

    def _spawn(self, coroutine: Any) -> asyncio.Task[None]:
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
        await self._swallow_if_silent(connection)
        response = await self._serve(request)
        await self._swallow_if_silent(connection)
        return response

    async def _swallow_if_silent(
        self,
        connection: asyncio.Task[Any] | None,
    ) -> None:
        if connection in self._silent:
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
            return _malformed(error)
        return await self._workload.run(work)

    def _serve_cancel(self, body: bytes) -> HttpResponse:
        try:
            named = msgspec.json.decode(body, type=dict[str, str])
        except msgspec.MsgspecError as error:
            return _malformed(error)
        return self._workload.cancel(named.get('attempt_id', ''))

    def _serve_control(self, body: bytes) -> HttpResponse:
        changes = decode_changes(body)
        failure = (
            changes if isinstance(changes, Failure) else self.control(changes)
        )
        if failure is not None:
            return failure_response(failure)
        return json_response(self.report())


def _malformed(error: Exception) -> HttpResponse:
    return failure_response(Failure(ResultCode.MALFORMED_BODY, str(error)))
