"""An immutable mapping of which a changed copy is cheap."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from itertools import chain
from typing import Any, Final, Self, TypeVar

_ValueT = TypeVar('_ValueT')
#: A power of two. With 67,000 entries a shard has 131.
_SHARD_COUNT: Final = 512
_SHARD_MASK: Final = _SHARD_COUNT - 1


class ShardedMapping(Mapping[str, _ValueT]):
    """Mapping that shares the unchanged shards with its changed copies.

    Copying a dictionary of 67,000 servers and comparing it with the one
    before takes longer than 8 ms for each change.
    """

    __slots__ = ('_shards',)

    def __init__(self) -> None:
        """Start empty."""
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
        """Compare the shards that are not shared."""
        if isinstance(other, ShardedMapping):
            return self._shards == other._shards
        return super().__eq__(other)

    __hash__ = None  # type: ignore[assignment]

    def get(self, key: str, /, default: Any = None) -> Any:
        """Return the value of a key, or the default."""
        return self._shards[hash(key) & _SHARD_MASK].get(key, default)

    def updated(self, changes: Mapping[str, _ValueT]) -> Self:
        """Return a copy with some values replaced or added."""
        shards = list(self._shards)
        copied: set[int] = set()
        for key, new_value in changes.items():
            place = hash(key) & _SHARD_MASK
            if place not in copied:
                copied.add(place)
                shards[place] = dict(shards[place])
            shards[place][key] = new_value
        copy = object.__new__(type(self))
        copy._shards = tuple(shards)
        return copy
