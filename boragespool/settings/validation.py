"""Converts merged layers to `Settings` and validates the settings."""

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
from boragespool.settings.cross_checks import (
    added_server_identities,
    cross_option_problems,
)
from boragespool.settings.merge import (
    Leaf,
    Table,
    as_builtins,
    make_layer,
    merge_pair,
    resolve_removals,
    source_file,
)
from boragespool.settings.problems import (
    NO_VALUE,
    Problem,
    failure_from_problems,
)
from boragespool.settings.rules import RULES, Rule
from boragespool.settings.schema import Settings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragespool.settings.merge import Node

#: Ranks, for those that a folder does not set or sets only in part.
DEFAULTS: Final = make_layer(
    'defaults',
    {'ranks': msgspec.to_builtins(Settings().ranks)},
)


def convert_layers(merged: Table) -> Settings | tuple[Problem, ...]:
    """Convert the merged layers of a folder to settings and validate them.

    Parameters
    ----------
    merged : Table
        Layer that results from merging all files.

    Returns
    -------
    Settings or tuple of Problem
        All problems of the first stage that finds any: keys and types, then
        single values, then rules between options.
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
    """Return the problems with the values of settings.

    Rules between options are checked only if each single value is valid.
    """
    return tuple(_value_problems(settings, '')) or tuple(
        cross_option_problems(settings),
    )


def validate(settings: Settings) -> Failure | None:
    """Return a failure if settings are invalid, else None.

    Parameters
    ----------
    settings : Settings
        Settings to check, such as those of a received revision document.

    Returns
    -------
    Failure or None
        Failure with code ``INVALID_SETTING`` whose reason lists all problems.
    """
    problems = find_problems(settings)
    return failure_from_problems(problems) if problems else None


def validate_change(
    settings: Settings,
    removed: Settings,
    added: Settings,
) -> Failure | None:
    """Return a failure if a change makes valid settings invalid, else None.

    Parameters
    ----------
    settings : Settings
        Settings after the change.
    removed, added : Settings
        Servers and routes that the change removed and added, each within its
        service. All other options equal those of `settings`.

    Returns
    -------
    Failure or None
        Failure with code ``INVALID_SETTING``, as returned by `validate`. The
        values of servers and routes that are not in `added` are not checked
        again.

    Notes
    -----
    Only server names and addresses that are in `added` and not in `removed`
    are checked for duplicates among all servers.
    """
    problems = tuple(_value_problems(added, '')) or tuple(
        cross_option_problems(
            settings, added_server_identities(removed, added)
        ),
    )
    return failure_from_problems(problems) if problems else None


def _value_problems(options: Any, path: str) -> Iterator[Problem]:
    """Check a data class and all nested ones against `RULES`."""
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
    expected_type: type,
    path: str,
) -> Iterator[Problem]:
    """Check the keys and value types of a table against a data class."""
    types_by_name = get_type_hints(expected_type)
    for name in node.entries.keys() - types_by_name.keys():
        yield _unknown_key_problem(node, name, path, types_by_name)
    for option in dataclasses.fields(expected_type):
        entry = node.entries.get(option.name)
        key = f'{path}{option.name}'
        rule = RULES[expected_type][option.name]
        if entry is not None:
            option_type = types_by_name[option.name]
            yield from _entry_structure(entry, option_type, key, rule)
        elif _is_required(option):
            yield Problem(key, NO_VALUE, rule.allowed, node.file)


def _entry_structure(
    node: Node,
    expected_type: Any,
    key: str,
    rule: Rule,
) -> Iterator[Problem]:
    is_map = get_origin(expected_type) is dict
    if not is_map and not dataclasses.is_dataclass(expected_type):
        yield from _leaf_problems(node, expected_type, key, rule)
    elif not isinstance(node, Table):
        yield Problem(key, repr(as_builtins(node)), 'a table', _node_file(node))
    elif is_map:
        name_type, entry_type = get_args(expected_type)
        for name, entry in node.entries.items():
            path = f'{key}.{name}'
            yield from _leaf_problems(
                Leaf(name, _node_file(entry)),
                name_type,
                path,
                rule,
            )
            yield from _entry_structure(entry, entry_type, path, rule)
    else:
        yield from _structure_problems(node, expected_type, f'{key}.')


def _leaf_problems(
    node: Node,
    expected_type: Any,
    key: str,
    rule: Rule,
) -> Iterator[Problem]:
    value = as_builtins(node)
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError:
        yield Problem(key, repr(value), rule.allowed, _node_file(node))


def _unknown_key_problem(
    node: Table,
    name: str,
    path: str,
    types_by_name: dict[str, Any],
) -> Problem:
    entry = node.entries[name]
    names = ', '.join(sorted(types_by_name))
    return Problem(
        f'{path}{name}',
        repr(as_builtins(entry)),
        f'only the keys {names}',
        _node_file(entry),
        ResultCode.UNKNOWN_SETTING,
    )


def _node_file(node: Node) -> str:
    return node.file if isinstance(node, Table | Leaf) else ''


def _is_required(option: dataclasses.Field[Any]) -> bool:
    missing = dataclasses.MISSING
    return option.default is missing and option.default_factory is missing
