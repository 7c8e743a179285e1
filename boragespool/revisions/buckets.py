"""Grouping of names into buckets of limited size by their hash."""

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
    """Group names into buckets that are not larger than a limit.

    Parameters
    ----------
    names : iterable of str
        Names without duplicates.
    limit : int
        Maximum number of names in a bucket, at least 1.

    Returns
    -------
    dict of str to tuple of str
        Sorted names of each bucket, by the hash prefix that they share, as a
        string of bits. Without names, one empty bucket.

    Notes
    -----
    A bucket that exceeds the limit is split by the next bit of the hash, as
    in extendible hashing (Fagin, Nievergelt, Pippenger, Strong 1979). Adding
    or removing a name changes only its own bucket, which may be split or
    merged with its sibling. With chunks of a fixed size, all chunks after the
    name would change.
    """
    bits_by_name = {name: _hash_bits(name) for name in sorted(names)}
    return dict(_split_bucket(bits_by_name, '', limit))


def _hash_bits(name: str) -> str:
    digest = xxhash.xxh64_intdigest(name.encode())
    return format(digest, 'b').zfill(_HASH_BITS)


def _split_bucket(
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
        half = {
            name: bits
            for name, bits in bits_by_name.items()
            if bits[depth] == bit
        }
        yield from _split_bucket(half, prefix + bit, limit)
