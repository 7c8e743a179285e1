"""Merges the files of a settings folder.

Each file is converted to a layer: a tree of tables, leaves and removals.
Merging two layers returns a single layer with the same effect as applying
both in order. Merging is therefore associative: files can be grouped in any
way.
"""

from __future__ import annotations

import enum
import functools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class Removal(enum.Enum):
    """Marks a key that a layer removes from earlier layers."""

    REMOVED = 'removed'


@dataclass(frozen=True, slots=True)
class Leaf:
    """A scalar or list, and the name of the file that sets it."""

    value: Any
    file: str = ''


@dataclass(frozen=True, slots=True)
class Table:
    """A TOML table within a layer.

    Attributes
    ----------
    entries : mapping of str to Node
        Content of the table by key.
    file : str
        Name of the last file that mentions the table.
    replaces : bool
        Whether the table replaces the table of earlier layers instead of
        being merged into it.
    creates : bool
        Whether the table is created if it is missing, and replaces a scalar
        of the same key. False for a table that holds only removals.
    """

    entries: Mapping[str, Node]
    file: str = ''
    replaces: bool = False
    creates: bool = True


Node: TypeAlias = Table | Leaf | Removal

EMPTY_LAYER: Final = Table({})


def make_layer(
    file: str,
    content: Mapping[str, Any],
    removed: Iterable[str] = (),
) -> Table:
    """Convert the content of one file to a layer.

    Parameters
    ----------
    file : str
        File name for error messages.
    content : mapping
        Decoded TOML without the key ``remove``.
    removed : iterable of str
        Dotted paths to remove before `content` is applied.

    Returns
    -------
    Table
        Root table of the layer.
    """
    removals = (_removal_layer(file, path) for path in removed)
    return merge_layers((*removals, _content_layer(file, content)))


def merge_pair(earlier: Table, later: Table) -> Table:
    """Merge two layers into one.

    Parameters
    ----------
    earlier, later : Table
        Layers to merge; where both set a key, `later` wins.

    Returns
    -------
    Table
        Layer in which tables are merged by key; scalars and lists are
        replaced as a whole.
    """
    if later.replaces:
        return later
    entries = dict(earlier.entries)
    for key, node in later.entries.items():
        entries[key] = _merge_entry(entries.get(key), node)
    merged = Table(
        entries,
        later.file or earlier.file,
        creates=earlier.creates or later.creates,
    )
    return resolve_removals(merged) if earlier.replaces else merged


def merge_layers(layers: Iterable[Table]) -> Table:
    """Merge any number of layers in order into one."""
    return functools.reduce(merge_pair, layers, EMPTY_LAYER)


def resolve_removals(table: Table) -> Table:
    """Return a table as it is when no earlier layer exists.

    Removals and tables that hold only removals are dropped.
    """
    entries = {
        key: resolve_removals(node) if isinstance(node, Table) else node
        for key, node in table.entries.items()
        if _has_effect_alone(node)
    }
    return Table(entries, table.file, replaces=True)


def as_builtins(node: Node) -> Any:
    """Convert a node without removals to dictionaries and plain values."""
    if isinstance(node, Table):
        return {key: as_builtins(entry) for key, entry in node.entries.items()}
    return node.value


def find_node(root: Table, path: str) -> Node | None:
    """Return the node at a dotted path, or None if there is none."""
    node: Node | None = root
    for key in path.split('.'):
        if not isinstance(node, Table):
            return None
        node = node.entries.get(key)
    return node


def source_file(root: Table, path: str) -> str:
    """Return the name of the file that last set a path.

    If the path doesn't exist, return the file of its nearest existing table.
    """
    node = find_node(root, path)
    if isinstance(node, Table | Leaf):
        return node.file
    parent = path.rpartition('.')[0]
    return source_file(root, parent) if parent else root.file


def _merge_entry(earlier: Node | None, later: Node) -> Node:
    if earlier is None or not isinstance(later, Table):
        return later
    if isinstance(earlier, Table):
        return merge_pair(earlier, later)
    return resolve_removals(later) if later.creates else earlier


def _has_effect_alone(node: Node) -> bool:
    if isinstance(node, Table):
        return node.creates
    return isinstance(node, Leaf)


def _content_layer(file: str, content: Mapping[str, Any]) -> Table:
    entries: dict[str, Node] = {
        key: _content_layer(file, value)
        if isinstance(value, dict)
        else Leaf(value, file)
        for key, value in content.items()
    }
    return Table(entries, file)


def _removal_layer(file: str, path: str) -> Table:
    head, _, rest = path.partition('.')
    if rest:
        return Table({head: _removal_layer(file, rest)}, file, creates=False)
    return Table({head: Removal.REMOVED}, file, creates=False)
