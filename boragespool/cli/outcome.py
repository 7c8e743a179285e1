"""Results of commands and their exit codes."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Final

from boragespool.results import Failure, ResultCode
from boragespool.types import RunState


class ExitCode(enum.IntEnum):
    """Exit codes of the program, explained in ``docs/operators.md``."""

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
    """Output and exit code of a command.

    Attributes
    ----------
    body : Any
        Value printed by ``--output json``.
    headings, rows : tuple
        Table printed by ``--output table``.
    notes : tuple of str
        Lines printed after the table.
    exit_code : ExitCode
        Exit code of the program.
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
    """Return the exit code for a failure."""
    if failure.run is RunState.UNKNOWN:
        return ExitCode.UNKNOWN
    return _EXIT_CODES.get(failure.code, ExitCode.REFUSED)


def error_line(code: ResultCode, reason: str) -> str:
    """Return a line with the number, name and reason of an error."""
    name = code.name.lower()
    return f'error {int(code)} {name}: {reason}'


def describe_failure(failure: Failure) -> Outcome:
    """Return the output and exit code for a failure."""
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
