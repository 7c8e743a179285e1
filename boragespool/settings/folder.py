"""Reads a settings folder; the only settings module that opens files."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from boragespool.results import ResultCode
from boragespool.settings.merge import (
    EMPTY_LAYER,
    Table,
    find_node,
    make_layer,
    merge_pair,
    resolve_removals,
)
from boragespool.settings.problems import Problem, failure_from_problems
from boragespool.settings.validation import convert_layers

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from boragespool.results import Failure
    from boragespool.settings.schema import Settings


@dataclass(frozen=True, slots=True)
class SettingsFile:
    """Name and raw content of one TOML file."""

    name: str
    content: bytes


def read_folder(folder: Path) -> tuple[SettingsFile, ...] | Problem:
    """Read the TOML files of a folder, sorted by name.

    Parameters
    ----------
    folder : Path
        Settings folder. Hidden files and files without the suffix ``.toml``
        are ignored.

    Returns
    -------
    tuple of SettingsFile or Problem
        A problem if the folder or a file cannot be read, or if the folder has
        no TOML file.
    """
    try:
        files = tuple(
            SettingsFile(path.name, path.read_bytes())
            for path in sorted(folder.iterdir())
            if path.suffix == '.toml' and not path.name.startswith('.')
        )
    except OSError as error:
        return _unreadable_problem(str(folder), str(error))
    if not files:
        return _unreadable_problem(str(folder), 'no file that ends in .toml')
    return files


def load_files(
    files: Iterable[SettingsFile],
) -> Settings | tuple[Problem, ...]:
    """Merge the contents of settings files and convert them to `Settings`.

    Parameters
    ----------
    files : iterable of SettingsFile
        The files in merge order; later ones override earlier ones.

    Returns
    -------
    Settings or tuple of Problem
        All problems found, each with the name of the file that caused it.
    """
    merged = EMPTY_LAYER
    problems: list[Problem] = []
    for file in files:
        added = _decode_layer(file, merged)
        if isinstance(added, Table):
            merged = merge_pair(merged, added)
        else:
            problems.extend(added)
    return tuple(problems) or convert_layers(merged)


def load_folder(folder: Path) -> Settings | Failure:
    """Load the settings from a folder.

    Parameters
    ----------
    folder : Path
        Settings folder.

    Returns
    -------
    Settings or Failure
        A failure whose reason lists all problems if there are any.
    """
    loaded = load_folder_or_problems(folder)
    return (
        failure_from_problems(loaded) if isinstance(loaded, tuple) else loaded
    )


def load_folder_or_problems(folder: Path) -> Settings | tuple[Problem, ...]:
    """Load the settings from a folder, or return all its problems."""
    files = read_folder(folder)
    return (files,) if isinstance(files, Problem) else load_files(files)


def _decode_layer(
    file: SettingsFile,
    merged: Table,
) -> Table | tuple[Problem, ...]:
    """Decode a file and check that its removals name paths set before it."""
    try:
        content: dict[str, Any] = msgspec.toml.decode(file.content)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return (_unreadable_problem(file.name, str(error)),)
    removed = content.pop('remove', [])
    if not _is_path_list(removed):
        return (
            Problem(
                'remove',
                repr(removed),
                'a list of dotted paths, such as ["routes.old"]',
                file.name,
            ),
        )
    earlier = resolve_removals(merged)
    missing = tuple(
        Problem(
            'remove',
            repr(path),
            'a dotted path that an earlier file sets',
            file.name,
        )
        for path in removed
        if find_node(earlier, path) is None
    )
    return missing or make_layer(file.name, content, removed)


def _is_path_list(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(path, str) and all(path.split('.')) for path in value
    )


def _unreadable_problem(name: str, reason: str) -> Problem:
    return Problem(
        'file',
        repr(reason),
        'readable TOML files in UTF-8',
        name,
        ResultCode.UNREADABLE_FILE,
    )
