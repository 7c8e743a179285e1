"""Synthetic items of the stand-in backend servers, equal on all replicas."""

from __future__ import annotations

import bisect
from functools import lru_cache
from operator import attrgetter
from typing import TYPE_CHECKING, Any

import xxhash

from boragespool.messages import Item
from boragespool.types import KEY_SPACE_SIZE

if TYPE_CHECKING:
    from boragespool.types import IndexVersion, ServiceName

_BY_KEY = attrgetter('key')


@lru_cache(maxsize=128)
def all_items(
    service: ServiceName,
    version: IndexVersion,
    item_count: int,
) -> tuple[Item, ...]:
    """Return the items of one index version in order of their keys.

    Notes
    -----
    The key of item number ``i`` is the 32-bit xxhash of service, version and
    ``i``, so that two versions of a service have different keys.
    """
    items: list[Item] = []
    for number in range(item_count):
        hashed = f'{service}:{version}:{number}'.encode()
        name = 'item-{0:06d}'.format(number)
        named = {'name': name, 'version': version}
        items.append(Item(xxhash.xxh32_intdigest(hashed), named))
    return tuple(sorted(items, key=_BY_KEY))


def items_between(
    items: tuple[Item, ...],
    start: int = 0,
    end: int = KEY_SPACE_SIZE,
    body: Any = None,
) -> tuple[Item, ...]:
    """Return the items of a key range that match a query.

    Parameters
    ----------
    items : tuple of Item
        Items in order of their keys.
    start, end : int
        Key range ``[start, end)``.
    body : Any
        JSON value of the query; ``{"match": text}`` keeps the items whose
        name contains the text.
    """
    first = bisect.bisect_left(items, start, key=_BY_KEY)
    last = bisect.bisect_left(items, end, key=_BY_KEY)
    match = body.get('match') if isinstance(body, dict) else None
    return tuple(
        item
        for item in items[first:last]
        if match is None or str(match) in item.value['name']
    )


def shard_range(shard: int, shards: int) -> tuple[int, int]:
    """Return the key range ``[start, end)`` of one of `shards` equal parts."""
    start = KEY_SPACE_SIZE * shard // shards
    return start, KEY_SPACE_SIZE * (shard + 1) // shards
