"""Strict conversion of merged tables into `Settings`."""

from __future__ import annotations

import dataclasses
from typing import (
    TYPE_CHECKING,
    Any,
    Final,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec

from boragespool.results import Failure, ResultCode
from boragespool.settings.cross_checks import cross_problems, new_identities
from boragespool.settings.merge import (
    Leaf,
    Table,
    as_builtins,
    make_layer,
    merge_pair,
    resolve_removals,
    source_file,
)
from boragespool.settings.problems import MISSING, Problem, as_failure
from boragespool.settings.rules import RULES, Rule
from boragespool.settings.schema import Settings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragespool.settings.merge import Node

#: Ranks that a folder leaves out, or sets in part, keep these values.
DEFAULTS: Final = make_layer(
    'defaults',
    {'ranks': msgspec.to_builtins(Settings().ranks)},
)


def convert(merged: Table) -> Settings | tuple[Problem, ...]:
    """Convert the merged layers of a folder.

    Parameters
    ----------
    merged : Table
        Composition of the layers of all files.

    Returns
    -------
    Settings or tuple of Problem
        All problems of the first stage that has any: structure and types,
        then single values, then checks between options.
    """
    root = resolve_removals(merge_pair(DEFAULTS, merged))
    problems = tuple(_structure_problems(root, Settings, ''))
    if problems:
        return problems
    settings = msgspec.convert(as_builtins(root), Settings)
    problems = tuple(
        dataclasses.replace(problem, file=source_file(root, problem.key))
        for problem in find_problems(settings)
    )
    return problems or settings


def find_problems(settings: Settings) -> tuple[Problem, ...]:
    """Return what is wrong with the values of converted settings."""
    return tuple(_value_problems(settings, '')) or tuple(
        cross_problems(settings),
    )


def validate(settings: Settings) -> Failure | None:
    """Return a failure for settings that break a rule, else None.

    Parameters
    ----------
    settings : Settings
        For example those of a received revision document.

    Returns
    -------
    Failure or None
        ``INVALID_SETTING`` with all problems in its reason.
    """
    problems = find_problems(settings)
    return as_failure(problems) if problems else None


def validate_change(
    settings: Settings,
    removed: Settings,
    added: Settings,
) -> Failure | None:
    """Return a failure if a change of valid settings breaks a rule.

    Parameters
    ----------
    settings : Settings
        After the change.
    removed, added : Settings
        Servers and routes that the change took away and brought, each in
        its service; their other options are those of `settings`.

    Returns
    -------
    Failure or None
        ``INVALID_SETTING``, as from `validate`. The values of servers and
        routes that the change did not bring were accepted before.

    Notes
    -----
    Only names and addresses that the change brings and did not take away
    are compared with those of all servers.
    """
    problems = tuple(_value_problems(added, '')) or tuple(
        cross_problems(settings, new_identities(removed, added)),
    )
    return as_failure(problems) if problems else None


def _value_problems(options: Any, path: str) -> Iterator[Problem]:
    """Apply the rules of one data class and of those below it."""
    for name, rule in RULES[type(options)].items():
        option = getattr(options, name)
        key = f'{path}{name}'
        if isinstance(option, dict):
            yield from _entry_problems(option, rule, key)
        elif dataclasses.is_dataclass(option):
            yield from _value_problems(option, f'{key}.')
        elif not rule.accepts(option):
            yield Problem(key, repr(option), rule.allowed)


def _entry_problems(
    options_by_name: dict[str, Any],
    rule: Rule,
    path: str,
) -> Iterator[Problem]:
    for name, options in options_by_name.items():
        if not rule.accepts(name):
            yield Problem(f'{path}.{name}', repr(name), rule.allowed)
        yield from _value_problems(options, f'{path}.{name}.')


def _structure_problems(
    node: Table,
    kind: type,
    path: str,
) -> Iterator[Problem]:
    """Compare the keys and types of a table with a data class."""
    kinds_by_name = get_type_hints(kind)
    for name in node.entries.keys() - kinds_by_name.keys():
        yield _unknown(node, name, path, kinds_by_name)
    for option in dataclasses.fields(kind):
        entry = node.entries.get(option.name)
        key = f'{path}{option.name}'
        rule = RULES[kind][option.name]
        if entry is not None:
            option_kind = kinds_by_name[option.name]
            yield from _entry_structure(entry, option_kind, key, rule)
        elif _is_required(option):
            yield Problem(key, MISSING, rule.allowed, node.file)


def _entry_structure(
    node: Node,
    kind: Any,
    key: str,
    rule: Rule,
) -> Iterator[Problem]:
    is_map = get_origin(kind) is dict
    if not is_map and not dataclasses.is_dataclass(kind):
        yield from _leaf_problems(node, kind, key, rule)
    elif not isinstance(node, Table):
        yield Problem(key, repr(as_builtins(node)), 'a table', _file(node))
    elif is_map:
        name_kind, entry_kind = get_args(kind)
        for name, entry in node.entries.items():
            path = f'{key}.{name}'
            yield from _leaf_problems(
                Leaf(name, _file(entry)),
                name_kind,
                path,
                rule,
            )
            yield from _entry_structure(entry, entry_kind, path, rule)
    else:
        yield from _structure_problems(node, kind, f'{key}.')


def _leaf_problems(
    node: Node,
    kind: Any,
    key: str,
    rule: Rule,
) -> Iterator[Problem]:
    value = as_builtins(node)
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError:
        yield Problem(key, repr(value), rule.allowed, _file(node))


def _unknown(
    node: Table,
    name: str,
    path: str,
    known: dict[str, Any],
) -> Problem:
    entry = node.entries[name]
    names = ', '.join(sorted(known))
    return Problem(
        f'{path}{name}',
        repr(as_builtins(entry)),
        f'only the keys {names}',
        _file(entry),
        ResultCode.UNKNOWN_SETTING,
    )


def _file(node: Node) -> str:
    return node.file if isinstance(node, Table | Leaf) else ''


def _is_required(option: dataclasses.Field[Any]) -> bool:
    missing = dataclasses.MISSING
    return option.default is missing and option.default_factory is missing
