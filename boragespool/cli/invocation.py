"""One call of a command."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from boragespool.cli.outcome import Outcome
    from boragespool.results import Failure


@dataclass(frozen=True, slots=True)
class Invocation:
    """Parsed command line.

    Attributes
    ----------
    arguments : mapping
        Positional arguments by name.
    flags : mapping
        Values of the flags of the command by name.
    """

    command: str
    arguments: Mapping[str, str]
    flags: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Command:
    """One command.

    Attributes
    ----------
    arguments : mapping
        Help texts of the positional arguments by name.
    flags : tuple of str
        Names of the flags that it takes besides ``output``.
    example : str
        Shown by ``--help``.
    """

    name: str
    text: str
    example: str
    arguments: Mapping[str, str]
    flags: tuple[str, ...]
    action: Callable[[Invocation], Awaitable[Outcome | Failure]]
