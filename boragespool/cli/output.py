"""Formatting of command results as JSON or as a table."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from boragespool.cli.outcome import Outcome


def render(outcome: Outcome, output: str) -> str:
    """Return the text to print for a command result.

    Parameters
    ----------
    outcome : Outcome
        Result of a command.
    output : str
        ``json`` or ``table``.

    Returns
    -------
    str
        Text without a trailing newline.
    """
    if output == 'json':
        encoded = msgspec.json.encode(outcome.body)
        return msgspec.json.format(encoded, indent=2).decode()
    lines = (
        _format_table(outcome.headings, outcome.rows)
        if outcome.headings
        else []
    )
    return '\n'.join((*lines, *outcome.notes))


def _format_table(
    headings: Sequence[str],
    rows: Sequence[Sequence[Any]],
) -> list[str]:
    """Return the lines of a table with aligned columns."""
    cells = [
        list(headings),
        *([_format_cell(value) for value in row] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]


def _format_cell(value: Any) -> str:
    return '-' if value is None else str(value)
