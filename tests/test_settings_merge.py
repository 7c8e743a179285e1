"""Merging of the files in the settings folder."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.settings.merge import (
    EMPTY_LAYER,
    as_builtins,
    find_node,
    make_layer,
    merge_layers,
    merge_pair,
    resolve_removals,
    source_file,
)

KEYS = st.sampled_from('abc')
VALUES = st.integers(0, 9) | st.lists(st.integers(0, 9), max_size=2)
TABLES = st.recursive(
    st.dictionaries(KEYS, VALUES, max_size=3),
    lambda inner: st.dictionaries(KEYS, VALUES | inner, max_size=3),
    max_leaves=6,
)
PATHS = st.lists(KEYS, min_size=1, max_size=3).map('.'.join)
LAYERS = st.builds(
    make_layer,
    st.sampled_from(('1.toml', '2.toml', '3.toml')),
    TABLES,
    st.lists(PATHS, max_size=2),
)


def oracle(files):
    """Reference implementation: apply the files in order to a dictionary."""
    merged = {}
    for content, removed in files:
        for path in removed:
            *parents, last = path.split('.')
            table = merged
            for key in parents:
                table = table.get(key)
                if not isinstance(table, dict):
                    break
            else:
                table.pop(last, None)
        update(merged, content)
    return merged


def update(target, content):
    """Merge tables by key and replace everything else."""
    for key, value in content.items():
        if isinstance(value, dict):
            if not isinstance(target.get(key), dict):
                target[key] = {}
            update(target[key], value)
        else:
            target[key] = value


def leaves(content, prefix=''):
    """List the dotted paths of all scalars and lists."""
    for key, value in content.items():
        if isinstance(value, dict):
            yield from leaves(value, f'{prefix}{key}.')
        else:
            yield f'{prefix}{key}', value


@settings(derandomize=True, max_examples=500, deadline=None)
@given(LAYERS, LAYERS, LAYERS)
def test_compose_is_associative(first, second, third):
    """Grouping of files must not change the outcome."""
    # Guards against merged settings that depend on the order in which pairs of
    # layers are combined.
    left = merge_pair(merge_pair(first, second), third)
    assert left == merge_pair(first, merge_pair(second, third))
    assert merge_pair(EMPTY_LAYER, first).entries == first.entries


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.lists(st.tuples(TABLES, st.lists(PATHS, max_size=2)), max_size=4))
def test_merge_follows_the_rule(files):
    """A removal or a change of type must not keep or drop other keys."""
    # Guards against removals, or tables that replace scalars and lists, that
    # keep or drop other keys than the reference implementation.
    layers = [make_layer('f', content, removed) for content, removed in files]
    assert as_builtins(resolve_removals(merge_layers(layers))) == oracle(files)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(TABLES, min_size=1, max_size=4))
def test_later_file_wins_and_nothing_is_lost(contents):
    """Each value survives unless a later file sets its path."""
    # Guards against lost values and against a wrong source file in messages.
    names = [f'{number}.toml' for number in range(len(contents))]
    merged = resolve_removals(merge_layers(map(make_layer, names, contents)))
    for number, content in enumerate(contents):
        for path, value in leaves(content):
            later = [
                later_path
                for other in contents[number + 1 :]
                for later_path, _ in leaves(other)
            ]
            related = any(
                f'{path}.'.startswith(f'{one}.')
                or f'{one}.'.startswith(f'{path}.')
                for one in later
            )
            replaced_by_table = any(
                isinstance(find_node(make_layer('', other), path), type(merged))
                for other in contents[number + 1 :]
            )
            if not related and not replaced_by_table:
                assert as_builtins(find_node(merged, path)) == value
                assert source_file(merged, path) == names[number]
    for path, value in leaves(contents[-1]):
        assert as_builtins(find_node(merged, path)) == value


def test_removal_acts_before_the_same_file():
    """Guards against a file that cannot replace a whole table.

    Its removals must act on earlier files, before its own values are merged.
    """
    merged = merge_layers(
        (
            make_layer('1', {'a': {'old': 1, 'kept': 2}}),
            make_layer('2', {'a': {'new': 3}}, ('a', 'a.old')),
        ),
    )
    assert as_builtins(resolve_removals(merged)) == {'a': {'new': 3}}
