"""Client of the platform's key-value service over HTTP and JSON."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, Self, TypeVar
from urllib.parse import quote

import msgspec

from boragespool.events import Event, log_event
from boragespool.http import ConnectionPool, ExchangeFailure, HttpRequest
from boragespool.results import Failure, ResultCode
from boragespool.store.values import (
    Conflict,
    HostEntry,
    Lease,
    LeaseHeld,
    Missing,
    StoredValue,
    Unchanged,
)
from boragespool.types import RunState

if TYPE_CHECKING:
    from boragespool.http import HttpResponse
    from boragespool.types import Address, Seconds

_ResultT = TypeVar('_ResultT')

_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_TOO_LARGE: Final = 413
_CONNECTION_COUNT: Final = 4


@dataclass(frozen=True, slots=True)
class _Version:
    """Answer to a write, and to a watch without news."""

    version: int


class StoreClient:
    """Calls of one process to the store, an async context manager.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform.
    timeout_s : float
        Longest time for one call, in seconds; a watch may wait `wait_s`
        longer.
    connection_count : int, optional
        Calls at the same time, and watches at the same time.

    Attributes
    ----------
    calls_by_kind : Counter of str
        Calls that were sent or attempted: ``get``, ``put``, ``watch``,
        ``lease``, ``hosts``.
    """

    def __init__(
        self,
        address: Address,
        timeout_s: Seconds,
        connection_count: int = _CONNECTION_COUNT,
    ) -> None:
        """Keep the settings; connections open at the first call."""
        self.calls_by_kind: Counter[str] = Counter()
        self._address = address
        self._timeout_s = timeout_s
        self._pool = ConnectionPool(connection_count)
        # A watch holds its connection for long; it must not delay calls.
        self._watch_pool = ConnectionPool(connection_count)
        self._available = True

    async def __aenter__(self) -> Self:
        """Return the client."""
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the idle connections."""
        await self._pool.__aexit__(*exc_info)
        await self._watch_pool.__aexit__(*exc_info)

    @property
    def call_count(self) -> int:
        """Number of calls of all kinds."""
        return self.calls_by_kind.total()

    async def get(self, key: str) -> StoredValue | Missing | Failure:
        """Read one key.

        Parameters
        ----------
        key : str
            Path such as ``config/current``.

        Returns
        -------
        StoredValue or Missing or Failure
            ``STORE_UNAVAILABLE`` if no valid answer arrived in time.
        """
        response = await self._call('get', HttpRequest('GET', _target(key)))
        if isinstance(response, Failure):
            return response
        if response.status == _NOT_FOUND:
            return Missing(key)
        return _decoded(response, StoredValue)

    async def put(
        self,
        key: str,
        value: str,
        expected_version: int,
    ) -> int | Conflict | Failure:
        """Write one key if its version is the expected one.

        Parameters
        ----------
        key : str
            Path such as ``config/current``.
        value : str
            New value, at most 1 MB in UTF-8.
        expected_version : int
            Version that the writer read; 0 if the key must not exist.

        Returns
        -------
        int or Conflict or Failure
            The new version. A failure with run state ``NOT_RUN`` promises
            that nothing was written; with ``UNKNOWN`` the answer was lost,
            and the write may still take effect.
        """
        body = {'value': value, 'expected_version': expected_version}
        request = HttpRequest('PUT', _target(key), msgspec.json.encode(body))
        response = await self._call('put', request)
        if isinstance(response, Failure):
            return response
        if response.status == _TOO_LARGE:
            return Failure(
                ResultCode.VALUE_TOO_LARGE,
                f'the store refused {len(value)} characters for {key!r}; '
                'at most 1 MB is allowed',
            )
        answer = _decoded(response, _Version, RunState.UNKNOWN)
        if isinstance(answer, Failure):
            return answer
        if response.status == _CONFLICT:
            return Conflict(key, answer.version)
        return answer.version

    async def watch(
        self,
        key: str,
        after_version: int,
        wait_s: Seconds,
    ) -> StoredValue | Unchanged | Failure:
        """Wait for a version that is higher than one already known.

        Parameters
        ----------
        key : str
            Path such as ``config/current``.
        after_version : int
            Known version; 0 if the key is not known.
        wait_s : float
            Longest wait at the store, in seconds.

        Returns
        -------
        StoredValue or Unchanged or Failure
            The newest version, or `Unchanged` after `wait_s`.
        """
        path = quote(key, safe='/')
        target = f'/v1/watch/{path}?after={after_version}&wait_s={wait_s}'
        response = await self._call(
            'watch',
            HttpRequest('GET', target),
            wait_s,
        )
        if isinstance(response, Failure):
            return response
        if response.status == _NOT_FOUND:
            return Unchanged(key, 0)
        answer = _decoded(response, _Version)
        if isinstance(answer, Failure):
            return answer
        if answer.version <= after_version:
            return Unchanged(key, answer.version)
        return _decoded(response, StoredValue)

    async def lease(
        self,
        name: str,
        holder: str,
        ttl_s: Seconds,
    ) -> Lease | LeaseHeld | Failure:
        """Take or renew a lease; `ttl_s` of 0 gives it back.

        Returns
        -------
        Lease or LeaseHeld or Failure
            A failure with run state ``UNKNOWN`` may have taken the lease.
        """
        body = {'name': name, 'holder': holder, 'ttl_s': ttl_s}
        request = HttpRequest('POST', '/v1/leases', msgspec.json.encode(body))
        response = await self._call('lease', request)
        if isinstance(response, Failure):
            return response
        if response.status == _CONFLICT:
            return _decoded(response, LeaseHeld, RunState.UNKNOWN)
        return _decoded(response, Lease, RunState.UNKNOWN)

    async def hosts(self) -> tuple[HostEntry, ...] | Failure:
        """Read the list of live and leaving hosts, which lags."""
        response = await self._call('hosts', HttpRequest('GET', '/v1/hosts'))
        if isinstance(response, Failure):
            return response
        return _decoded(response, tuple[HostEntry, ...])

    async def _call(
        self,
        kind: str,
        request: HttpRequest,
        wait_s: Seconds = 0,
    ) -> HttpResponse | Failure:
        """Exchange once; answers that settle nothing become failures."""
        self.calls_by_kind[kind] += 1
        pool = self._watch_pool if wait_s else self._pool
        response = await pool.exchange(
            self._address,
            request,
            self._timeout_s + wait_s,
        )
        is_read = request.method == 'GET'
        if isinstance(response, ExchangeFailure):
            is_unsent = is_read or not response.sent
            return self._fail(kind, response.reason, known=is_unsent)
        if response.status not in {_OK, _NOT_FOUND, _CONFLICT, _TOO_LARGE}:
            reason = f'answered with status {response.status}'
            return self._fail(kind, reason, known=is_read)
        self._note(available=True)
        return response

    def _fail(self, kind: str, reason: str, *, known: bool) -> Failure:
        self._note(available=False, reason=reason)
        return Failure(
            ResultCode.STORE_UNAVAILABLE,
            f'the store gave no answer to a {kind!r} call: {reason}',
            RunState.NOT_RUN if known else RunState.UNKNOWN,
            retry_after_s=1,
        )

    def _note(self, *, available: bool, reason: str = '') -> None:
        """Log when the store becomes unavailable and available again."""
        if available == self._available:
            return
        self._available = available
        if available:
            log_event(Event.STORE_AVAILABLE, 'the store answers again')
        else:
            log_event(
                Event.STORE_UNAVAILABLE,
                f'the store is unavailable: {reason}',
                level=logging.WARNING,
            )


def _target(key: str) -> str:
    path = quote(key, safe='/')
    return f'/v1/kv/{path}'


def _decoded(
    response: HttpResponse,
    kind: type[_ResultT],
    run: RunState = RunState.NOT_RUN,
) -> _ResultT | Failure:
    """Decode the body; an invalid one settles nothing."""
    decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(kind)
    try:
        decoded: _ResultT = decoder.decode(response.body)
    except msgspec.MsgspecError as error:
        return Failure(
            ResultCode.STORE_UNAVAILABLE,
            f'the store sent an invalid answer: {error}',
            run,
        )
    return decoded
