"""What a command returns, and the exit codes."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Final

from boragespool.results import Failure, ResultCode
from boragespool.types import RunState


class ExitCode(enum.IntEnum):
    """Exit codes; ``docs/operators.md`` explains them."""

    DONE = 0
    REJECTED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    LAGGING = 6
    REFUSED = 7


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a command.

    Attributes
    ----------
    body : Any
        What ``--output json`` prints.
    headings, rows : tuple
        What ``--output table`` prints.
    notes : tuple of str
        Lines after the table.
    """

    body: Any
    headings: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    notes: tuple[str, ...] = ()
    exit_code: ExitCode = field(default=ExitCode.DONE)


_EXIT_CODES: Final = MappingProxyType(
    {
        ResultCode.REVISION_CONFLICT: ExitCode.CONFLICT,
        ResultCode.STORE_UNAVAILABLE: ExitCode.UNAVAILABLE,
        ResultCode.APPLY_UNCONFIRMED: ExitCode.UNKNOWN,
        ResultCode.INVALID_SETTING: ExitCode.REJECTED,
        ResultCode.UNKNOWN_SETTING: ExitCode.REJECTED,
        ResultCode.UNREADABLE_FILE: ExitCode.REJECTED,
        ResultCode.VALUE_TOO_LARGE: ExitCode.REJECTED,
        ResultCode.REVISION_UNKNOWN: ExitCode.REJECTED,
    },
)


def exit_code_of(failure: Failure) -> ExitCode:
    """Return the exit code of a command that failed."""
    if failure.run is RunState.UNKNOWN:
        return ExitCode.UNKNOWN
    return _EXIT_CODES.get(failure.code, ExitCode.REFUSED)


def error_line(code: ResultCode, reason: str) -> str:
    """Return one line about an error."""
    name = code.name.lower()
    return f'error {int(code)} {name}: {reason}'


def describe_failure(failure: Failure) -> Outcome:
    """Return the output of a command that failed."""
    body = {
        'code': int(failure.code),
        'name': failure.code.name.lower(),
        'reason': failure.reason,
        'run': failure.run,
    }
    return Outcome(
        {'failure': body},
        notes=(error_line(failure.code, failure.reason),),
        exit_code=exit_code_of(failure),
    )
