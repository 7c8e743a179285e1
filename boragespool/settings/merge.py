"""The merge rule of the settings folder.

A file becomes a layer: a tree of tables, leaves and removals. Composing two
layers yields the layer that has the same effect as both in order, so that
composition is associative and files can be grouped in any way.
"""

from __future__ import annotations

import enum
import functools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class Removal(enum.Enum):
    """Marks a key that a layer removes from the layers before it."""

    REMOVED = 'removed'


@dataclass(frozen=True, slots=True)
class Leaf:
    """A scalar or a list with the name of the file that sets it."""

    value: Any
    file: str = ''


@dataclass(frozen=True, slots=True)
class Table:
    """A table of a layer.

    Attributes
    ----------
    file : str
        Last file that mentions the table.
    replaces : bool
        Whether earlier content of the table is dropped instead of merged.
    creates : bool
        False for a table that only holds removals: it has no effect on a
        scalar and does not create a missing table.
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
    """Return the layer of one file.

    Parameters
    ----------
    file : str
        Name for error messages.
    content : mapping
        Decoded TOML without the key ``remove``.
    removed : iterable of str
        Dotted paths; they act before `content`.

    Returns
    -------
    Table
        Root of the layer.
    """
    removals = (_removal(file, path) for path in removed)
    return merge_layers((*removals, _table(file, content)))


def merge_pair(earlier: Table, later: Table) -> Table:
    """Return the layer with the effect of two layers in order.

    Parameters
    ----------
    earlier, later : Table
        Layers; where both set a key, `later` decides.

    Returns
    -------
    Table
        Tables are merged by key, scalars and lists are replaced.
    """
    if later.replaces:
        return later
    entries = dict(earlier.entries)
    for key, node in later.entries.items():
        entries[key] = _compose_entry(entries.get(key), node)
    composed = Table(
        entries,
        later.file or earlier.file,
        creates=earlier.creates or later.creates,
    )
    return resolve_removals(composed) if earlier.replaces else composed


def merge_layers(layers: Iterable[Table]) -> Table:
    """Compose layers in order, starting from an empty one."""
    return functools.reduce(merge_pair, layers, EMPTY_LAYER)


def resolve_removals(table: Table) -> Table:
    """Return a table with nothing before it: its removals are done."""
    entries = {
        key: resolve_removals(node) if isinstance(node, Table) else node
        for key, node in table.entries.items()
        if _has_content(node)
    }
    return Table(entries, table.file, replaces=True)


def as_builtins(node: Node) -> Any:
    """Return the values of a settled node as built-in types."""
    if isinstance(node, Table):
        return {key: as_builtins(entry) for key, entry in node.entries.items()}
    return node.value


def find_node(root: Table, path: str) -> Node | None:
    """Return the node at a dotted path; None if there is none."""
    node: Node | None = root
    for key in path.split('.'):
        if not isinstance(node, Table):
            return None
        node = node.entries.get(key)
    return node


def source_file(root: Table, path: str) -> str:
    """Return the file that last set a path, or its nearest table."""
    node = find_node(root, path)
    if isinstance(node, Table | Leaf):
        return node.file
    parent = path.rpartition('.')[0]
    return source_file(root, parent) if parent else root.file


def _compose_entry(earlier: Node | None, later: Node) -> Node:
    if earlier is None or not isinstance(later, Table):
        return later
    if isinstance(earlier, Table):
        return merge_pair(earlier, later)
    return resolve_removals(later) if later.creates else earlier


def _has_content(node: Node) -> bool:
    if isinstance(node, Table):
        return node.creates
    return isinstance(node, Leaf)


def _table(file: str, content: Mapping[str, Any]) -> Table:
    entries: dict[str, Node] = {
        key: _table(file, value)
        if isinstance(value, dict)
        else Leaf(value, file)
        for key, value in content.items()
    }
    return Table(entries, file)


def _removal(file: str, path: str) -> Table:
    head, _, rest = path.partition('.')
    if rest:
        return Table({head: _removal(file, rest)}, file, creates=False)
    return Table({head: Removal.REMOVED}, file, creates=False)
