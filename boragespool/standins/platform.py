"""Stand-in for the platform: key-value store, leases and host list.

All state is kept in memory and lost when the stand-in stops.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import asdict, dataclass, replace
from typing import TYPE_CHECKING, Any, Final, Self
from urllib.parse import unquote

import msgspec

from boragespool.http import (
    HttpLimits,
    HttpServer,
    failure_response,
    json_response,
)
from boragespool.results import Failure, ResultCode
from boragespool.standins.leases import LeaseTable
from boragespool.standins.switches import (
    PlatformSwitches,
    decode_changes,
    drop_connection,
    with_changes,
)
from boragespool.store import HostEntry, StoredValue

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.http import HttpRequest, HttpResponse
    from boragespool.types import Address, Seconds

VALUE_LIMIT_BYTES: Final = 1_000_000
# JSON escapes such as \u0000 make a value up to six times longer, so a body
# may be larger than `VALUE_LIMIT_BYTES`.
_HTTP_LIMITS: Final = HttpLimits(body_size_bytes=8_000_000)
_NOT_FOUND_STATUS: Final = 404
_CONFLICT_STATUS: Final = 409
_TOO_LARGE_STATUS: Final = 413
_MAX_WATCH_WAIT_S: Final = 60


@dataclass(frozen=True, slots=True)
class _Write:
    value: str
    expected_version: int


class Platform:
    """Server of the platform's protocol, an async context manager.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on; port 0 selects a free port.
    hosts : tuple of HostEntry, optional
        Initial host list.

    Attributes
    ----------
    switches : PlatformSwitches
        Test switches in force.
    calls_by_kind : Counter of str
        Number of calls received: ``get``, ``put``, ``watch``, ``lease``,
        ``hosts`` and ``other``.
    """

    def __init__(
        self,
        address: Address = '127.0.0.1:0',
        hosts: tuple[HostEntry, ...] = (),
    ) -> None:
        """Set up an empty store that does not listen before `__aenter__`."""
        self.switches = PlatformSwitches()
        self.calls_by_kind: Counter[str] = Counter()
        self._stored_by_key: dict[str, StoredValue] = {}
        self._store_changed = asyncio.Event()
        self._leases = LeaseTable()
        # Each host list with the loop time at which it was set.
        self._host_lists: list[tuple[Seconds, tuple[HostEntry, ...]]] = [
            (0, hosts),
        ]
        self._server = HttpServer(address, _HTTP_LIMITS, self._handle)

    async def __aenter__(self) -> Self:
        """Start to listen."""
        await self._server.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening and close the connections."""
        await self._server.__aexit__(*exc_info)

    @property
    def address(self) -> Address:
        """``ip:port`` on which the server listens."""
        return self._server.address

    def set_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        """Replace the host list.

        Clients get the new list after `PlatformSwitches.hosts_lag_s` seconds.
        """
        now_s = asyncio.get_running_loop().time()
        self._host_lists.append((now_s, hosts))

    def control(self, changes: Mapping[str, Any]) -> Failure | None:
        """Change test switches.

        Parameters
        ----------
        changes : mapping
            New values of `PlatformSwitches` by name. The key ``hosts``
            replaces the host list.

        Returns
        -------
        Failure or None
            ``MALFORMED_BODY`` if a name is unknown or a value is invalid;
            then nothing changes.
        """
        switch_changes = dict(changes)
        given_hosts = switch_changes.pop('hosts', None)
        switches = with_changes(self.switches, switch_changes)
        if isinstance(switches, Failure):
            return switches
        if given_hosts is not None:
            hosts = _convert_hosts(given_hosts)
            if isinstance(hosts, Failure):
                return hosts
            self.set_hosts(hosts)
        self.switches = switches
        self._notify_watches()
        return None

    def report(self) -> dict[str, Any]:
        """Return call counts, switches, and the version of each stored key."""
        return {
            'calls': dict(self.calls_by_kind),
            'switches': asdict(self.switches),
            'versions': {
                key: stored.version
                for key, stored in self._stored_by_key.items()
            },
        }

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path == '/v1/control':
            return self._serve_control(request)
        kind, _, key = request.path.removeprefix('/v1/').partition('/')
        kind = _call_kind(request.method, kind)
        self.calls_by_kind[kind] += 1
        await self._apply_faults()
        key = unquote(key)
        if kind == 'watch':
            return await self._serve_watch(key, request.query)
        return self._serve_without_wait(kind, key, request)

    def _serve_without_wait(
        self,
        kind: str,
        key: str,
        request: HttpRequest,
    ) -> HttpResponse:
        match kind:
            case 'get':
                return self._serve_get(key)
            case 'put':
                return self._serve_put(key, request.body)
            case 'lease':
                return self._leases.serve(request.body)
            case 'hosts':
                return json_response(self._visible_hosts())
        return failure_response(
            Failure(ResultCode.UNKNOWN_PATH, f'no path {request.path!r}'),
        )

    async def _apply_faults(self) -> None:
        """Delay the call and drop its connection if the switches say so."""
        if self.switches.delay_s:
            await asyncio.sleep(self.switches.delay_s)
        if self.switches.down:
            drop_connection()

    def _serve_control(self, request: HttpRequest) -> HttpResponse:
        if request.method == 'POST':
            changes = decode_changes(request.body)
            if isinstance(changes, Failure):
                return failure_response(changes)
            failure = self.control(changes)
            if failure is not None:
                return failure_response(failure)
        return json_response(self.report())

    def _serve_get(self, key: str) -> HttpResponse:
        stored = self._stored_by_key.get(key)
        if stored is None:
            return json_response({'key': key, 'version': 0}, _NOT_FOUND_STATUS)
        return json_response(stored)

    def _serve_put(self, key: str, body: bytes) -> HttpResponse:
        try:
            write = msgspec.json.decode(body, type=_Write)
        except msgspec.MsgspecError as error:
            return failure_response(
                Failure(ResultCode.MALFORMED_BODY, str(error)),
            )
        if len(write.value.encode()) > VALUE_LIMIT_BYTES:
            return json_response(
                {'limit': VALUE_LIMIT_BYTES}, _TOO_LARGE_STATUS
            )
        stored = self._stored_by_key.get(key)
        version = stored.version if stored else 0
        if version != write.expected_version:
            return json_response({'version': version}, _CONFLICT_STATUS)
        written = StoredValue(key, write.value, version + 1)
        self._stored_by_key[key] = written
        self._notify_watches()
        if self.switches.lost_answers:
            remaining = self.switches.lost_answers - 1
            self.switches = replace(self.switches, lost_answers=remaining)
            drop_connection()
        return json_response({'version': written.version})

    async def _serve_watch(
        self,
        key: str,
        query: Mapping[str, str],
    ) -> HttpResponse:
        loop = asyncio.get_running_loop()
        wait_s = min(float(query.get('wait_s', 0)), _MAX_WATCH_WAIT_S)
        deadline_s = loop.time() + wait_s
        after = int(query.get('after', 0))
        while True:
            stored = self._stored_by_key.get(key)
            if stored is not None and stored.version > after:
                return json_response(stored)
            if loop.time() >= deadline_s:
                version = stored.version if stored else 0
                return json_response({'key': key, 'version': version})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline_s):
                    await self._store_changed.wait()
            if self.switches.down:
                drop_connection()

    def _notify_watches(self) -> None:
        self._store_changed.set()
        self._store_changed = asyncio.Event()

    def _visible_hosts(self) -> tuple[HostEntry, ...]:
        """Return the newest list that was set at least `hosts_lag_s` ago.

        The initial list if there is no such list.
        """
        now_s = asyncio.get_running_loop().time()
        visible = [
            hosts
            for set_at_s, hosts in self._host_lists
            if set_at_s <= now_s - self.switches.hosts_lag_s
        ]
        return visible[-1] if visible else self._host_lists[0][1]


def _convert_hosts(given: object) -> tuple[HostEntry, ...] | Failure:
    try:
        return msgspec.convert(given, tuple[HostEntry, ...])
    except msgspec.ValidationError as error:
        return Failure(ResultCode.MALFORMED_BODY, str(error))


def _call_kind(method: str, resource: str) -> str:
    """Return the kind under which a call is handled and counted."""
    kind_by_call = {
        ('GET', 'kv'): 'get',
        ('PUT', 'kv'): 'put',
        ('GET', 'watch'): 'watch',
        ('POST', 'leases'): 'lease',
        ('GET', 'hosts'): 'hosts',
    }
    return kind_by_call.get((method, resource), 'other')
