"""Definition of a command, and its parsed command line."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from boragespool.cli.outcome import Outcome
    from boragespool.results import Failure


@dataclass(frozen=True, slots=True)
class Invocation:
    """Parsed command line of a command.

    Attributes
    ----------
    command : str
        Name of the command.
    arguments : mapping
        Values of the positional arguments by name.
    flags : mapping
        Values of the flags of the command by name.
    """

    command: str
    arguments: Mapping[str, str]
    flags: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Command:
    """Definition of a command.

    Attributes
    ----------
    name : str
        Name on the command line.
    help_text : str
        One sentence that says what it does.
    example : str
        Command line shown by ``--help``.
    arguments : mapping
        Help texts of the positional arguments by name.
    flags : tuple of str
        Names of its flags besides ``output``.
    action : callable
        Coroutine function that runs the command.
    """

    name: str
    help_text: str
    example: str
    arguments: Mapping[str, str]
    flags: tuple[str, ...]
    action: Callable[[Invocation], Awaitable[Outcome | Failure]]
