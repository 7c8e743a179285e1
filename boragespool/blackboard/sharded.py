"""Immutable mapping with cheap modified copies (structural sharing)."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from itertools import chain
from typing import Any, Final, Self, TypeVar

_ValueT = TypeVar('_ValueT')
#: Must be a power of two. With 67,000 entries a shard has 131.
_SHARD_COUNT: Final = 512
_SHARD_MASK: Final = _SHARD_COUNT - 1


class ShardedMapping(Mapping[str, _ValueT]):
    """Immutable mapping, split by key hash into shards.

    A modified copy shares all unchanged shards with the original, which makes
    copying and comparing cheap. With a plain dictionary of 67,000 servers, a
    copy and a comparison with the previous one take more than 8 ms for each
    change.
    """

    __slots__ = ('_shards',)

    def __init__(self) -> None:
        """Create an empty mapping."""
        empty: dict[str, _ValueT] = {}
        self._shards = tuple(empty for _ in range(_SHARD_COUNT))

    def __getitem__(self, key: str) -> _ValueT:
        """Return the value of a key."""
        return self._shards[hash(key) & _SHARD_MASK][key]

    def __iter__(self) -> Iterator[str]:
        """Iterate over the keys, in no particular order."""
        return chain.from_iterable(self._shards)

    def __len__(self) -> int:
        """Return the number of keys."""
        return sum(map(len, self._shards))

    def __eq__(self, other: object) -> bool:
        """Return whether the items are equal.

        Shards that both mappings share are not compared item by item.
        """
        if isinstance(other, ShardedMapping):
            return self._shards == other._shards
        return super().__eq__(other)

    __hash__ = None  # type: ignore[assignment]

    def get(self, key: str, /, default: Any = None) -> Any:
        """Return the value of a key, or the default."""
        return self._shards[hash(key) & _SHARD_MASK].get(key, default)

    def updated(self, changes: Mapping[str, _ValueT]) -> Self:
        """Return a copy with the given items added or replaced."""
        shards = list(self._shards)
        copied: set[int] = set()
        for key, new_value in changes.items():
            shard_index = hash(key) & _SHARD_MASK
            if shard_index not in copied:
                copied.add(shard_index)
                shards[shard_index] = dict(shards[shard_index])
            shards[shard_index][key] = new_value
        copy = object.__new__(type(self))
        copy._shards = tuple(shards)
        return copy
