"""Grouping of named entries into bounded buckets by the hash of the name."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_HASH_BITS: Final = 64


def buckets(
    names: Iterable[str],
    limit: int,
) -> dict[str, tuple[str, ...]]:
    """Group names so that no group is larger than a limit.

    Parameters
    ----------
    names : iterable of str
        Different names.
    limit : int
        Largest number of names in a group, at least 1.

    Returns
    -------
    dict of str to tuple of str
        Sorted names by the leading bits of their hash that they share.

    Notes
    -----
    A group that exceeds the limit is divided by the next bit, as in
    extendible hashing (Fagin, Nievergelt, Pippenger, Strong 1979). A name
    that is added or removed changes its own group, which it may divide or
    unite with its neighbour, and no other one. Chunks of a fixed size would
    all shift after it.
    """
    bits_by_name = {name: _bits(name) for name in sorted(names)}
    return dict(_divide(bits_by_name, '', limit))


def _bits(name: str) -> str:
    digest = xxhash.xxh64_intdigest(name.encode())
    return format(digest, 'b').zfill(_HASH_BITS)


def _divide(
    bits_by_name: dict[str, str],
    prefix: str,
    limit: int,
) -> Iterator[tuple[str, tuple[str, ...]]]:
    depth = len(prefix)
    if len(bits_by_name) <= limit or depth == _HASH_BITS:
        if bits_by_name or not prefix:
            yield prefix, tuple(bits_by_name)
        return
    for bit in '01':
        part = {
            name: bits
            for name, bits in bits_by_name.items()
            if bits[depth] == bit
        }
        yield from _divide(part, prefix + bit, limit)
