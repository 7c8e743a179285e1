"""Test switches of the stand-ins: settings that change at run time.

``POST /v1/control`` changes them; they inject faults and delays.
"""

from __future__ import annotations

import asyncio
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any, Final, NoReturn, TypeVar

import msgspec

from boragespool.results import Failure, ResultCode
from boragespool.types import KEY_SPACE_SIZE, IndexVersion, Seconds

if TYPE_CHECKING:
    from collections.abc import Mapping

    from _typeshed import DataclassInstance

    _SwitchesT = TypeVar('_SwitchesT', bound=DataclassInstance)

#: Key ranges ``[start, end)`` by index version.
Holdings = dict[IndexVersion, tuple[tuple[int, int], ...]]

WHOLE_KEY_SPACE: Final = ((0, KEY_SPACE_SIZE),)


@dataclass(frozen=True, slots=True)
class PlatformSwitches:
    """Current behaviour of the stand-in platform.

    Attributes
    ----------
    delay_s : float
        Delay of each call, in seconds.
    down : bool
        Whether calls get no response and their connections are closed.
    lost_answers : int
        Number of upcoming writes that are stored but get no response.
    hosts_lag_s : float
        Delay before clients get a changed host list, in seconds.
    """

    delay_s: Seconds = 0
    down: bool = False
    lost_answers: int = 0
    hosts_lag_s: Seconds = 0


def _default_holdings() -> Holdings:
    return {1: WHOLE_KEY_SPACE}


@dataclass(frozen=True, slots=True)
class BackendSwitches:
    """Current behaviour of a stand-in backend server.

    Attributes
    ----------
    slots : int
        Number of requests that run at the same time.
    backlog : int
        Number of requests that may wait for a slot; further ones are shed.
    connection_cost_s : float
        Extra delay of the first request of each connection, in seconds.
    holdings : dict
        Key ranges ``[start, end)`` by index version.
    item_count : int
        Number of synthetic items of each version in the whole key space.
    service_time_s : float
        Time to run one request, in seconds.
    straggler_probability : float
        Probability, 0 to 1, that a request is a straggler.
    straggler_factor : float
        Factor on the service time of stragglers.
    cold_s, cold_factor : float
        After a start, the service time is multiplied by `cold_factor`. The
        factor falls linearly to 1 within `cold_s` seconds.
    draining : bool
        Whether the server refuses new work and reports that it drains.
    load_lag_s : float
        Age of the load that the status reports, in seconds.
    reported : dict
        Values that override fields of the reported status.
    restart_s : float or None
        Time from a crash to the restart, in seconds. None waits for the
        action ``restart``.
    silent_hold_s : float
        Time for which a silenced connection stays open after a request, in
        seconds.
    """

    slots: int = 5
    backlog: int = 0
    connection_cost_s: Seconds = 0
    holdings: Holdings = field(default_factory=_default_holdings)
    item_count: int = 200
    service_time_s: Seconds = 0.005
    straggler_probability: float = 0
    straggler_factor: float = 20
    cold_s: Seconds = 0
    cold_factor: float = 5
    draining: bool = False
    load_lag_s: Seconds = 0
    reported: dict[str, Any] = field(default_factory=dict)
    restart_s: Seconds | None = None
    silent_hold_s: Seconds = 60


def with_changes(
    switches: _SwitchesT,
    changes: Mapping[str, Any],
) -> _SwitchesT | Failure:
    """Return a copy of the switches with some of them changed.

    Parameters
    ----------
    switches : PlatformSwitches or BackendSwitches
        Switches in force.
    changes : mapping
        New values by name, as decoded from JSON.

    Returns
    -------
    dataclass or Failure
        ``MALFORMED_BODY`` if a name is unknown or a value has the wrong type.
    """
    current = asdict(switches)
    unknown = sorted(changes.keys() - current.keys())
    if unknown:
        return Failure(
            ResultCode.MALFORMED_BODY,
            f'unknown switches {unknown!r}; allowed are {sorted(current)!r}',
        )
    try:
        return msgspec.convert(
            current | dict(changes),
            type(switches),
            strict=False,
        )
    except msgspec.ValidationError as error:
        return Failure(ResultCode.MALFORMED_BODY, str(error))


def decode_changes(body: bytes) -> dict[str, Any] | Failure:
    """Decode the body of ``POST /v1/control``, a JSON object."""
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        return Failure(ResultCode.MALFORMED_BODY, str(error))


def drop_connection() -> NoReturn:
    """Abort the request handler, so that no response is sent.

    `HttpServer` then resets the connection.

    Raises
    ------
    asyncio.CancelledError
        Always.
    """
    raise asyncio.CancelledError
