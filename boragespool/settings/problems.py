"""What is wrong with a setting, and where."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.results import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Sequence

MISSING: Final = 'no value'


@dataclass(frozen=True, slots=True)
class Problem:
    """One rejected setting.

    Attributes
    ----------
    key : str
        Dotted path.
    found : str
        The offending value as ``repr`` prints it.
    allowed : str
        What is allowed.
    file : str
        File that set the value; empty for a revision document.
    """

    key: str
    found: str
    allowed: str
    file: str = ''
    code: ResultCode = ResultCode.INVALID_SETTING


def describe_problem(problem: Problem) -> str:
    """Return a problem as one sentence."""
    file = f'{problem.file}: ' if problem.file else ''
    return (
        f'{file}{problem.key}: {problem.found} is not allowed; '
        f'allowed: {problem.allowed}'
    )


def as_failure(problems: Sequence[Problem]) -> Failure:
    """Return one failure for all problems, with the code of the first."""
    return Failure(
        problems[0].code,
        '; '.join(describe_problem(problem) for problem in problems),
    )
