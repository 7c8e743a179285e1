"""Synthetic index items of the stand-in backend servers.

They are computed from service and version, so all replicas hold the same ones.
"""

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

_ITEM_KEY = attrgetter('key')


@lru_cache(maxsize=128)
def all_items(
    service: ServiceName,
    version: IndexVersion,
    item_count: int,
) -> tuple[Item, ...]:
    """Return all items of one index version, sorted by key.

    Notes
    -----
    The key of item ``i`` is the 32-bit xxHash of service, version and ``i``,
    so two versions of a service have different keys.
    """
    items: list[Item] = []
    for number in range(item_count):
        seed_text = f'{service}:{version}:{number}'.encode()
        name = 'item-{0:06d}'.format(number)
        value = {'name': name, 'version': version}
        items.append(Item(xxhash.xxh32_intdigest(seed_text), value))
    return tuple(sorted(items, key=_ITEM_KEY))


def items_between(
    items: tuple[Item, ...],
    start: int = 0,
    end: int = KEY_SPACE_SIZE,
    body: Any = None,
) -> tuple[Item, ...]:
    """Return the items in a key range that match a query.

    Parameters
    ----------
    items : tuple of Item
        Items sorted by key.
    start, end : int
        Key range ``[start, end)``.
    body : Any
        JSON body of the query; ``{"match": text}`` selects the items whose
        name contains the text.
    """
    first = bisect.bisect_left(items, start, key=_ITEM_KEY)
    last = bisect.bisect_left(items, end, key=_ITEM_KEY)
    match = body.get('match') if isinstance(body, dict) else None
    return tuple(
        item
        for item in items[first:last]
        if match is None or str(match) in item.value['name']
    )


def shard_range(shard: int, shard_count: int) -> tuple[int, int]:
    """Return the key range ``[start, end)`` of one of several equal shards."""
    start = KEY_SPACE_SIZE * shard // shard_count
    return start, KEY_SPACE_SIZE * (shard + 1) // shard_count
