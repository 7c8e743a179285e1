"""Reading a settings folder; the only settings module that opens files."""

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
from boragespool.settings.problems import Problem, as_failure
from boragespool.settings.validation import convert

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from boragespool.results import Failure
    from boragespool.settings.schema import Settings


@dataclass(frozen=True, slots=True)
class SettingsFile:
    """Name and bytes of one file."""

    name: str
    content: bytes


def read_folder(folder: Path) -> tuple[SettingsFile, ...] | Problem:
    """Read the TOML files of a folder in the order of their names.

    Parameters
    ----------
    folder : Path
        Folder; files without the suffix ``.toml`` and hidden files are
        ignored.

    Returns
    -------
    tuple of SettingsFile or Problem
        A problem if the folder or a file cannot be read, or if there is no
        file.
    """
    try:
        files = tuple(
            SettingsFile(path.name, path.read_bytes())
            for path in sorted(folder.iterdir())
            if path.suffix == '.toml' and not path.name.startswith('.')
        )
    except OSError as error:
        return _unreadable(str(folder), str(error))
    if not files:
        return _unreadable(str(folder), 'no file that ends in .toml')
    return files


def load_files(
    files: Iterable[SettingsFile],
) -> Settings | tuple[Problem, ...]:
    """Merge and convert files that were read.

    Parameters
    ----------
    files : iterable of SettingsFile
        In merge order.

    Returns
    -------
    Settings or tuple of Problem
        Problems with file names.
    """
    merged = EMPTY_LAYER
    problems: list[Problem] = []
    for file in files:
        added = _layer_of(file, merged)
        if isinstance(added, Table):
            merged = merge_pair(merged, added)
        else:
            problems.extend(added)
    return tuple(problems) or convert(merged)


def load_folder(folder: Path) -> Settings | Failure:
    """Read, merge and convert a folder.

    Parameters
    ----------
    folder : Path
        Settings folder.

    Returns
    -------
    Settings or Failure
        The reason of a failure lists all problems.
    """
    loaded = load_folder_or_problems(folder)
    return as_failure(loaded) if isinstance(loaded, tuple) else loaded


def load_folder_or_problems(folder: Path) -> Settings | tuple[Problem, ...]:
    """Read, merge and convert a folder; return problems one by one."""
    files = read_folder(folder)
    return (files,) if isinstance(files, Problem) else load_files(files)


def _layer_of(
    file: SettingsFile,
    merged: Table,
) -> Table | tuple[Problem, ...]:
    """Decode a file and check its removals against the files before it."""
    try:
        content: dict[str, Any] = msgspec.toml.decode(file.content)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return (_unreadable(file.name, str(error)),)
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


def _is_path_list(removed: Any) -> bool:
    return isinstance(removed, list) and all(
        isinstance(path, str) and all(path.split('.')) for path in removed
    )


def _unreadable(name: str, reason: str) -> Problem:
    return Problem(
        'file',
        repr(reason),
        'readable TOML files in UTF-8',
        name,
        ResultCode.UNREADABLE_FILE,
    )
