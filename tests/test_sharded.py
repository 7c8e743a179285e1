"""The immutable mapping that holds the records of all servers."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.blackboard import ShardedMapping

CHANGES = st.lists(st.dictionaries(st.text('abc', max_size=3), st.integers()))


@settings(derandomize=True, deadline=None)
@given(CHANGES)
def test_copies_equal_dictionaries_and_share_nothing_that_changes(changes):
    """A subscriber that keeps a value must not see later changes in it."""
    # Guards against an update that changes an earlier copy, which shares most
    # of its shards with the new one.
    mappings, expected = [ShardedMapping()], [{}]
    for change in changes:
        mappings.append(mappings[-1].updated(change))
        expected.append({**expected[-1], **change})
    for mapping, plain in zip(mappings, expected, strict=True):
        assert dict(mapping) == plain
        assert mapping == plain
        assert len(mapping) == len(plain)
        assert {key: mapping.get(key) for key in plain} == plain
        assert mapping.get('absent', 7) == 7
        assert 'absent' not in mapping
    for first, one in zip(mappings, expected, strict=True):
        for second, two in zip(mappings, expected, strict=True):
            assert (first == second) == (one == two)
