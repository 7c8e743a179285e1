"""Comparison of two configurations, setting by setting."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragespool.settings import Settings


@dataclass(frozen=True, slots=True)
class Difference:
    """A setting that differs between two configurations.

    Attributes
    ----------
    path : str
        Dotted path of the setting.
    old, new : Any
        Values as built-in types; None if the setting does not exist. This is
        unambiguous, because no setting has the value None.
    """

    path: str
    old: Any
    new: Any


def difference(old: Settings, new: Settings) -> tuple[Difference, ...]:
    """Return the settings that differ, sorted by path.

    Parameters
    ----------
    old, new : Settings
        Configurations to compare.

    Returns
    -------
    tuple of Difference
        Empty for equal configurations.
    """
    old_by_path = dict(_leaves(msgspec.to_builtins(old), ''))
    new_by_path = dict(_leaves(msgspec.to_builtins(new), ''))
    return tuple(
        Difference(path, old_by_path.get(path), new_by_path.get(path))
        for path in sorted(old_by_path.keys() | new_by_path.keys())
        if old_by_path.get(path) != new_by_path.get(path)
    )


def _leaves(table: dict[str, Any], prefix: str) -> Iterator[tuple[str, Any]]:
    for name, value in table.items():
        if isinstance(value, dict):
            yield from _leaves(value, f'{prefix}{name}.')
        else:
            yield f'{prefix}{name}', value
