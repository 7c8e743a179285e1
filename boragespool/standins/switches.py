"""Test switches of the stand-ins and their JSON form."""

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
    """How the platform behaves from now on.

    Attributes
    ----------
    delay_s : float
        Time added to each call, in seconds.
    down : bool
        Close each connection without an answer.
    lost_answers : int
        Number of next writes that take effect without an answer.
    hosts_lag_s : float
        Age of the host list that callers see, in seconds.
    """

    delay_s: Seconds = 0
    down: bool = False
    lost_answers: int = 0
    hosts_lag_s: Seconds = 0


def _whole_key_space() -> Holdings:
    return {1: WHOLE_KEY_SPACE}


@dataclass(frozen=True, slots=True)
class BackendSwitches:
    """How a backend server behaves from now on.

    Attributes
    ----------
    slots : int
        Work run at the same time.
    backlog : int
        Work that may wait for a slot; further work is shed.
    connection_cost_s : float
        Delay of the first request of each connection, in seconds.
    holdings : dict
        Key ranges ``[start, end)`` by index version.
    item_count : int
        Synthetic items of each version in the whole key space.
    service_time_s : float
        Time that a piece of work takes, in seconds.
    straggler_probability, straggler_factor : float
        Share of work, 0 to 1, that takes so many times longer.
    cold_s, cold_factor : float
        After a start, work takes `cold_factor` times longer; this falls
        linearly to 1 within `cold_s` seconds.
    draining : bool
        Refuse new work and say so in the status.
    load_lag_s : float
        Age of the load that the status reports, in seconds.
    reported : dict
        Fields of the status that are replaced by false ones.
    restart_s : float or None
        Time from a crash to the restart, in seconds; None waits for the
        switch ``restart``.
    silent_hold_s : float
        Time for which a silent connection stays open, in seconds.
    """

    slots: int = 5
    backlog: int = 0
    connection_cost_s: Seconds = 0
    holdings: Holdings = field(default_factory=_whole_key_space)
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
    """Return the switches with some of them changed.

    Returns
    -------
    dataclass or Failure
        ``MALFORMED_BODY`` for an unknown switch or a value of a wrong type.
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
    """Decode the body of ``POST /v1/control``."""
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        return Failure(ResultCode.MALFORMED_BODY, str(error))


def drop_connection() -> NoReturn:
    """Leave a handler so that the listener resets the connection."""
    raise asyncio.CancelledError
