"""Validation problems of settings and their error messages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.results import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Sequence

NO_VALUE: Final = 'no value'


@dataclass(frozen=True, slots=True)
class Problem:
    """One invalid setting.

    Attributes
    ----------
    key : str
        Dotted path of the setting.
    found : str
        ``repr`` of the invalid value, or a description of what is missing.
    allowed : str
        Description of the allowed values.
    file : str
        Name of the file that set the value, or path of a folder that cannot
        be read; ``defaults`` for a default value. Empty if the settings come
        from a revision document.
    code : ResultCode
        Code to report for the problem.
    """

    key: str
    found: str
    allowed: str
    file: str = ''
    code: ResultCode = ResultCode.INVALID_SETTING


def describe_problem(problem: Problem) -> str:
    """Return the error message for a problem."""
    file = f'{problem.file}: ' if problem.file else ''
    return (
        f'{file}{problem.key}: {problem.found} is not allowed; '
        f'allowed: {problem.allowed}'
    )


def failure_from_problems(problems: Sequence[Problem]) -> Failure:
    """Combine problems into one failure with the code of the first."""
    return Failure(
        problems[0].code,
        '; '.join(describe_problem(problem) for problem in problems),
    )
