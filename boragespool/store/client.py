"""HTTP client of the platform's key-value store, leases and host list."""

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
class _VersionAnswer:
    """Version in the body of the answer to a write or to a watch."""

    version: int


class StoreClient:
    """Client of the store, an async context manager.

    Parameters
    ----------
    address : str
        ``ip:port`` of the platform.
    timeout_s : float
        Timeout of a call, in seconds; `wait_s` is added for a watch.
    connection_count : int, optional
        Maximum number of concurrent calls, and of concurrent watches.

    Attributes
    ----------
    calls_by_kind : Counter of str
        Number of calls, failed ones included, by kind: ``get``, ``put``,
        ``watch``, ``lease``, ``hosts``.
    """

    def __init__(
        self,
        address: Address,
        timeout_s: Seconds,
        connection_count: int = _CONNECTION_COUNT,
    ) -> None:
        """Create a client without connections; the first call opens one."""
        self.calls_by_kind: Counter[str] = Counter()
        self._address = address
        self._timeout_s = timeout_s
        self._pool = ConnectionPool(connection_count)
        # A watch occupies its connection while it waits. Watches have a pool
        # of their own, so that they do not delay calls.
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
        """Number of calls of all kinds, failed ones included."""
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
            A failure has code ``STORE_UNAVAILABLE``: no valid answer arrived
            within the timeout.
        """
        response = await self._call('get', HttpRequest('GET', _key_target(key)))
        if isinstance(response, Failure):
            return response
        if response.status == _NOT_FOUND:
            return Missing(key)
        return _decode(response, StoredValue)

    async def put(
        self,
        key: str,
        value: str,
        expected_version: int,
    ) -> int | Conflict | Failure:
        """Write one key if its version is the expected one (compare-and-swap).

        Parameters
        ----------
        key : str
            Path such as ``config/current``.
        value : str
            New value, at most 1 MB in UTF-8.
        expected_version : int
            Version that the caller read; 0 if the key must not exist.

        Returns
        -------
        int or Conflict or Failure
            The new version. A failure with run state ``NOT_RUN`` guarantees
            that nothing was written; with ``UNKNOWN`` the answer was lost,
            and the write may still take effect.
        """
        body = {'value': value, 'expected_version': expected_version}
        request = HttpRequest(
            'PUT', _key_target(key), msgspec.json.encode(body)
        )
        response = await self._call('put', request)
        if isinstance(response, Failure):
            return response
        if response.status == _TOO_LARGE:
            return Failure(
                ResultCode.VALUE_TOO_LARGE,
                f'the value of {len(value)} characters for key {key!r} is too '
                'large for the store; at most 1 MB in UTF-8 is allowed',
            )
        answer = _decode(response, _VersionAnswer, RunState.UNKNOWN)
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
        """Wait until a key has a newer version (long poll).

        Parameters
        ----------
        key : str
            Path such as ``config/current``.
        after_version : int
            Version that the caller knows; 0 if it knows none.
        wait_s : float
            Maximum time that the store waits for a write, in seconds.

        Returns
        -------
        StoredValue or Unchanged or Failure
            The latest version, or `Unchanged` if there was none within
            `wait_s`.
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
        answer = _decode(response, _VersionAnswer)
        if isinstance(answer, Failure):
            return answer
        if answer.version <= after_version:
            return Unchanged(key, answer.version)
        return _decode(response, StoredValue)

    async def lease(
        self,
        name: str,
        holder: str,
        ttl_s: Seconds,
    ) -> Lease | LeaseHeld | Failure:
        """Acquire or renew a lease.

        Parameters
        ----------
        name : str
            Name of the lease.
        holder : str
            Name of the holder that acquires it.
        ttl_s : float
            Time until the lease expires, in seconds; 0 releases it.

        Returns
        -------
        Lease or LeaseHeld or Failure
            After a failure with run state ``UNKNOWN`` the lease may be held.
        """
        body = {'name': name, 'holder': holder, 'ttl_s': ttl_s}
        request = HttpRequest('POST', '/v1/leases', msgspec.json.encode(body))
        response = await self._call('lease', request)
        if isinstance(response, Failure):
            return response
        if response.status == _CONFLICT:
            return _decode(response, LeaseHeld, RunState.UNKNOWN)
        return _decode(response, Lease, RunState.UNKNOWN)

    async def hosts(self) -> tuple[HostEntry, ...] | Failure:
        """Read the platform's list of hosts, which may be out of date."""
        response = await self._call('hosts', HttpRequest('GET', '/v1/hosts'))
        if isinstance(response, Failure):
            return response
        return _decode(response, tuple[HostEntry, ...])

    async def _call(
        self,
        kind: str,
        request: HttpRequest,
        wait_s: Seconds = 0,
    ) -> HttpResponse | Failure:
        """Send a request once; return a failure for an unexpected status.

        A failed read has run state ``NOT_RUN``. So has a write of which no
        byte was sent; after any other failed write it is ``UNKNOWN``.
        """
        self.calls_by_kind[kind] += 1
        pool = self._watch_pool if wait_s else self._pool
        response = await pool.exchange(
            self._address,
            request,
            self._timeout_s + wait_s,
        )
        is_read = request.method == 'GET'
        if isinstance(response, ExchangeFailure):
            had_no_effect = is_read or not response.sent
            return self._mark_unavailable(
                kind, response.reason, had_no_effect=had_no_effect
            )
        if response.status not in {_OK, _NOT_FOUND, _CONFLICT, _TOO_LARGE}:
            reason = f'unexpected HTTP status {response.status}'
            return self._mark_unavailable(kind, reason, had_no_effect=is_read)
        self._set_available(available=True)
        return response

    def _mark_unavailable(
        self, kind: str, reason: str, *, had_no_effect: bool
    ) -> Failure:
        """Record that the store is unavailable and return the failure."""
        self._set_available(available=False, reason=reason)
        return Failure(
            ResultCode.STORE_UNAVAILABLE,
            f'the call {kind!r} to the store failed: {reason}',
            RunState.NOT_RUN if had_no_effect else RunState.UNKNOWN,
            retry_after_s=1,
        )

    def _set_available(self, *, available: bool, reason: str = '') -> None:
        """Record whether the store is available, and log a change of that."""
        if available == self._available:
            return
        self._available = available
        if available:
            log_event(Event.STORE_AVAILABLE, 'the store is available again')
        else:
            log_event(
                Event.STORE_UNAVAILABLE,
                f'the store is unavailable: {reason}',
                level=logging.WARNING,
            )


def _key_target(key: str) -> str:
    path = quote(key, safe='/')
    return f'/v1/kv/{path}'


def _decode(
    response: HttpResponse,
    answer_type: type[_ResultT],
    run: RunState = RunState.NOT_RUN,
) -> _ResultT | Failure:
    """Decode the JSON body; return a failure with `run` if it is invalid."""
    decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(answer_type)
    try:
        decoded: _ResultT = decoder.decode(response.body)
    except msgspec.MsgspecError as error:
        return Failure(
            ResultCode.STORE_UNAVAILABLE,
            f'the answer of the store is invalid: {error}',
            run,
        )
    return decoded
