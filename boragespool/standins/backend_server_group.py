"""Several stand-in backend servers in one process.

They share one control listener, which is separate from theirs.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, Final, Self

from boragespool.http import (
    HttpLimits,
    HttpServer,
    failure_response,
    json_response,
)
from boragespool.results import Failure, ResultCode
from boragespool.standins.backend import BackendServer
from boragespool.standins.switches import decode_changes

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from boragespool.http import HttpRequest, HttpResponse
    from boragespool.standins.backend import BackendSpec
    from boragespool.types import Address, ServerName

_SERVERS_KEY: Final = 'servers'


class BackendServerGroup:
    """Runs backend servers and a control API, an async context manager.

    Parameters
    ----------
    specs : iterable of BackendSpec
        Configuration of each backend server.
    control_address : str, optional
        ``ip:port`` of the control API. It stays reachable while backend
        servers are down, silent or at their connection limit.

    Attributes
    ----------
    servers_by_name : dict of str to BackendServer
        All backend servers, also those that are down.
    """

    def __init__(
        self,
        specs: Iterable[BackendSpec],
        control_address: Address = '127.0.0.1:0',
    ) -> None:
        """Set up servers that do not listen before `__aenter__`."""
        self.servers_by_name: dict[ServerName, BackendServer] = {
            spec.name: BackendServer(spec) for spec in specs
        }
        self._control = HttpServer(
            control_address,
            HttpLimits(),
            self._handle,
        )
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start all listeners; stop those already started if one fails."""
        async with contextlib.AsyncExitStack() as stack:
            for server in self.servers_by_name.values():
                await stack.enter_async_context(server)
            await stack.enter_async_context(self._control)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all listeners and close their connections."""
        await self._stack.aclose()

    @property
    def control_address(self) -> Address:
        """``ip:port`` of the control API."""
        return self._control.address

    def control(self, changes: Mapping[str, Any]) -> Failure | None:
        """Change switches of some or all servers.

        Parameters
        ----------
        changes : mapping
            Changes for `BackendServer.control`. The key ``servers`` lists the
            names of the servers to change; without it, all are changed.

        Returns
        -------
        Failure or None
            ``MALFORMED_BODY`` if a server or switch is unknown or a value is
            invalid.
        """
        names = changes.get(_SERVERS_KEY, list(self.servers_by_name))
        unknown = [name for name in names if name not in self.servers_by_name]
        if unknown:
            return Failure(
                ResultCode.MALFORMED_BODY,
                f'unknown servers {unknown!r}; allowed are '
                f'{sorted(self.servers_by_name)!r}',
            )
        switches = dict(changes)
        switches.pop(_SERVERS_KEY, None)
        for name in names:
            failure = self.servers_by_name[name].control(switches)
            if failure is not None:
                return failure
        return None

    def report(self) -> dict[ServerName, Any]:
        """Return `BackendServer.report` of each server by name."""
        return {
            name: server.report()
            for name, server in self.servers_by_name.items()
        }

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path != '/v1/control':
            return failure_response(
                Failure(
                    ResultCode.UNKNOWN_PATH,
                    f'no path {request.path!r}; allowed is /v1/control',
                ),
            )
        if request.method == 'POST':
            changes = decode_changes(request.body)
            failure = (
                changes
                if isinstance(changes, Failure)
                else self.control(changes)
            )
            if failure is not None:
                return failure_response(failure)
            for server in self.servers_by_name.values():
                await server.wait_for_restart()
        return json_response(self.report())
